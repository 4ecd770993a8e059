"""Store, engines, callers and gateway processes for the scripts of the review.

The stand-ins follow PROTOCOL.md. Everything runs on loopback addresses and on
the real clock; a gateway is the program of the deploy file in its own process.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(os.environ['REVIEW_ROOT'])
DEPENDENCIES = ROOT / 'target' / 'deps'
TEMPLATE = ROOT / 'deploy' / 'settings.yaml'
HOST = 'ficu95.example'
STARTED_S = time.monotonic()
NUMBERS = itertools.count(1)


def now_s():
    """Return the seconds since the script began."""
    return time.monotonic() - STARTED_S


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path):
        """Open the file anew."""
        self.file = open(path, 'w', encoding='utf-8')

    def write(self, text):
        """Write one line with the time."""
        self.file.write(f'{now_s():8.3f} {text}\n')
        self.file.flush()


def free_ports(count):
    """Return ports of the loopback address that are free now."""
    opened = [socket.socket() for _ in range(count)]
    for each in opened:
        each.bind(('127.0.0.1', 0))
    ports = [each.getsockname()[1] for each in opened]
    for each in opened:
        each.close()
    return ports


async def read_head(reader):
    """Return the first line and the headers of a message, names in lower case.

    :raises asyncio.IncompleteReadError: the connection has ended
    """
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        if name:
            headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            line = await reader.readuntil(b'\n')
            size = int(line.split(b';')[0], 16)
            block = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(block[:-2])
    return await reader.readexactly(int(headers.get('content-length', '0')))


class Store:
    """The platform's store: items, leases that end, watches, transactions."""

    def __init__(self):
        """Hold nothing, at revision one."""
        self.entries = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.lease_numbers = itertools.count(1)
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0
        self.era = 1
        self.is_away = False
        self.writers = set()

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 24
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.ensure_future(self._expire())

    def put(self, key, document, lease=0):
        """Write a key as the operator or an engine does."""
        self.revision += 1
        raw = document if isinstance(document, bytes) else json.dumps(document).encode()
        created = self.entries.get(key, {'Created': self.revision})['Created']
        entry = {
            'Key': key,
            'Value': base64.b64encode(raw).decode(),
            'Rev': self.revision,
            'Created': created,
            'Lease': lease,
        }
        self.entries[key] = entry
        self._tell(entry)

    def copy(self):
        """Return a copy of all that the store holds."""
        left = {
            lease: (until_s - time.monotonic(), ttl_ms)
            for lease, (until_s, ttl_ms) in self.leases.items()
        }
        return dict(self.entries), list(self.history), self.revision, left

    def leave(self):
        """Reset all connections from now on."""
        self.is_away = True
        for writer in tuple(self.writers):
            writer.transport.abort()

    def come_back(self, copy):
        """Serve again, from a copy; its revisions are given out again."""
        entries, history, self.revision, left = copy
        self.entries, self.history = dict(entries), list(history)
        self.leases = {
            lease: (time.monotonic() + left_s, ttl_ms)
            for lease, (left_s, ttl_ms) in left.items()
        }
        self.era += 1
        self.is_away = False

    def delete(self, key):
        """Remove a key."""
        if self.entries.pop(key, None):
            self.revision += 1
            self._tell({'Key': key, 'Rev': self.revision, 'Tombstone': True})

    def _tell(self, event):
        """Add an event and wake the watches."""
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        """End the leases that were not renewed."""
        while True:
            await asyncio.sleep(0.05)
            for lease, (until_s, _) in tuple(self.leases.items()):
                if time.monotonic() > until_s:
                    self._end(lease)

    def _end(self, lease):
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, entry in tuple(self.entries.items()):
            if entry['Lease'] == lease:
                self.delete(key)
        return True

    async def _serve(self, reader, writer):
        """Answer the calls of one connection."""
        if self.is_away:
            writer.transport.abort()
            return
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(' ')
                body = await read_body(reader, headers)
                status, document = await self._answer(method, target, body)
                raw = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Store-Era: {self.era}\r\nContent-Length: {len(raw)}\r\n\r\n'.encode()
                    + raw
                )
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, method, target, body):
        """Return status and document of a call."""
        parts = urlsplit(target)
        query = {name: texts[0] for name, texts in parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path
        if path == '/v1/kv-range':
            found = [
                self.entries[key]
                for key in sorted(self.entries)
                if key.startswith(query['Prefix']) and key > query.get('After', '')
            ]
            return 200, {'Items': found[:500], 'HasMore': len(found) > 500, 'AsOf': self.revision}
        if path == '/v1/kv-key':
            entry = self.entries.get(query['Key'])
            return (200, entry) if entry else (404, {})
        if path == '/v1/kv-watch':
            return await self._watch(query)
        if path == '/v1/kv-txn':
            return self._apply(json.loads(body))
        if path == '/v1/kv-lease':
            ttl_ms = json.loads(body)['TtlMs']
            lease = next(self.lease_numbers)
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {'Lease': lease, 'TtlMs': ttl_ms}
        lease = int(path.rpartition('/')[2])
        if path.startswith('/v1/kv-keep/'):
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {}
        return (200, {}) if self._end(lease) else (404, {})

    async def _watch(self, query):
        """Return the events after a revision, or none after the wait."""
        after = int(query['After'])
        until_s = time.monotonic() + int(query['WaitMs']) / 1000
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event['Rev'] > after and event['Key'].startswith(query['Prefix'])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'AsOf': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _apply(self, call):
        """Apply a transaction, completely or not at all."""
        for row in call.get('Expected') or ():
            current = self.entries.get(row['Key'], {'Key': row['Key'], 'Rev': 0})
            if current['Rev'] != row['Rev']:
                return 412, {'Items': [current]}
        writes = call.get('Writes') or ()
        if any(write.get('Lease') and write['Lease'] not in self.leases for write in writes):
            return 404, {}
        for write in writes:
            self.put(write['Key'], base64.b64decode(write['Value']), write.get('Lease', 0))
        for key in call.get('Delete') or ():
            self.delete(key)
        return 200, {'Rev': self.revision}


class Engine:
    """A plain engine: answers each request after a time.

    :param work_s: function of the request's id that returns its time
    """

    def __init__(self, name, service, record, slots, work_s):
        """Hold the engine; it does not listen yet."""
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.runs = []
        self.running = 0
        self.most = 0
        self.writers = set()
        self.born = int(time.time() * 1000)

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 20, backlog=4096
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, **changes):
        """Return the entry of the engine in the store."""
        return {
            'Service': self.service,
            'Addr': f'127.0.0.1:{self.port}',
            'Zone': 'recife-a',
            'Version': '1',
            'Slots': self.slots,
            'State': 'ready',
            'CallSeq': 0,
            'born': self.born,
            **changes,
        }

    async def _serve(self, reader, writer):
        """Serve one connection, one request at a time."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.answer(line, headers, body, reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def answer(self, line, headers, body, reader, writer):
        """Run one request and answer it."""
        request_id = headers.get('dandelionplank-request-id', '')
        refusal = ''
        if headers.get('dandelionplank-expect-instance', self.name) != self.name:
            refusal = '421 Misdirected Request'
        elif not request_id:
            refusal = '400 Bad Request'
        elif self.running >= self.slots:
            refusal = '503 Service Unavailable'
        if refusal:
            writer.write(self.head(refusal, request_id, 0, 'Dandelionplank-Not-Executed: 1'))
            await writer.drain()
            return
        self.running += 1
        self.most = max(self.most, self.running)
        self.runs.append((now_s(), request_id, line))
        self.record.write(f'engine {self.name} runs {request_id}: {line}, {len(body)} bytes')
        try:
            await asyncio.sleep(self.work_s(request_id))
        finally:
            self.running -= 1
        text = f'ok {request_id}'.encode()
        writer.write(self.head('200 OK', request_id, len(text)) + text)
        await writer.drain()

    def head(self, status, request_id, length, *lines):
        """Return the head of a response."""
        return '\r\n'.join((
            f'HTTP/1.1 {status}',
            f'Dandelionplank-Request-Id: {request_id}',
            f'Dandelionplank-Server-Stamp: stamp.{request_id}',
            f'Dandelionplank-Engine-Load: {self.running},0,{self.slots}',
            f'Content-Length: {length}',
            *lines,
            '',
            '',
        )).encode()


class Gateway:
    """A gateway in its own process, started as the deploy file says."""

    def __init__(self, number, directory, store_port, **fields):
        """Write the settings as the platform fills in the template."""
        front, ready, peers = free_ports(3)
        self.number = number
        self.port = front
        self.ready_port = ready
        self.directory = directory
        self.settings = directory / f'gateway-{number}.yaml'
        self.log = directory / f'gateway-{number}.log'
        bounds = {
            'RevokeMs': 5000, 'GraceS': 8, 'BudgetRatio': 0.2,
            'BudgetExtra': 56, 'BudgetWindowS': 10, **fields.get('bounds', {}),
        }
        limits = {'MemoryMb': 300, 'MaxFds': 4100, 'CpuShare': 0.537, 'CpuCores': 2, **fields.get('limits', {})}
        self.memory_mb = limits['MemoryMb']
        self.descriptors = limits['MaxFds']
        values = {
            'NodeName|json': f'"front-{number}"',
            'Zone|json': '"recife-a"',
            'Region|json': '"nordeste"',
            'ListenAddrs.Front|json': f'"127.0.0.1:{front}"',
            'ListenAddrs.Ready|json': f'"127.0.0.1:{ready}"',
            'BindIp': '127.0.0.1',
            'PortRange.0': peers,
            'Provider.Addr|json': f'"127.0.0.1:{store_port}"',
            'HeartbeatMs': 1200,
            'Bounds|json': json.dumps(bounds),
            **{f'Bounds.{name}': figure for name, figure in bounds.items()},
            **{f'Limits.{name}': figure for name, figure in limits.items()},
        }
        text = TEMPLATE.read_text(encoding='utf-8')
        for name, figure in values.items():
            text = text.replace('{{%s}}' % name, str(figure))
        # The metrics page has a fixed port; several processes share this host.
        text = text.replace('listen:\n', f'listen:\n  metrics_port: {free_ports(1)[0]}\n')
        self.settings.write_text(text, encoding='utf-8')
        self.process = None

    def start(self):
        """Start the process."""
        with self.log.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'dandelionplank.commands.gateway'],
                cwd=ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': str(self.directory),
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(DEPENDENCIES),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'DANDELIONPLANK_SETTINGS': str(self.settings),
                },
                stdout=output,
                stderr=output,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self):
        """Limit the descriptors of the new process as the platform does."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def count_descriptors(self):
        """Return the open descriptors of the process, zero once it has ended."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f'/proc/{self.process.pid}/fd'))
        return 0

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def resident_bytes(self):
        """Return the resident memory of the process, zero once it has ended."""
        with contextlib.suppress(OSError):
            for line in Path(f'/proc/{self.process.pid}/status').read_text().splitlines():
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) * 1024
        return 0

    def send_signal(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_until_ready(self, limit_s=20):
        """Wait until the balancer would send callers here."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection('127.0.0.1', self.ready_port)
                writer.write(b'GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
                if b' 200 ' in line:
                    return True
            await asyncio.sleep(0.1)
        return False


def request(request_id, path, body=b'', *, method='POST', deadline_ms=15000, key='', lines=()):
    """Return a complete request of a caller."""
    fields = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Dandelionplank-Request-Id: {request_id}',
        f'Dandelionplank-Deadline-Ms: {deadline_ms}',
        *lines,
    ]
    if key:
        fields.append(f'Dandelionplank-Key: {key}')
    if body or method != 'GET':
        fields.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*fields, '', '')).encode() + body


async def read_answer(reader):
    """Return status, headers and body of an answer.

    :raises asyncio.IncompleteReadError: the connection ended before its end
    """
    line, headers = await read_head(reader)
    return int(line.split()[1]), headers, await read_body(reader, headers)


def configuration(version, routes, services, keys=None, **limits):
    """Return a configuration as the operator writes it."""
    document = {
        'Version': version,
        'Routes': routes,
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,
            'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000, **limits,
        },
    }
    if keys is not None:
        document['Tenants'] = [{'Name': name, 'ApiKeys': list(each)} for name, each in keys.items()]
    return document


def route(name, prefix, kind, service, **changes):
    """Return a route of a configuration."""
    return {
        'Name': name, 'Host': HOST, 'Prefix': prefix, 'Kind': kind,
        'TimeoutMs': 15000, 'GoalMs': 800, 'Priority': 1, 'Service': service,
        'Attempts': 1, 'Public': True, 'Sticky': False, **changes,
    }


class Platform:
    """Kills a process that exceeds its memory, and starts ended ones again.

    :param ends: times at which processes exceeded their memory, by number
    """

    def __init__(self, gateways, record):
        """Hold the gateways; all of them run."""
        self.gateways = gateways
        self.record = record
        self.ends = []
        self.peak = dict.fromkeys((each.number for each in gateways), 0)

    async def run(self):
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            for gateway in self.gateways:
                resident = gateway.resident_bytes()
                self.peak[gateway.number] = max(self.peak[gateway.number], resident)
                if resident > gateway.memory_mb * 1048576:
                    self.record.write(
                        f'platform: gateway {gateway.number} holds {resident >> 20} MB'
                        f' of {gateway.memory_mb} MB: killed'
                    )
                    self.ends.append((now_s(), gateway.number))
                    gateway.kill()
                    asyncio.get_running_loop().call_later(0.5, gateway.start)


class OrdinaryCallers:
    """Callers that make one call after the other over kept connections.

    :param send: returns the bytes of a call with an id
    """

    def __init__(self, gateway, record, count, send):
        """Hold the callers; none has begun."""
        self.gateway = gateway
        self.record = record
        self.count = count
        self.send = send
        self.calls = 0
        self.answered = 0
        self.cut = []
        self.is_over = False
        self.tasks = []

    def start(self):
        """Let all callers begin."""
        self.tasks = [asyncio.ensure_future(self._call(number)) for number in range(self.count)]

    async def end(self):
        """Let the open calls end."""
        self.is_over = True
        await asyncio.wait(self.tasks, timeout=3)
        for task in self.tasks:
            task.cancel()

    def lost(self, engines):
        """Return the calls that one of the engines ran and nobody answered."""
        ran = {request_id for engine in engines for _, request_id, _ in engine.runs}
        return [request_id for request_id in self.cut if request_id in ran]

    async def _call(self, caller):
        """Make calls until the end."""
        writer = None
        while not self.is_over:
            self.calls += 1
            request_id = f'c{caller}-{self.calls}'
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection('127.0.0.1', self.gateway.port)
                writer.write(self.send(request_id))
                status, headers, _ = await asyncio.wait_for(read_answer(reader), 6)
                self.record.write(f'caller {request_id}: {status}')
                self.answered += status == 200
                if headers.get('connection', '').lower() == 'close':
                    writer.close()
                    writer = None
            except (OSError, EOFError, TimeoutError) as error:
                writer = None
                self.cut.append(request_id)
                self.record.write(f'caller {request_id}: no answer, {error!r}')
                await asyncio.sleep(0.2)
