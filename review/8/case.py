"""A gateway starts in a drill in which the store comes back from an older copy.

The copy holds a key that was taken away since, and lists no other instance. The
new process runs requests with that key until the operator has written again.
"""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path

import reviewkit
from reviewkit import Engine, Gateway, Record, Store, now_s

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FOLDER = Path(__file__).resolve().parent
GATEWAYS = 2
ENGINES = 4
REVOKE_S = 5.0
# From the end of a stopped process to the start of the next one.
RESTART_S = 0.5
# The drill: how long the store is away, and until the operator and the engines
# have written again what it lacks.
AWAY_S = 1.0
WRITTEN_AGAIN_S = 1.5
CALL_EVERY_S = 0.05


class Case:
    """The deployment, its operator and a caller with a key that is taken away."""

    def __init__(self, record, directory):
        """Hold the deployment; nothing runs."""
        self.record = record
        self.directory = directory
        self.store = Store()
        self.engines = [
            Engine(f'b{number}', 'bookings', record, 6, lambda _: 0.05)
            for number in range(ENGINES)
        ]
        self.gateways = []
        self.sent = {}
        self.is_over = False

    def write_configuration(self, version):
        """Write a configuration; version 2 takes the second key away."""
        keys = ['key-a', 'key-b'] if version == 1 else ['key-a']
        self.store.put('op/config', reviewkit.configuration(
            version,
            [reviewkit.route('book', '/book/', 'unsafe', 'bookings', Public=False, TimeoutMs=4000, GoalMs=400)],
            [{'Name': 'bookings'}],
            keys={'tenant-a': keys},
        ))
        self.record.write(f'operator: version {version} acknowledged, keys {keys}')

    def write_engines(self):
        """Write the entries of the engines."""
        for engine in self.engines:
            self.store.put(f'servers/{engine.name}', engine.entry())

    async def start(self):
        """Start the deployment; return whether all gateways are ready."""
        await self.store.start()
        for engine in self.engines:
            await engine.start()
        self.write_engines()
        self.write_configuration(1)
        self.gateways += [Gateway(number, self.directory, self.store.port) for number in range(GATEWAYS)]
        for gateway in self.gateways:
            gateway.start()
        return all([await gateway.wait_until_ready() for gateway in self.gateways])

    async def stop(self, gateway):
        """Send SIGTERM and wait for the end of the process, 8 s at most."""
        self.record.write(f'platform: SIGTERM to gateway {gateway.number}')
        gateway.send_signal(signal.SIGTERM)
        until_s = now_s() + 8
        while gateway.is_running and now_s() < until_s:
            await asyncio.sleep(0.02)
        gateway.kill()
        self.record.write(f'platform: gateway {gateway.number} has ended')

    async def call(self, gateway, number):
        """Send bookings with the key that is taken away."""
        count = 0
        while not self.is_over:
            count += 1
            asyncio.ensure_future(self.book(gateway, f'g{number}-{count}'))
            await asyncio.sleep(CALL_EVERY_S)

    async def book(self, gateway, request_id):
        """Send one booking on a new connection."""
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
        except OSError:
            return
        self.sent[request_id] = now_s()
        try:
            writer.write(reviewkit.request(request_id, '/book/2f', b'deposit', deadline_ms=4000, key='key-b'))
            status, _, _ = await asyncio.wait_for(reviewkit.read_answer(reader), 5)
        except (OSError, EOFError, TimeoutError):
            status = 'cut'
        writer.close()
        self.record.write(f'caller {request_id}: {status}')


async def play(case, record):
    """Run the case; return the exit code."""
    store = case.store
    if not await case.start():
        record.write('a gateway did not become ready')
        return 2
    first, second = case.gateways
    callers = [
        asyncio.ensure_future(case.call(gateway, gateway.number)) for gateway in case.gateways
    ]
    await asyncio.sleep(3)
    # Planned work: the machines are stopped and started in turn.
    await case.stop(second)
    copy = store.copy()
    record.write(f'store: a copy is taken, it holds {sorted(store.entries)}')
    await asyncio.sleep(RESTART_S)
    second.start()
    await second.wait_until_ready()
    case.write_configuration(2)
    revoked_s = now_s()
    await asyncio.sleep(1.2)
    await case.stop(first)
    if TROUBLE:
        store.leave()
        record.write('store: away')
    await asyncio.sleep(RESTART_S)
    first.start()
    await asyncio.sleep(AWAY_S - RESTART_S)
    if TROUBLE:
        store.come_back(copy)
        record.write(f'store: back from the copy, era {store.era}')
        await asyncio.sleep(WRITTEN_AGAIN_S)
        case.write_engines()
        case.write_configuration(2)
    await asyncio.sleep(4)
    case.is_over = True
    await asyncio.sleep(1)
    limit_s = revoked_s + REVOKE_S
    late = [
        (request_id, round(case.sent[request_id] - revoked_s, 2))
        for engine in case.engines for _, request_id, _ in engine.runs
        if case.sent[request_id] > limit_s
    ]
    early = [
        request_id for engine in case.engines for _, request_id, _ in engine.runs
        if case.sent[request_id] < revoked_s
    ]
    record.write(f'bookings run before the key was taken away: {len(early)}')
    record.write(f'bookings sent later than {REVOKE_S} s after it that ran: {len(late)} {sorted(late)}')
    if not early:
        return 2
    return 1 if late else 0


async def main():
    """Run the case and end with its exit code."""
    record = Record(FOLDER / 'record.txt')
    code = 2
    with tempfile.TemporaryDirectory() as directory:
        case = Case(record, Path(directory))
        try:
            code = await play(case, record)
        except Exception:
            record.write(traceback.format_exc())
        record.write(f'exit {code}')
        for gateway in case.gateways:
            gateway.kill()
            if os.environ.get('KEEP_LOGS'):
                (FOLDER / gateway.log.name).write_bytes(gateway.log.read_bytes())
    print(f'exit {code}, see {FOLDER.name}/record.txt')
    sys.stdout.flush()
    os._exit(code)


asyncio.run(main())
