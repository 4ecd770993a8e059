"""Tests of callers' connections to a listening server, without a gateway.

Guard against requests that are read and dropped, responses that are cut, and
refusals that a caller does not get.
"""

import asyncio
import contextlib
import socket
import time
from unittest import mock

from aiohttp import web

from bench.fleet import reserve_ports
from dandelionplank.fleet.sockets import PAGE_BOUNDS, Page, PageServer
from dandelionplank.ingress.bodies import BodyReader
from dandelionplank.ingress.callerbounds import CallerBounds
from dandelionplank.ingress.server import CallerServer
from dandelionplank.routing.routes import RequestLimits
from dandelionplank.settings import Address
from tests.fixtures import run_on_both_loops, running, wait_until

LARGE_BODY_BYTES = 4_194_304
ANY_BODIES = CallerBounds()
# Room for one large body at a time.
ONE_BODY = CallerBounds(held_bytes=2 * LARGE_BODY_BYTES)
END_OF_STREAM = b'last event'


class EchoGateway:
    """Answers each request with the size of its body."""

    def __init__(self, bounds):
        self.bounds = bounds
        self.bodies = BodyReader(bounds)
        self.may_end = asyncio.Event()
        self.may_end.set()
        self.started = 0

    async def handle_request(self, request):
        self.started += 1
        with self.bodies.hold('a') as holding:
            body = await self.bodies.read(request, holding, RequestLimits())
        await self.may_end.wait()
        return web.Response(body=b'%d bytes;' % len(body) + END_OF_STREAM)


@contextlib.asynccontextmanager
async def echo_server(bounds=ANY_BODIES):
    """Run a server; yield its gateway, itself and its address."""
    gateway = EchoGateway(bounds)
    server = CallerServer(gateway, mock.Mock())
    address = Address('127.0.0.1', reserve_ports(1)[0])
    await server.listen(address)
    try:
        async with running(server.run_checks()):
            yield gateway, server, (address.ip, address.port)
    finally:
        server.stop_accepting()
        for connection in server.connections:
            connection.force_close()


def post(size):
    """Return a request with a body."""
    head = f'POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n'
    return b'%b%b' % (head.encode(), b'x' * size)


async def read_responses(reader, count):
    """Return what arrives until there are some responses."""
    received = b''
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(10):
            while received.count(END_OF_STREAM) < count:
                block = await reader.read(65_536)
                if not block:
                    break
                received += block
    return received


@run_on_both_loops
async def test_pipelined_requests_with_large_bodies_are_all_answered():
    """A message that began in a block left over was taken for a long head."""
    async with echo_server() as (_, _, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(post(140_000) * 5)
        received = await read_responses(reader, 5)
        writer.close()
    assert received.count(b'140000 bytes;') == 5


@run_on_both_loops
async def test_a_response_is_complete_whatever_follows_its_request():
    """An empty line after a body was refused as a head that is late."""
    async with echo_server() as (gateway, server, address):
        gateway.may_end.clear()
        reader, writer = await asyncio.open_connection(*address)
        writer.write(post(10))
        await wait_until(lambda: gateway.started)
        writer.write(b'\r\n')
        await asyncio.sleep(0.1)
        for later_s in (100, 200):
            server.guard.refuse_late_heads(3, time.monotonic() + later_s)
        gateway.may_end.set()
        received = await read_responses(reader, 1)
        writer.close()
    assert received.endswith(END_OF_STREAM), received


@run_on_both_loops
async def test_a_complete_body_waits_for_no_place():
    """A body that arrived in two pieces was refused though nothing missed."""
    async with echo_server(ONE_BODY) as (gateway, _, address):
        _, holder = await asyncio.open_connection(*address)
        holder.write(post(LARGE_BODY_BYTES)[:200_000])
        await wait_until(lambda: gateway.bodies.held.large_bytes)
        reader, writer = await asyncio.open_connection(*address)
        request = post(100_000)
        writer.write(request[:50_000])
        await wait_until(lambda: gateway.started == 2)
        await asyncio.sleep(0.1)
        with mock.patch.object(gateway.bodies, 'check'):
            writer.write(request[50_000:])
            received = await read_responses(reader, 1)
        writer.close()
        holder.close()
    assert b'100000 bytes;' in received, received[:40]


@run_on_both_loops
async def test_a_long_head_is_refused_on_a_new_connection():
    """It was closed without a response, so that its caller came back."""
    async with echo_server() as (_, _, address):
        for _ in range(5):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b'GET / HTTP/1.1\r\nX: %b' % (b'x' * 18_000))
            line = await asyncio.wait_for(reader.readline(), 10)
            writer.close()
            assert b' 431 ' in line, line


@run_on_both_loops
async def test_unfinished_requests_do_not_block_a_page():
    """Responses that waited for the rest of a body used up its connections."""
    address = Address('127.0.0.1', reserve_ports(1)[0])
    pages = PageServer()
    await pages.serve(address, '/ready', lambda: Page('ready'))
    head = b'GET /ready HTTP/1.1\r\nHost: a\r\n%b\r\n'
    unfinished = b'%bx' % (head % b'Content-Length: 9\r\n')
    opened = []
    try:
        for _ in range(PAGE_BOUNDS.connections):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            opened.append(writer)
            writer.write(unfinished)
            await reader.readline()
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        opened.append(writer)
        writer.write(head % b'')
        with contextlib.suppress(ConnectionError):
            line = await asyncio.wait_for(reader.readline(), 10)
    finally:
        for each in opened:
            each.close()
        await pages.close()
    assert b' 200 ' in line, line


@run_on_both_loops
async def test_all_connections_that_wait_are_accepted_before_a_stop():
    """Those beyond one turn's worth were reset with their requests."""
    async with echo_server() as (gateway, server, address):
        callers = [socket.create_connection(address) for _ in range(300)]
        server.stop_accepting()
        await wait_until(lambda: server.connection_count == len(callers))
        for each in callers:
            each.close()


def test_a_body_whose_time_is_over_is_not_refused_again():
    """The error ended the checks of all other connections."""
    reader = BodyReader(CallerBounds())
    with reader.hold('a') as holding:
        expiring = mock.Mock(
            expired=mock.Mock(return_value=True),
            reschedule=mock.Mock(side_effect=RuntimeError('expiring')),
        )
        reader.timeouts[holding] = expiring
        loop = asyncio.new_event_loop()
        with mock.patch('asyncio.get_running_loop', return_value=loop):
            reader._refuse('body', [holding])
        loop.close()
    assert not expiring.reschedule.call_count
