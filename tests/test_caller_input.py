"""Tests of how callers' bytes are counted, parsed and refused."""

import asyncio
import contextlib
import time
from unittest import mock

import msgspec
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
from yarl import URL

from bench.platform import configuration, request_headers
from dandelionplank.fleet import exchange as exchange_module
from dandelionplank.ingress.callerbounds import CallerBounds
from dandelionplank.ingress.connection import ConnectionGuard
from dandelionplank.ingress.inputmeter import (
    HEAD_SLACK_BYTES,
    MAX_FRAMING_FACTOR,
    MAX_IDLE_FRAMING_BYTES,
    Excess,
    InputMeter,
)
from dandelionplank.ingress.turns import (
    HEAVY_S,
    HEAVY_TURN_S,
    TURN_S,
    TurnQueue,
)
from dandelionplank.metrics import METRICS
from tests.fixtures import run_async, run_on_both_loops, wait_until
from tests.platformfleet import platform_fleet

HEADER_BYTES = 16_384


@given(st.lists(st.integers(1, 20_000)))
def test_a_head_is_held_no_further_than_its_limit(sizes):
    """Incomplete heads were held whatever their size."""
    meter = InputMeter()
    for size in sizes:
        room = meter.count_room(HEADER_BYTES)
        excess = meter.add_head(b'x' * min(size, room), HEADER_BYTES, 0)
        assert meter.head_bytes <= HEADER_BYTES + HEAD_SLACK_BYTES
        assert (excess is Excess.HEAD) == (size >= room)
        if excess is not None:
            return
        assert meter.count_room(HEADER_BYTES) > 0


@given(st.integers(1, HEADER_BYTES - 1), st.integers(0, 100))
def test_a_head_within_the_limit_is_never_refused(size, empty_lines):
    """A legal head may arrive byte by byte and after empty lines."""
    meter = InputMeter()
    meter.add_head(b'\r\n' * empty_lines, HEADER_BYTES, 0)
    meter.add_head(b'G', HEADER_BYTES, 0)
    assert meter.add_head(b'x' * (size - 1), HEADER_BYTES, 0) is None


def test_empty_lines_are_told_from_a_head():
    """An endless series of them is no head that is too large."""
    meter = InputMeter()
    lines = b'\r\n' * HEADER_BYTES
    assert meter.add_head(lines, HEADER_BYTES, 0) is Excess.EMPTY_LINES


def test_a_head_that_trickles_in_is_late():
    """Each byte of a head postponed the timeout of its connection."""
    meter = InputMeter()
    assert not meter.is_late(3, 100)
    for second in range(4):
        meter.add_head(b'x', HEADER_BYTES, 100 + second)
    assert not meter.is_late(3, 103)
    assert meter.is_late(3, 103.5)
    meter.reset()
    assert not meter.is_late(3, 200)


@given(st.lists(st.integers(1, 16_384), min_size=1))
def test_the_smallest_chunks_are_no_excess(sizes):
    """A body in chunks of one byte takes six bytes on the wire for each."""
    meter = InputMeter()
    found = 0
    for size in sizes:
        found += size // 6
        assert meter.add_body(size, found) is None


@given(st.integers(1, 16_384), st.integers(0, 1000))
def test_framing_without_a_body_is_bounded(size, found):
    """Extensions and trailers of chunks may come without end."""
    meter = InputMeter()
    meter.add_body(1, found)
    bound = MAX_IDLE_FRAMING_BYTES + found * MAX_FRAMING_FACTOR
    for _ in range(bound // size + 1):
        if meter.add_body(size, found) is Excess.FRAMING:
            return
    raise AssertionError(meter.wire_bytes)


def test_each_chunk_with_a_long_extension_is_bounded():
    """A byte of a body now and then does not permit endless extensions."""
    meter = InputMeter()
    found = 0
    while meter.add_body(4096, found) is None:
        found += 1
    assert meter.wire_bytes < 2 * MAX_IDLE_FRAMING_BYTES


def test_small_requests_pass_messages_that_cost_much():
    """Bodies in chunks of one byte kept all others from being parsed."""
    queue = TurnQueue()
    queue.add('heavy', HEAVY_S)
    assert queue.may_run(0)
    assert not queue.may_run(HEAVY_S)
    queue.add('light', 0)
    assert not queue.may_run(0)
    assert queue.take(is_first=True) == 'light'
    assert queue.take(is_first=True) == 'heavy'
    assert queue.take(is_first=True) is None
    assert queue.is_empty


@given(st.lists(st.floats(0, 0.01)))
def test_a_turn_ends_and_none_waits_forever(costs):
    """A turn takes the time of its bound and of one more block at most."""
    queue = TurnQueue()
    for cost_s in costs:
        queue.add(cost_s, cost_s)
    served = []
    while not queue.is_empty:
        queue.begin_turn()
        taken = queue.take(is_first=True)
        while taken is not None:
            limit_s = TURN_S if taken < HEAVY_S else HEAVY_TURN_S
            assert queue.spent_s < limit_s or not queue.spent_s
            served.append(taken)
            queue.charge(taken)
            taken = queue.take(is_first=False)
    assert sorted(served) == sorted(costs)


@contextlib.asynccontextmanager
async def bounded_server(serve, bounds=None):
    """Serve requests on bounded connections; yield the guard and an address."""
    server = web.Server(serve, max_line_size=65_536)
    guard = ConnectionGuard('test', HEADER_BYTES, bounds or CallerBounds())
    listener = await asyncio.get_running_loop().create_server(
        lambda: guard.wrap(server()), '127.0.0.1', 0
    )
    yield guard, listener.sockets[0].getsockname()
    listener.close()
    await server.shutdown()


async def respond(_):
    """Respond after other input had time to arrive."""
    await asyncio.sleep(0.1)
    return web.Response(text='done')


@run_on_both_loops
async def test_a_late_head_gets_a_response():
    """A head that trickled in was given up after the time for idle ones."""
    async with bounded_server(respond) as (guard, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET / HTTP/1.1\r\n')
        await asyncio.sleep(0.05)
        now_s = time.monotonic()
        guard.refuse_late_heads(3, now_s)
        assert guard.connections
        guard.refuse_late_heads(3, now_s + 4)
        assert (await reader.read()).startswith(b'HTTP/1.1 408')
        writer.close()


@run_on_both_loops
async def test_a_head_without_end_leaves_the_response_before_it():
    """A refusal in between would be taken for the running response."""
    async with bounded_server(respond) as (guard, address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.02)
        writer.write(b'GET /'.ljust(3 * HEADER_BYTES, b'x'))
        received = await reader.read()
        assert received.startswith(b'HTTP/1.1 200')
        assert received.endswith(b'done')
        assert not guard.connections
        writer.close()


@run_on_both_loops
async def test_pipelined_requests_are_all_answered():
    """A block with several requests counts as none of them."""
    async with bounded_server(respond) as (_, address):
        reader, writer = await asyncio.open_connection(*address)
        one = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n'
        writer.write((one + bytes(9000)) * 5)
        for _ in range(5):
            await reader.readuntil(b'done')
        writer.close()


async def read_refusal(fleet, *pieces):
    """Send a request in pieces; return all that is received."""
    url = URL(fleet.urls[0])
    reader, writer = await asyncio.open_connection(url.host, url.port)
    headers = request_headers('q-1', 'key-a')
    lines = [f'{name}: {text}' for name, text in headers.items()]
    lines.append('Transfer-Encoding: chunked')
    head = '\r\n'.join(('POST /look/x HTTP/1.1', *lines, '', ''))
    writer.write(head.encode())
    await asyncio.sleep(0.05)
    writer.writelines(pieces)
    try:
        async with asyncio.timeout(3):
            return await reader.readuntil(b'\r\n\r\n')
    finally:
        writer.close()


@run_async
async def test_malformed_bodies_are_refused_at_once():
    """The gateway waited for the rest of a body that cannot be parsed.

    A body that ends with an error must not be taken for a complete one.
    """
    async with platform_fleet(engines=1) as fleet:
        for pieces in (
            (b'5\r\nhello\r\n', b'no size\r\n'),
            (b'5\r\nhello\r\n5;', b'x' * 2 * MAX_IDLE_FRAMING_BYTES),
        ):
            received = await read_refusal(fleet, *pieces)
            assert received.startswith(b'HTTP/1.1 400'), received
            assert b'Dandelionplank-Request-Id: q-1' in received
        assert not fleet.runs()
        assert (await fleet.call('/look/x'))[0] == 200


@run_async
async def test_malformed_heads_are_counted():
    """Each one wrote a traceback, so that callers could fill the log."""
    name = 'malformed_requests_total', ()
    async with platform_fleet(engines=1) as fleet:
        counted = METRICS.counters[name]
        url = URL(fleet.urls[0])
        reader, writer = await asyncio.open_connection(url.host, url.port)
        writer.write(b'GET / HTTP/1.1\r\nno field\r\n\r\n')
        assert b'400' in await reader.readline()
        writer.close()
        assert METRICS.counters[name] == counted + 1


@run_async
async def test_reports_of_unlisted_senders_are_bounded():
    """Each name that a datagram stated was kept for as long as it stated."""
    async with platform_fleet() as fleet:
        exchange = fleet.gateways[0].exchange
        report = exchange._report(())
        for number in range(5):
            named = msgspec.structs.replace(report, sender=f'other-{number}')
            with mock.patch.object(exchange_module, 'MAX_UNLISTED_SENDERS', 3):
                exchange._receive_report(named)
        assert len(exchange.peer_loads.reports) == 3


@run_on_both_loops
async def test_the_handler_has_the_attributes_that_are_relied_on():
    """Another version of aiohttp may name or count them in another way."""

    async def serve(_):
        return web.Response()

    server = web.Server(serve, max_line_size=65_536)
    guard = ConnectionGuard('test', HEADER_BYTES, CallerBounds())
    made = []

    def make():
        made.append(guard.wrap(server()))
        return made[0]

    listener = await asyncio.get_running_loop().create_server(
        make, '127.0.0.1', 0
    )
    host, port = listener.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    await asyncio.sleep(0.05)
    connection = made[0]
    assert connection.is_idle
    assert connection.http._request_count == 0
    connection.http.data_received(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    assert not connection.is_idle
    assert connection.http._request_count == 1
    message, body = connection.http._messages[-1]
    assert message.method == 'GET'
    assert body.is_eof()
    assert (await reader.readline()).startswith(b'HTTP/1.1 200')
    writer.write(b'GET /'.ljust(HEADER_BYTES + HEAD_SLACK_BYTES, b'x'))
    received = await reader.read()
    assert b'431' in received, received
    writer.close()
    listener.close()
    await server.shutdown()
    assert not guard.connections


@run_on_both_loops
async def test_responses_that_callers_do_not_read_are_bounded():
    """Callers that read nothing kept whole responses in memory."""
    bounds = CallerBounds(held_bytes=10_000_000)

    async def serve(_):
        return web.Response(body=b'x' * 8_000_000)

    async with bounded_server(serve, bounds) as (guard, address):
        callers = [await asyncio.open_connection(*address) for _ in range(5)]
        for _, writer in callers:
            writer.transport.pause_reading()
            writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        await asyncio.sleep(0.2)
        guard.close_slow_readers()
        assert guard.unread_bytes > bounds.response_bytes
        await asyncio.sleep(0.05)
        assert len(guard.connections) < len(callers)
        guard.close_slow_readers()
        assert guard.unread_bytes <= bounds.response_bytes
        for _, writer in callers:
            writer.transport.abort()


@run_on_both_loops
async def test_connections_beyond_the_bound_are_not_kept():
    """A process without free descriptors cannot reach its targets."""
    bounds = CallerBounds(connections=4)
    async with bounded_server(respond, bounds) as (guard, address):
        callers = [await asyncio.open_connection(*address) for _ in range(6)]
        await asyncio.sleep(0.05)
        assert guard.is_crowded.is_set()
        assert len(guard.connections) == 4
        for _, writer in callers:
            writer.close()
        await asyncio.sleep(0.05)
        assert not guard.connections


def stalled_request(request_id, size):
    """Return the head of a request with a body, and what it sends of it."""
    headers = request_headers(request_id, 'key-a')
    headers['Content-Length'] = str(size)
    lines = [f'{name}: {text}' for name, text in headers.items()]
    head = '\r\n'.join(('POST /look/x HTTP/1.1', *lines, '', ''))
    return head.encode(), b'x' * (size - 1)


@run_async
async def test_a_stalled_body_gives_its_place_to_the_next():
    """Refusals of stalled bodies state that nothing ran, and when to retry."""
    async with platform_fleet(engines=1) as fleet:
        daemon = fleet.gateways[0]
        daemon.gateway.bodies.held.large_limit_bytes = 1_000_000
        document = configuration(2, safe={'TimeoutMs': 20_000})
        document['Limits']['MaxBodyBytes'] = 4_194_304
        fleet.store.put('op/config', document)
        await wait_until(lambda: daemon.server.limits.body_bytes == 4_194_304)
        url = URL(fleet.urls[0])
        callers = []
        for number in range(2):
            callers.append(await asyncio.open_connection(url.host, url.port))
            for piece in stalled_request(f'stalled-{number}', 600_000):
                callers[-1][1].write(piece)
            await asyncio.sleep(0.1)
        (first, _), (second, writer) = callers
        async with asyncio.timeout(5):
            refused = await first.read()
        assert refused.startswith(b'HTTP/1.1 503')
        assert b'Dandelionplank-Request-Id: stalled-0' in refused
        assert b'Retry-After: 0.50' in refused
        writer.write(b'x')
        async with asyncio.timeout(5):
            served = await second.readline()
        assert b'200' in served
        assert [run.request_id for run in fleet.runs()] == ['stalled-1']
        for _, each in callers:
            each.close()
