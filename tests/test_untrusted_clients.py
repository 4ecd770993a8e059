"""Tests of the gateway against callers that send without end or stall.

Each test starts a gateway process with stated limits and checks that it lives,
stays within them and still answers an ordinary request. They guard against the
end of a process that exceeds its memory, and against a loop that hangs.
"""

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import os
import tempfile
from pathlib import Path

import msgspec
import yaml

from bench.gatewayprocess import GatewayProcess
from bench.platform import (
    HOST,
    configuration,
    start_server,
    target_entry,
)
from dandelionplank.fleet.settings import GatewaySettings
from dandelionplank.settings import Address
from dandelionplank_standins.platformstore import StoreStandin
from dandelionplank_standins.platformtarget import TargetStandin
from tests.fixtures import eventually, run_async

# Stated limits of the process under test.
MEMORY_MB = 128
FILE_DESCRIPTORS = 1024
MEGABYTE = 1_048_576
# The clients of one test and the time for which they send.
CLIENTS = 60
SENDING_S = 3.0
# Period at which descriptors and unread bytes are sampled.
SAMPLE_S = 0.1
# A process that does not answer an ordinary request by then hangs.
ANSWER_LIMIT_S = 20.0
START_LIMIT_S = 20
HEADER_BYTES = 16_384
BODY_BYTES = 4_194_304
LONG_HEAD_BYTES = 2_097_152
LARGE_CHUNK_BYTES = 65_536
REQUEST_NUMBERS = itertools.count(1)
TCP_TABLES = ('/proc/net/tcp', '/proc/net/tcp6')


def head(*fields, method='POST', path='/look/1'):
    """Return the head of a request with further fields."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Dandelionplank-Request-Id: u{next(REQUEST_NUMBERS)}',
        'Dandelionplank-Deadline-Ms: 60000',
        *fields,
    ]
    return '\r\n'.join((*lines, '', '')).encode()


def split(whole, size):
    """Return the pieces of some bytes."""
    return [whole[start : start + size] for start in range(0, len(whole), size)]


def in_chunks(size, total):
    """Return a chunked body without its end."""
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
    return chunk * (total // size)


def process_figure(process, name):
    """Return a figure of a process in kB, zero once it has ended."""
    try:
        status = Path(f'/proc/{process.pid}/status').read_text(encoding='utf-8')
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith(f'{name}:'):
            return int(line.split()[1])
    return 0


def unread_bytes(port):
    """Return the bytes that wait in the sockets of a port."""
    total = 0
    for table in TCP_TABLES:
        lines = Path(table).read_text(encoding='utf-8').splitlines()[1:]
        for fields in map(str.split, lines):
            if int(fields[1].rpartition(':')[2], 16) == port:
                total += int(fields[4].rpartition(':')[2], 16)
    return total


def count_descriptors(process):
    """Return how many descriptors a process has open."""
    try:
        return len(os.listdir(f'/proc/{process.pid}/fd'))
    except OSError:
        return 0


@dataclasses.dataclass
class Victim:
    """A gateway process under test, with the highest figures seen."""

    gateway: GatewayProcess
    unread: int = 0
    descriptors: int = 0

    @property
    def address(self):
        """Return host and port for callers."""
        address = Address.from_text(self.gateway.address)
        return address.ip, address.port

    @property
    def pages(self):
        """Return host and port of each page."""
        listen = self.gateway.settings.listen
        readiness = Address.from_text(listen.readiness)
        return {
            'readiness': (readiness.ip, readiness.port),
            'metrics': (self.address[0], listen.metrics_port),
        }

    @property
    def peak_bytes(self):
        """Return the highest resident memory with the unread bytes."""
        resident = process_figure(self.gateway.process, 'VmHWM') * 1024
        return resident + self.unread

    async def watch(self):
        """Sample what /proc has no maximum of, until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def sample(self):
        """Record the present figures if they are the highest."""
        self.unread = max(self.unread, unread_bytes(self.address[1]))
        self.descriptors = max(
            self.descriptors, count_descriptors(self.gateway.process)
        )

    async def call(self, *pieces, page=''):
        """Send a request; return the status of its response, zero for none.

        :param page: the page that it asks for, by default as a caller
        """
        address = self.pages[page] if page else self.address
        try:
            reader, writer = await asyncio.open_connection(*address)
        except ConnectionError:
            return 0
        try:
            writer.writelines(pieces)
            await writer.drain()
            line = await reader.readline()
        except ConnectionError:
            return 0
        finally:
            writer.close()
        return int(line.split()[1]) if line else 0

    async def answers(self):
        """Return whether an ordinary request is served."""
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S / 2):
                status = await self.call(head('Content-Length: 5'), b'hello')
        except (TimeoutError, ConnectionError):
            return False
        return status == 200

    async def shows(self, page):
        """Return whether a page is served."""
        path = {'readiness': '/v1/ready', 'metrics': '/metrics'}[page]
        asking = head(method='GET', path=path)
        return await self.call(asking, page=page) == 200

    async def check(self):
        """Check that the process lives, keeps its limits and answers."""
        has_answered = True
        try:
            await eventually(self.answers, limit_s=ANSWER_LIMIT_S)
        except TimeoutError:
            has_answered = False
        self.sample()
        figures = (
            f'peak {self.peak_bytes / MEGABYTE:.0f} MB, of these unread '
            f'{self.unread / MEGABYTE:.0f} MB, descriptors '
            f'{self.descriptors}, answered {has_answered}'
        )
        assert self.gateway.is_running, figures
        assert self.descriptors < FILE_DESCRIPTORS, figures
        assert self.peak_bytes < MEMORY_MB * MEGABYTE, figures
        assert has_answered, figures


def write_limits(gateway):
    """State the limits in the settings, if the gateway knows them."""
    if 'limits' not in GatewaySettings.__struct_fields__:
        return
    document = msgspec.to_builtins(gateway.settings)
    document['limits'].update(
        memory_mb=MEMORY_MB, file_descriptors=FILE_DESCRIPTORS
    )
    gateway.settings_path.write_text(yaml.safe_dump(document), encoding='utf-8')


def document():
    """Return a configuration with the platform's limits."""
    routes = {'safe': {'TimeoutMs': 60_000}}
    limits = {'MaxBodyBytes': BODY_BYTES, 'IdleTimeoutMs': 15_000}
    return {**configuration(1, **routes), 'Limits': limits}


@contextlib.asynccontextmanager
async def started_victim():
    """Run a gateway process on stand-ins, once it serves."""
    async with contextlib.AsyncExitStack() as stack:
        store = StoreStandin()
        store_address, runner = await start_server(store.application)
        stack.push_async_callback(runner.cleanup)
        store.put('op/config', document())
        target = TargetStandin('plain-0', streams=False)
        target_address, target_runner = await start_server(target.application)
        stack.push_async_callback(target_runner.cleanup)
        target.runner = target_runner
        entry = target_entry('plain-0', 'plain', target_address, Slots=500)
        store.put('servers/plain-0', entry)
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        gateway = GatewayProcess(0, directory, Address.from_text(store_address))
        write_limits(gateway)
        await gateway.relay.start()
        stack.push_async_callback(gateway.relay.stop)
        gateway.start()
        stack.callback(gateway.kill)
        victim = Victim(gateway)
        await eventually(victim.answers, limit_s=START_LIMIT_S)
        yield victim


async def send_until_closed(address, pieces, opened):
    """Send pieces over a connection until it is closed; leave it open."""
    with contextlib.suppress(ConnectionError):
        _, writer = await asyncio.open_connection(*address)
        opened.append(writer)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()


async def check_clients(make_pieces, clients=CLIENTS, page=''):
    """Check a gateway to which all clients send the same input.

    :param make_pieces: returns the pieces that one client sends
    :param clients: how many there are
    :param page: the page to which they send, by default as callers
    """
    async with started_victim() as victim:
        opened = []
        address = victim.address
        if page:
            address = victim.pages[page]
            await eventually(functools.partial(victim.shows, page))
        watch = asyncio.ensure_future(victim.watch())
        sends = [
            asyncio.ensure_future(
                send_until_closed(address, make_pieces(), opened)
            )
            for _ in range(clients)
        ]
        _, unfinished = await asyncio.wait(sends, timeout=SENDING_S)
        for send in unfinished:
            send.cancel()
        try:
            await victim.check()
            if page:
                await eventually(functools.partial(victim.shows, page))
        finally:
            watch.cancel()
            for writer in opened:
                writer.transport.abort()


@run_async
async def test_heads_of_fields_without_end():
    """Unfinished heads of long fields were held whatever their size."""

    def pieces():
        yield head().removesuffix(b'\r\n')
        for number in range(LONG_HEAD_BYTES // 4096):
            yield b'X-Field-%d: %b\r\n' % (number, b'x' * 4080)

    await check_clients(pieces)


@run_async
async def test_request_lines_without_end():
    """Each part of a request line beyond the limit was kept as an error."""

    def pieces():
        yield b'GET /look/'
        for _ in range(BODY_BYTES // LARGE_CHUNK_BYTES):
            yield b'x' * LARGE_CHUNK_BYTES

    await check_clients(pieces)


@run_async
async def test_empty_lines_without_end():
    """Empty lines before a request are skipped and must not be endless."""

    def pieces():
        for _ in range(BODY_BYTES // LARGE_CHUNK_BYTES):
            yield b'\r\n' * (LARGE_CHUNK_BYTES // 2)

    await check_clients(pieces)


@run_async
async def test_large_bodies_one_byte_short():
    """Large bodies that stall before their last byte were all held."""

    def pieces():
        yield head(f'Content-Length: {BODY_BYTES}')
        yield b'x' * (BODY_BYTES - 1)

    await check_clients(pieces)


@run_async
async def test_large_bodies_in_pieces_one_byte_short():
    """Bodies that arrive in pieces were held as the whole ones."""

    def pieces():
        yield head(f'Content-Length: {BODY_BYTES}')
        yield from split(b'x' * (BODY_BYTES - 1), 10_000)

    await check_clients(pieces)


@run_async
async def test_large_chunks_without_their_end():
    """Chunked bodies of legal size that lack only their end were all held."""

    def pieces():
        yield head('Transfer-Encoding: chunked')
        yield from split(in_chunks(LARGE_CHUNK_BYTES, BODY_BYTES), 65_544)

    await check_clients(pieces)


@run_async
async def test_one_byte_chunks_without_their_end():
    """Chunks of one byte kept the event loop from everything else."""
    blocks = split(in_chunks(1, BODY_BYTES), LARGE_CHUNK_BYTES)

    def pieces():
        yield head('Transfer-Encoding: chunked')
        yield from blocks

    await check_clients(pieces)


@run_async
async def test_chunk_extensions_without_end():
    """The extension of a chunk adds nothing to a body and may be endless."""

    def pieces():
        yield head('Transfer-Encoding: chunked')
        yield b'1;x='
        for _ in range(BODY_BYTES // LARGE_CHUNK_BYTES):
            yield b'x' * LARGE_CHUNK_BYTES

    await check_clients(pieces)


@run_async
async def test_trailers_without_end():
    """The trailer fields of a chunked body were held whatever their size."""

    def pieces():
        yield head('Transfer-Encoding: chunked')
        yield b'1\r\nx\r\n0\r\n'
        for number in range(LONG_HEAD_BYTES // 4096):
            yield b'X-Field-%d: %b\r\n' % (number, b'x' * 4080)

    await check_clients(pieces)


@run_async
async def test_idle_connections_without_end():
    """Connections that send nothing used up the descriptors."""

    def pieces():
        yield b'GET /look'

    await check_clients(pieces, FILE_DESCRIPTORS + 100)


def body_pieces():
    """Return the pieces of two requests with a body that no page reads."""
    yield head(f'Content-Length: {BODY_BYTES}', path='/')
    for _ in range(BODY_BYTES // LARGE_CHUNK_BYTES):
        yield b'x' * LARGE_CHUNK_BYTES
    yield head(f'Content-Length: {BODY_BYTES}', path='/')


def idle_pieces():
    """Return the beginning of a request."""
    yield b'GET /'


@run_async
async def test_bodies_without_end_to_the_readiness_page():
    """Bodies that no page reads were held as far as the library reads."""
    await check_clients(body_pieces, page='readiness')


@run_async
async def test_bodies_without_end_to_the_metrics():
    """Bodies that no page reads were held as far as the library reads."""
    await check_clients(body_pieces, page='metrics')


@run_async
async def test_idle_connections_to_the_readiness_page():
    """Idle connections to a page used up the descriptors of all ports."""
    await check_clients(idle_pieces, FILE_DESCRIPTORS + 100, 'readiness')


@run_async
async def test_idle_connections_to_the_metrics():
    """Idle connections to a page used up the descriptors of all ports."""
    await check_clients(idle_pieces, FILE_DESCRIPTORS + 100, 'metrics')


@run_async
async def test_legal_requests_are_served_alone():
    """Bounds must not refuse what the configuration allows."""
    body = b'x' * BODY_BYTES
    ending = b'0\r\n\r\n'
    chunked = head('Transfer-Encoding: chunked')
    fields = [f'X-{number}: {"x" * 1000}' for number in range(15)]
    rest = HEADER_BYTES - len(head('Content-Length: 0', 'X: ', *fields)) - 8
    long_head = head('Content-Length: 0', f'X: {"x" * rest}', *fields)
    assert HEADER_BYTES - 16 < len(long_head) < HEADER_BYTES
    async with started_victim() as victim:
        for name, pieces in (
            ('length', (head(f'Content-Length: {BODY_BYTES}'), body)),
            (
                'large chunks',
                (chunked, in_chunks(LARGE_CHUNK_BYTES, BODY_BYTES), ending),
            ),
            ('small chunks', (chunked, in_chunks(1, BODY_BYTES), ending)),
            ('long head', (long_head,)),
        ):
            async with asyncio.timeout(ANSWER_LIMIT_S):
                status = await victim.call(*pieces)
            assert status == 200, (name, status)
        assert victim.gateway.is_running
