"""The platform's part of a case: processes, settings, readiness, record."""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from standins.http import ClientConnection

ROOT = Path(__file__).resolve().parents[2]
PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
METRICS_PORT = 9464
FIRST_PEER_PORT = 7400
RESTART_DELAY_S = 0.5
LIMITS = {'CpuShare': 0.817, 'CpuCores': 2, 'MemoryMb': 430, 'MaxFds': 6150}
BOUNDS = {
    'SeedLagS': 3,
    'ReuseS': 2,
    'ContactMs': 3000,
    'AckMs': 4000,
    'SyncS': 4,
    'DrainMs': 2000,
    'GraceS': 8,
    'LossSlackMs': 200,
    'ApplyMs': 2000,
    'DowngradeMs': 250,
    'OuterMs': 5000,
    'RevokeStrict': True,
    'RevokeMs': 5000,
    'BudgetRatio': 0.2,
    'BudgetWindowS': 10,
    'BudgetExtra': 56,
    'RecoverS': 12,
    'PassMs': 120,
    'RetryAfterS': 10,
    'QuotaWindowS': 4,
}


class Record:
    """Writes what was seen to ``record.txt``."""

    def __init__(self, folder):
        """Open the file in the folder of a case."""
        self.started_s = time.monotonic()
        self.output = (Path(folder) / 'record.txt').open('w', encoding='utf-8')

    def __call__(self, text, at_s=None):
        """Write one line with its time."""
        at_s = (at_s or time.monotonic()) - self.started_s
        self.output.write(f'{at_s:8.3f} s  {text}\n')
        self.output.flush()


def free_ip(ports):
    """Return a loopback address on which some ports are free."""
    while True:
        ip = f'127.{random.randint(16, 250)}.{random.randint(0, 250)}.{random.randint(2, 250)}'
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as tried:
                        tried.bind((ip, port))
        except OSError:
            continue
        return ip


def free_port(ip):
    """Return a free TCP port of an address."""
    with socket.socket() as tried:
        tried.bind((ip, 0))
        return tried.getsockname()[1]


def render(template, fields):
    """Fill in a template as DEPLOY.md says, without sections."""

    def replace(match):
        found = fields
        for part in match.group(1).split('.'):
            found = found[int(part)] if part.isdigit() else found[part]
        return json.dumps(found) if match.group(2) else str(found)

    return PLACEHOLDER.sub(replace, template)


class Machine:
    """A machine that runs the gateway; the platform restarts the process."""

    def __init__(self, record, folder, number, store_address, zone='a', **bounds):
        """Write the settings; no process runs yet."""
        self.record = record
        self.name = f'front-{zone}-{number}'
        self.ip = free_ip((METRICS_PORT, FIRST_PEER_PORT))
        self.front = f'{self.ip}:{free_port(self.ip)}'
        self.ready = f'{self.ip}:{free_port(self.ip)}'
        self.zone = zone
        role = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )['roles']['gateway']
        self.command = shlex.split(role['run'])
        self.template = (ROOT / role['template']).read_text(encoding='utf-8')
        self.fields = self._fields(store_address, bounds)
        self.settings = Path(folder) / f'{self.name}.yaml'
        self.settings.write_text(
            render(self.template, self.fields), encoding='utf-8'
        )
        self.log = Path(folder) / f'{self.name}.log'
        self.process = None
        self.is_wanted = False
        self.ends = []
        self.is_ready = False
        self.misses = 0
        self.tasks = []

    def _fields(self, store_address, bounds):
        """Return the fields of the settings of a process."""
        return {
            'NodeName': self.name,
            'Role': 'gateway',
            'MachineClass': 'front',
            'Serves': ['front'],
            'BindIp': self.ip,
            'Zone': self.zone,
            'Region': 'r',
            'PortRange': [FIRST_PEER_PORT, FIRST_PEER_PORT + 15],
            'HeartbeatMs': 1200,
            'ListenAddrs': {'Front': self.front, 'Ready': self.ready},
            'Limits': LIMITS,
            'Bounds': {**BOUNDS, **bounds},
            'Provider': {
                'Addr': store_address,
                'form': 'kv',
                'WritesPerS': 400,
                'ReadsPerS': 2000,
                'HistoryS': 20,
                'ValueBytes': 1048576,
                'TtlMinMs': 1000,
            },
        }

    def start(self):
        """Start the process, and restart it whenever it ends."""
        self.is_wanted = True
        self._spawn()
        self.tasks = [
            asyncio.ensure_future(self._supervise()),
            asyncio.ensure_future(self._ask_ready()),
        ]

    def _spawn(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['DANDELIONPLANK_SETTINGS'] = str(self.settings)
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record(f'{self.name}: process {self.process.pid} started')

    async def _supervise(self):
        """Start the process again a short time after its end."""
        while self.is_wanted:
            await asyncio.sleep(0.02)
            code = self.process.poll()
            if code is None:
                continue
            self.ends.append((time.monotonic(), code))
            self.record(f'{self.name}: process ended, exit status {code}')
            await asyncio.sleep(RESTART_DELAY_S)
            if self.is_wanted:
                self._spawn()

    async def _ask_ready(self):
        """Ask once a second whether the machine is ready.

        It leaves the rotation after two misses, and returns with one 200.
        """
        while True:
            asked_s = time.monotonic()
            connection = ClientConnection(self.ready)
            response = await connection.call(
                'GET', '/v1/ready', {'Host': 'ready'}, timeout_s=0.9
            )
            connection.close()
            self.misses = 0 if response.status == 200 else self.misses + 1
            is_ready = not self.misses or (self.is_ready and self.misses < 2)
            if is_ready != self.is_ready:
                self.is_ready = is_ready
                word = 'in rotation' if is_ready else 'out of rotation'
                self.record(f'{self.name}: {word}')
            await asyncio.sleep(max(0.0, asked_s + 1 - time.monotonic()))

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def stop(self):
        """End the process, and everything that was started for it."""
        self.is_wanted = False
        for task in self.tasks:
            task.cancel()
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Case:
    """Stand-ins and machines of one run."""

    def __init__(self, folder):
        """Hold nothing yet; the record is written to the folder."""
        self.record = Record(folder)
        self.directory = tempfile.TemporaryDirectory()
        self.machines = []
        self.parts = []
        self.numbers = 0

    def add_machine(self, store_address, **options):
        """Add a machine; it is not started."""
        machine = Machine(
            self.record,
            self.directory.name,
            len(self.machines) + 1,
            store_address,
            **options,
        )
        self.machines.append(machine)
        return machine

    async def wait_ready(self, limit_s=20.0):
        """Wait until all machines are ready; raise RuntimeError if not."""
        end_s = time.monotonic() + limit_s
        while not all(machine.is_ready for machine in self.machines):
            if time.monotonic() > end_s:
                raise RuntimeError('machines are not ready')
            await asyncio.sleep(0.05)

    def rotation(self):
        """Return the machines that get new connections.

        All of the zone, if fewer than half of them are ready.
        """
        ready = [machine for machine in self.machines if machine.is_ready]
        return ready if len(ready) * 2 >= len(self.machines) else self.machines

    def request_id(self):
        """Return a fresh request id."""
        self.numbers += 1
        return f'{random.getrandbits(40):010x}{self.numbers:06x}'

    def headers(self, host, request_id, deadline_ms, key=''):
        """Return the headers of a client's request."""
        headers = {
            'Host': host,
            'Dandelionplank-Request-Id': request_id,
            'Dandelionplank-Deadline-Ms': str(deadline_ms),
        }
        if key:
            headers['Dandelionplank-Key'] = key
        return headers

    async def close(self):
        """End everything that the run has started."""
        for machine in self.machines:
            await machine.stop()
        for part in self.parts:
            part.stop()
        self.directory.cleanup()


def run_case(folder, play):
    """Play a case and exit: 1 broken, 0 held, 2 could not run.

    :param play: coroutine that takes the case and returns whether the rule held
    """

    async def main():
        case = Case(folder)
        try:
            async with asyncio.timeout(110):
                held = await play(case)
        except Exception as error:
            case.record(f'could not run: {error!r}')
            return 2
        finally:
            await case.close()
        case.record('the rule held' if held else 'the rule was broken')
        return 0 if held else 1

    raise SystemExit(asyncio.run(main()))
