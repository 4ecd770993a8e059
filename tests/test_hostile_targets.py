"""Tests of the gateway against targets that break the protocol.

Guards against bytes that are no response and come without end, responses that
belong to another request, and streams that stall while bytes still arrive.
"""

import asyncio
import contextlib
import functools
import time
from pathlib import Path
from unittest import mock

import aiohttp
from nose2.tools import params

from bench.platform import (
    COMPLETE_STREAM,
    MODEL_HEADERS,
    configuration,
    target_entry,
)
from dandelionplank.delivery import bounds
from dandelionplank.delivery.events import EventFramer
from dandelionplank.errors import StoreError, TargetError
from dandelionplank.platform.engines import fetch_cached_parts
from dandelionplank.platform.store import MAX_RESPONSE_BYTES
from dandelionplank.routing.scheduler import Rejection
from tests.fixtures import run_async, run_on_both_loops, running, wait_until
from tests.platformfleet import hostile_fleet, platform_fleet

PAGE_BYTES = 4096
ENDLESS_CALLS = 100
# Memory that a few endless responses may take.
FEW_CALLS_BYTES = 33_554_432
# Memory that a hundred endless bodies may take; see docs/SETTINGS.md.
ENDLESS_CALLS_BYTES = 134_217_728
# Timeout of the routes.
TIMEOUT_S = 3.0
# Share of it after which an answer counts
# as given at once.
AT_ONCE_S = 1.5
# Processor time for an event of the maximum length that arrives in pieces.
LONG_EVENT_S = 0.5
EVENT_STREAM = 'Content-Type: text/event-stream'
CHUNKED = 'Transfer-Encoding: chunked'


def resident_bytes():
    """Return the resident memory of this process."""
    statm = Path('/proc/self/statm').read_text(encoding='utf-8')
    return int(statm.split()[1]) * PAGE_BYTES


@contextlib.asynccontextmanager
async def watched_memory():
    """Sample by how much the resident memory has grown; yield the samples."""
    before = resident_bytes()
    growth = [0]

    async def sample():
        while True:
            growth.append(resident_bytes() - before)
            await asyncio.sleep(0.01)

    async with running(sample()):
        yield growth


async def endless_body(exchange):
    """Send a success without a length whose body never ends."""
    await exchange.write(exchange.head())
    await exchange.flood(b'x' * 1024)


async def endless_error(exchange):
    """Send a failure without a length whose body never ends."""
    await exchange.write(exchange.head(status='500 Oops'))
    await exchange.flood(b'x' * 1024)


async def endless_chunks(exchange):
    """Send a chunked body of small chunks that never ends."""
    await exchange.write(exchange.head(CHUNKED))
    await exchange.flood(b'1\r\nx\r\n')


async def endless_foreign_body(exchange):
    """Send another request's response whose body never ends."""
    await exchange.write(exchange.head(request_id='other'))
    await exchange.flood(b'x' * 1024)


async def endless_interim(exchange):
    """Send interim responses without end."""
    await exchange.flood(b'HTTP/1.1 102 Wait\r\n\r\n')


async def endless_responses(exchange):
    """Send complete responses to another request without end."""
    await exchange.flood(exchange.response(b'stray', request_id='other'))


async def endless_status_line(exchange):
    """Send a status line that never ends."""
    await exchange.flood(b'HTTP/1.1 200 OKOKOK')


async def endless_headers(exchange):
    """Send header lines without end."""
    await exchange.write(exchange.head()[:-2])
    await exchange.flood(b'X-Filler: yes\r\n')


async def endless_garbage(exchange):
    """Send bytes that are no response."""
    await exchange.flood(b'\x00\xff' * 64)


ENDLESS = (
    endless_body,
    endless_error,
    endless_foreign_body,
    endless_interim,
    endless_responses,
    endless_status_line,
    endless_headers,
    endless_garbage,
)


@run_async
async def test_endless_chunks_end_at_the_timeout_with_bounded_memory():
    """Chunks of one byte cost time, not memory; other calls are served."""
    async with hostile_fleet(endless_chunks) as (fleet, target):
        before = resident_bytes()
        endless = [
            asyncio.ensure_future(fleet.call('/book/x', data=b'd'))
            for _ in range(4)
        ]
        await asyncio.sleep(0.2)
        sound = await fleet.call('/chat/x', headers=MODEL_HEADERS)
        assert sound[:2] == (200, COMPLETE_STREAM)
        answers = await asyncio.gather(*endless)
        assert {status for status, _, _ in answers} <= {502, 504}
        assert resident_bytes() - before < FEW_CALLS_BYTES
        await wait_until(lambda: not target.connections)


def test_endless_responses_end_at_once_with_bounded_memory():
    """Each endless response gets a 502 status long before the timeout."""
    for behaviour in ENDLESS:
        check_endless_response(behaviour)


def check_endless_response(behaviour):
    """Call a hostile target several times and check time and memory."""

    @run_async
    async def check():
        async with hostile_fleet(behaviour) as (fleet, target):
            await asyncio.sleep(0)
            start_s = time.monotonic()
            before = resident_bytes()
            answers = await asyncio.gather(
                *(fleet.call('/book/x', data=b'd') for _ in range(4))
            )
            took_s = time.monotonic() - start_s
            statuses = {status for status, _, _ in answers}
            assert statuses == {502}, (behaviour.__name__, statuses)
            assert took_s < AT_ONCE_S, (behaviour.__name__, took_s)
            grown = resident_bytes() - before
            assert grown < FEW_CALLS_BYTES, (behaviour.__name__, grown)
            await wait_until(lambda: not target.connections)

    check()


@run_async
async def test_endless_lists_of_cached_parts_take_bounded_memory():
    """One such engine took 750 MB of each gateway that started beside it."""
    for behaviour in (*ENDLESS, endless_chunks):
        async with hostile_fleet(behaviour, 'llm') as (fleet, _):
            view = fleet.gateways[0].view
            target = view.registry.targets['hostile']
            async with watched_memory() as growth:
                try:
                    await fetch_cached_parts(target)
                except TargetError as error:
                    assert error.peer == 'hostile'
                else:
                    raise AssertionError(behaviour.__name__)
            grown = max(growth)
            assert grown < FEW_CALLS_BYTES, (behaviour.__name__, grown)


@run_async
async def test_endless_answers_of_the_store_take_bounded_memory():
    """They are failed calls, and the store is asked again."""
    async with platform_fleet() as fleet:
        fleet.store.faults.body = b' ' * (MAX_RESPONSE_BYTES + 1)
        store = fleet.gateways[0].parts.source.store
        before = resident_bytes()
        try:
            await store.read_range('')
        except StoreError as error:
            assert 'longer' in error.reason
        else:
            raise AssertionError('read')
        assert resident_bytes() - before < MAX_RESPONSE_BYTES * 3


@run_async
async def test_a_hundred_endless_bodies_leave_other_calls_alone():
    """Memory stays within the stated limits; sound targets still answer."""
    async with hostile_fleet(endless_body) as (fleet, _):
        before = resident_bytes()
        endless = [
            asyncio.ensure_future(fleet.call('/book/x', data=b'd'))
            for _ in range(ENDLESS_CALLS)
        ]
        sound = await fleet.call('/chat/x', headers=MODEL_HEADERS)
        assert sound[:2] == (200, COMPLETE_STREAM)
        answers = await asyncio.gather(*endless)
        assert {status for status, _, _ in answers} <= {502, 503}
        grown = resident_bytes() - before
        assert grown < ENDLESS_CALLS_BYTES, grown
        delivery = fleet.gateways[0].gateway.delivery
        assert not delivery.held.total_bytes


@run_async
async def test_an_endless_event_ends_the_stream():
    """An event that never ends is cut, and the stream looks incomplete."""

    async def endless_event(exchange):
        await exchange.write(exchange.head(EVENT_STREAM))
        await exchange.flood(b'data: x')

    async with hostile_fleet(endless_event, 'llm') as (fleet, _):
        start_s = time.monotonic()
        assert (await fleet.call('/chat/x', headers=MODEL_HEADERS))[0] == 502
        assert time.monotonic() - start_s < AT_ONCE_S


async def endless_repetition(exchange):
    """Send the same event without end."""
    await exchange.write(exchange.head(EVENT_STREAM))
    await exchange.flood(b'id: 1\ndata: x\n\n')


async def endless_comments(exchange):
    """Send comments without end."""
    await exchange.write(exchange.head(EVENT_STREAM))
    await exchange.flood(b': still here\n\n')


@run_async
async def test_a_flood_of_events_without_progress_leaves_other_calls_alone():
    """Eight such streams kept a gateway too busy to serve other callers."""
    for behaviour in (endless_repetition, endless_comments):
        async with hostile_fleet(behaviour, 'llm') as (fleet, target):
            start_s = time.monotonic()
            floods = [
                asyncio.ensure_future(
                    fleet.call('/chat/x', headers=MODEL_HEADERS)
                )
                for _ in range(8)
            ]
            for _ in range(10):
                assert (await fleet.call('/look/x'))[0] == 200
            ended = await asyncio.gather(*floods, return_exceptions=True)
            assert all(isinstance(end, aiohttp.ClientError) for end in ended)
            assert time.monotonic() - start_s < TIMEOUT_S
            await wait_until(functools.partial(_has_no_connection, target))


def _has_no_connection(target):
    """Return whether no connection to a hostile target is open."""
    return not target.connections


def test_the_time_for_a_long_event_grows_linearly():
    """Each byte is searched once, however the event is cut."""
    chunk = b'x' * 64
    framer = EventFramer()
    start_s = time.process_time()
    for _ in range(bounds.MAX_EVENT_BYTES // len(chunk)):
        assert not framer.feed(chunk)
    assert time.process_time() - start_s < LONG_EVENT_S
    with contextlib.suppress(ValueError):
        framer.feed(chunk)
        raise AssertionError('the event is longer than its limit')


@run_async
async def test_a_late_copy_is_not_taken_for_the_next_answer():
    """A second copy that comes after its response closes the connection."""

    async def late_copy(exchange):
        answer = exchange.response(exchange.request.body)
        await exchange.write(answer)
        await asyncio.sleep(0.02)
        await exchange.write(answer)

    async with hostile_fleet(late_copy) as (fleet, target):
        for number in range(20):
            body = b'call %d' % number
            status, answer, _ = await fleet.call('/book/x', data=body)
            assert (status, answer) == (200, body)
            await asyncio.sleep(0.002 * number)
        assert max(request.number for request in target.requests) < 20


@run_async
async def test_a_copy_is_skipped_on_a_connection_in_use_again():
    """A copy that comes ahead of the next response is dropped by its id."""
    earlier = []

    async def copy_first(exchange):
        copies = b''.join(earlier[-1:])
        answer = exchange.response(exchange.request.body)
        earlier.append(answer)
        await exchange.write(copies + answer)

    async with hostile_fleet(copy_first) as (fleet, target):
        for number in range(8):
            body = b'call %d' % number
            status, answer, _ = await fleet.call('/book/x', data=body)
            assert (status, answer) == (200, body)
        assert max(request.number for request in target.requests) > 1


@run_async
async def test_a_copy_without_an_id_is_not_accepted():
    """On a reused connection, a response must state its request."""

    async def anonymous_failure(exchange):
        if exchange.request.number > 1:
            await exchange.write(
                b'HTTP/1.1 503 Full\r\nDandelionplank-Not-Executed: 1\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
        await exchange.write(exchange.response(b'ok'))

    async with hostile_fleet(anonymous_failure) as (fleet, target):
        assert (await fleet.call('/book/x', data=b'd'))[0] == 200
        status, _, headers = await fleet.call('/book/x', data=b'd')
        assert (len(target.requests), status) == (2, 502)
        assert 'Retry-After' not in headers


@run_async
async def test_a_copy_split_across_two_requests_is_not_accepted():
    """Half of a copy before the next request, half after it."""

    async def split_copy(exchange):
        answer = exchange.response(exchange.request.body)
        half = len(answer) // 2
        if exchange.request.number == 1:
            await exchange.write(answer + answer[:half])
            return
        await exchange.write(answer[half:] + answer)

    async with hostile_fleet(split_copy) as (fleet, _):
        for number in range(6):
            body = b'call %d' % number
            status, answer, _ = await fleet.call('/book/x', data=body)
            assert status in {200, 502}
            assert status == 502 or answer == body


def stalling_stream(block):
    """Return a behaviour: two events, then the same bytes now and then."""

    async def stall(exchange):
        await exchange.write(
            exchange.head(EVENT_STREAM)
            + b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'
        )
        await exchange.trickle(block)

    return stall


async def check_stalled_stream(block):
    """Check that a stalled stream ends well before its deadline."""
    async with hostile_fleet(stalling_stream(block), 'llm') as (fleet, target):
        fleet.store.put(
            'servers/second',
            target_entry('second', 'llm', '127.0.0.1:9'),
        )
        view = fleet.gateways[0].view
        await wait_until(lambda: len(view.targets_of('llm')) == 2)
        changes = {'TimeoutMs': 60_000, 'CanResume': True, 'Attempts': 2}
        resumable = {**changes, 'GapTargetMs': 50}
        fleet.store.put('op/config', configuration(2, resume=resumable))
        await wait_until(lambda: view.table.version == 2)
        with contextlib.suppress(aiohttp.ClientError):
            await fleet.call(
                '/draft/x',
                headers={
                    **MODEL_HEADERS,
                    'Dandelionplank-Deadline-Ms': '60000',
                },
            )
        await wait_until(lambda: not target.connections)


@run_async
async def test_a_stalled_stream_that_sends_bytes_now_and_then_ends():
    """Bytes of an event, comments and repeated events are no progress."""
    for block in (b'x', b': still here\n\n', b'id: 2\ndata: x\n\n'):
        await check_stalled_stream(block)


async def slow_stream(exchange):
    """Send a complete stream with pauses beyond its gap target."""
    await exchange.write(exchange.head(EVENT_STREAM, CHUNKED))
    for number in range(1, 6):
        event = b'id: %d\ndata: x\n\n' % number
        await exchange.write(b'%x\r\n%s\r\n' % (len(event), event))
        await asyncio.sleep(0.25)
    await exchange.write(b'0\r\n\r\n')


@run_async
async def test_a_slow_stream_is_not_cut_if_no_other_target_may_resume_it():
    """Pauses beyond the limit do not end a sound stream."""
    async with hostile_fleet(slow_stream, 'llm', repeat_extra=0) as (fleet, _):
        view = fleet.gateways[0].view
        changes = {'GapTargetMs': 20, 'CanResume': True, 'Attempts': 2}
        fleet.store.put('op/config', configuration(2, resume=changes))
        await wait_until(lambda: view.table.version == 2)
        status, body, _ = await fleet.call('/draft/x', headers=MODEL_HEADERS)
        assert (status, body) == (200, COMPLETE_STREAM)


@run_async
async def test_a_slow_stream_is_not_cut_if_no_other_target_has_capacity():
    """A pause beyond the limit is no reason to end the response."""
    async with hostile_fleet(slow_stream, 'llm') as (fleet, _):
        gateway = fleet.gateways[0]
        changes = {'GapTargetMs': 20, 'CanResume': True, 'Attempts': 2}
        fleet.store.put('op/config', configuration(2, resume=changes))
        await wait_until(lambda: gateway.view.table.version == 2)
        stream = asyncio.ensure_future(
            fleet.call('/draft/x', headers=MODEL_HEADERS)
        )
        await wait_until(
            lambda: any(
                load.running for load in gateway.scheduler.loads.values()
            )
        )
        refused = Rejection(mock.Mock(service='llm'), 'no capacity', 1)
        with mock.patch.object(
            gateway.scheduler, 'submit', return_value=refused
        ):
            status, body, _ = await stream
        assert (status, body) == (200, COMPLETE_STREAM)


@params('000', '001', '099', '600', '999', '1000', '+200', '2e2')
def test_a_status_that_http_does_not_define_is_no_response(status):
    """Callers got a status of 600 and 999 as the response of a target."""

    async def respond(exchange):
        body = b'Content-Length: 4\r\n\r\nodd!'
        head = exchange.head(status=f'{status} Odd')
        await exchange.write(head[:-2] + body)

    @run_on_both_loops
    async def run():
        for path, service in (('/book/x', 'plain'), ('/chat/x', 'llm')):
            async with hostile_fleet(respond, service) as (fleet, _):
                found = await fleet.call(path, data=b'd', headers=MODEL_HEADERS)
                assert found[0] == 502, (path, found)

    run()
