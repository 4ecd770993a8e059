"""Tests of responses that have neither a length nor chunks.

Such a response ends with its connection. Guards against truncated responses
that look complete, and against complete ones that do not reach the caller.
"""

import asyncio
import contextlib

import aiohttp

from bench.platform import (
    COMPLETE_STREAM,
    MODEL_HEADERS,
    configuration,
    request_headers,
    target_entry,
)
from dandelionplank.delivery.dispatch import FULL_PAUSE_S
from tests.fixtures import only, run_on_both_loops, wait_until
from tests.platformfleet import hostile_fleet, platform_fleet

EVENT_STREAM = 'Content-Type: text/event-stream'
# Pauses of the target before the body and before the end.
PAUSES_S = (0.02, 0.02)
# Ways to send the same response; every two of the values occur together.
VARIANTS = (
    {'version': 'HTTP/1.1'},
    {'version': 'HTTP/1.1', 'pauses_s': PAUSES_S, 'is_reused': True},
    {'version': 'HTTP/1.0', 'is_reused': True},
    {'version': 'HTTP/1.0', 'pauses_s': PAUSES_S},
)
NOT_EXECUTED = 'Dandelionplank-Not-Executed: 1'
SERVICES_BY_PATH = {'/book/x': 'plain', '/chat/x': 'llm'}
BODY = b'payload'
LONG_BODY = b'x' * 2_000_000
EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))
# More than the buffers of both sides hold.
UPLOAD = b'u' * 4_000_000
UNREAD_S = 0.3
SERVED = (200, BODY)
BROKEN = 'truncated'


def unframed(
    body,
    *lines,
    pauses_s=(0, 0),
    is_reset=False,
    is_reused=False,
    stays_open=False,
    **head,
):
    """Return a behaviour: responses that end with their connection.

    :param pauses_s: before the body and before the end
    :param is_reused: the first response on a connection has a length
    :param stays_open: the target does not close the connection
    """

    async def respond(exchange):
        if is_reused and exchange.request.number == 1:
            await exchange.write(exchange.response(EVENTS[0]))
            return
        answer = (exchange.head(*lines, **head), body)
        if not pauses_s[0]:
            answer = (b''.join(answer),)
        for block in answer:
            await exchange.write(block)
            await asyncio.sleep(pauses_s[0])
        await asyncio.sleep(pauses_s[1])
        if not stays_open:
            exchange.end(is_reset=is_reset)

    return respond


async def outcome(fleet, path, upload=b'd'):
    """Return the status and body that a caller gets, or "truncated"."""
    try:
        answer = await fleet.call(path, data=upload, headers=MODEL_HEADERS)
    except aiohttp.ClientError:
        return BROKEN
    return answer[:2]


class Caller:
    """Sends requests for a path to targets that do not frame their bodies."""

    def __init__(self, fleet, target, path):
        """Hold a fleet with one target for the path."""
        self.fleet = fleet
        self.target = target
        self.path = path

    async def outcome_of(self, body, *lines, is_reused=False, **options):
        """Return what a caller gets from a target that does not frame it."""
        self.target.behaviour = unframed(
            body, *lines, is_reused=is_reused, **options
        )
        if is_reused:
            assert await outcome(self.fleet, self.path) == (200, EVENTS[0])
        found = await outcome(self.fleet, self.path)
        # The connection has ended with the response: it is not reused.
        assert self.target.requests[-1].number == 1 + is_reused
        return found


@contextlib.asynccontextmanager
async def caller_of(path):
    """Run a gateway with one target and yield a caller."""
    service = SERVICES_BY_PATH[path]
    async with hostile_fleet(unframed(b''), service) as (fleet, target):
        yield Caller(fleet, target, path)


@run_on_both_loops
async def test_an_unframed_response_is_served_at_its_end():
    """A close ends the response; a reset truncates it."""
    async with caller_of('/book/x') as caller:
        for options in VARIANTS:
            assert await caller.outcome_of(BODY, **options) == SERVED, options
            broken = await caller.outcome_of(BODY, is_reset=True, **options)
            assert broken[0] == 502, options
        for body in (b'', LONG_BODY):
            assert await caller.outcome_of(body) == (200, body)
            assert (await caller.outcome_of(body, is_reset=True))[0] == 502


@run_on_both_loops
async def test_an_unframed_error_is_served_at_its_end():
    """An error that is reset does not bear the target's status."""
    for path in SERVICES_BY_PATH:
        async with caller_of(path) as caller:
            found = await caller.outcome_of(BODY, status='500 Oops')
            assert found == (500, BODY)
            found = await caller.outcome_of(
                BODY, status='500 Oops', is_reset=True
            )
            assert found[0] == 502


@run_on_both_loops
async def test_an_unframed_stream_is_complete_if_closed_between_events():
    """A close inside an event truncates the stream."""
    async with caller_of('/chat/x') as caller:
        for options in VARIANTS:
            whole = await caller.outcome_of(
                COMPLETE_STREAM, EVENT_STREAM, **options
            )
            assert whole == (200, COMPLETE_STREAM), options
            broken = await caller.outcome_of(
                COMPLETE_STREAM[:-1], EVENT_STREAM, **options
            )
            assert broken == BROKEN, options
        broken = await caller.outcome_of(b'id: 1', EVENT_STREAM)
        assert broken[0] == 502


@run_on_both_loops
async def test_an_unframed_stream_is_truncated_by_a_reset():
    """A reset truncates a stream also between its events."""
    async with caller_of('/chat/x') as caller:
        for body in (COMPLETE_STREAM, COMPLETE_STREAM[:-1]):
            broken = await caller.outcome_of(
                body, EVENT_STREAM, pauses_s=PAUSES_S, is_reset=True
            )
            assert broken == BROKEN
        broken = await caller.outcome_of(b'', EVENT_STREAM, is_reset=True)
        assert broken[0] == 502


@run_on_both_loops
async def test_events_of_an_unframed_stream_are_forwarded_at_once():
    """An event reaches the caller while its stream is open."""
    is_received = asyncio.Event()

    async def wait_for_caller(exchange):
        await exchange.write(exchange.head(EVENT_STREAM) + EVENTS[0])
        await is_received.wait()
        await exchange.write(b''.join(EVENTS[1:]))
        exchange.end()

    async with (
        hostile_fleet(wait_for_caller, 'llm') as (fleet, _),
        fleet.open('/chat/x', headers=MODEL_HEADERS) as response,
    ):
        assert await response.content.readany() == EVENTS[0]
        is_received.set()
        assert await response.read() == b''.join(EVENTS[1:])


@run_on_both_loops
async def test_an_unframed_stream_broken_inside_an_event_is_resumed():
    """Another target sends the events that are missing."""
    for is_reset in (False, True):
        behaviour = unframed(
            b''.join(EVENTS[:2]) + EVENTS[2][:5],
            EVENT_STREAM,
            pauses_s=(0, 0.02),
            is_reset=is_reset,
        )
        async with hostile_fleet(behaviour, 'llm', keeps_sound_target=True) as (
            fleet,
            target,
        ):
            for _ in range(8):
                assert await outcome(fleet, '/draft/x') == (
                    200,
                    COMPLETE_STREAM,
                )
            assert target.requests
            resumed = {run.headers.get('Last-Event-ID') for run in fleet.runs()}
            assert '2' in resumed


@run_on_both_loops
async def test_a_response_whose_head_is_cut_is_not_served():
    """A close inside the head is no response."""

    async def cut_head(exchange):
        await exchange.write(exchange.head()[:-6])
        exchange.end()

    async with hostile_fleet(cut_head) as (fleet, _):
        assert (await outcome(fleet, '/book/x'))[0] == 502


@run_on_both_loops
async def test_an_unframed_refusal_is_known_from_its_head():
    """The request goes to another target although the body is incomplete."""
    for path, served in (('/book/x', b'd'), ('/chat/x', COMPLETE_STREAM)):
        for end in ({'is_reset': True}, {'stays_open': True}):
            service = SERVICES_BY_PATH[path]
            behaviour = unframed(BODY, NOT_EXECUTED, status='503 Full', **end)
            async with hostile_fleet(
                behaviour, service, keeps_sound_target=True
            ) as (fleet, target):
                for _ in range(8):
                    assert await outcome(fleet, path) == (200, served), end
                assert target.requests


@run_on_both_loops
async def test_a_complete_refusal_leaves_its_connection_usable():
    """The next request is sent on the connection of a complete refusal."""

    async def refuse(exchange):
        head = exchange.head(NOT_EXECUTED, 'Content-Length: 4', status='503 F')
        await exchange.write(b''.join((head, b'full')))

    for path in SERVICES_BY_PATH:
        async with hostile_fleet(refuse, SERVICES_BY_PATH[path]) as (
            fleet,
            target,
        ):
            assert (await outcome(fleet, path))[0] == 503
            await asyncio.sleep(2 * FULL_PAUSE_S)
            assert (await outcome(fleet, path))[0] == 503
            assert [request.number for request in target.requests] == [1, 2]


@run_on_both_loops
async def test_an_unframed_stream_without_events_is_truncated():
    """A close before the first event is not taken for a complete stream."""
    async with caller_of('/chat/x') as caller:
        for options in VARIANTS:
            broken = await caller.outcome_of(b'', EVENT_STREAM, **options)
            assert broken[0] == 502, options
        framed = await caller.outcome_of(b'', 'Content-Length: 0')
        assert framed == (200, b'')


@run_on_both_loops
async def test_an_unframed_stream_that_resumes_without_events_is_truncated():
    """A stream that was resumed does not end at a close without an event."""

    async def break_off(exchange):
        await exchange.write(exchange.head(EVENT_STREAM))
        if len(target.requests) == 1:
            await exchange.write(EVENTS[0])
            await exchange.write(EVENTS[1][:-1])
        exchange.end()

    async with hostile_fleet(break_off, 'llm') as (fleet, target):
        view = fleet.gateways[0].view
        port = only(view.targets_of('llm')).address.port
        entry = target_entry('second', 'llm', f'127.0.0.1:{port}')
        fleet.store.put('servers/second', entry)
        await wait_until(lambda: len(view.targets_of('llm')) == 2)
        assert await outcome(fleet, '/draft/x') == BROKEN
        assert len(target.requests) == 2


@run_on_both_loops
async def test_an_unframed_response_to_another_request_ends_the_attempt():
    """No response can follow it, even if the target stays connected."""
    foreign = unframed(BODY, request_id='other', stays_open=True)
    async with hostile_fleet(foreign) as (fleet, _):
        assert (await outcome(fleet, '/book/x'))[0] == 502


@run_on_both_loops
async def test_a_malformed_chunk_ends_the_attempt():
    """A body that cannot be parsed is truncated, not silent."""

    async def malformed_chunk(exchange):
        await exchange.write(exchange.head('Transfer-Encoding: chunked'))
        await exchange.write(b'5\r\nid: 1\r\n')
        await asyncio.sleep(PAUSES_S[0])
        await exchange.write(b'zz\r\n')

    for path in SERVICES_BY_PATH:
        service = SERVICES_BY_PATH[path]
        async with hostile_fleet(malformed_chunk, service) as (fleet, _):
            assert (await outcome(fleet, path))[0] == 502


@run_on_both_loops
async def test_the_standin_gives_unframed_responses_of_every_kind():
    """A gateway serves the whole ones and detects those that are reset."""
    async with platform_fleet(engines=1) as fleet:
        faults = [target.faults for target in fleet.targets.values()]
        for each in faults:
            each.unframed_responses = 100
        assert await outcome(fleet, '/book/x') == (200, b'd')
        assert await outcome(fleet, '/chat/x') == (200, COMPLETE_STREAM)
        for each in faults:
            each.server_errors = 1
        assert await outcome(fleet, '/book/x') == (500, b'd')
        for each in faults:
            each.resets_unframed = True
        assert (await outcome(fleet, '/book/x'))[0] == 502
        assert await outcome(fleet, '/chat/x') == BROKEN
        for each in faults:
            each.rejected_requests = 1
        assert (await outcome(fleet, '/book/x'))[0] == 503
        assert {each.unframed_responses for each in faults} == {96, 98}


async def read_as_http10(fleet, path):
    """Send a request in HTTP/1.0 and return the bytes up to the end."""
    ip, _, port = fleet.urls[0].removeprefix('http://').partition(':')
    headers = {**request_headers('q-1.0', 'key-a'), **MODEL_HEADERS}
    lines = [f'{name}: {text}' for name, text in headers.items()]
    reader, writer = await asyncio.open_connection(ip, int(port))
    head = '\r\n'.join((f'GET {path} HTTP/1.0', *lines, '', ''))
    writer.write(head.encode())
    try:
        return await reader.read()
    finally:
        writer.close()


@run_on_both_loops
async def test_a_stream_reaches_a_caller_without_chunks():
    """In HTTP/1.0 a close ends a stream, and a reset truncates it."""
    for body in (COMPLETE_STREAM, COMPLETE_STREAM[:-1]):
        behaviour = unframed(body, EVENT_STREAM, pauses_s=PAUSES_S)
        async with hostile_fleet(behaviour, 'llm') as (fleet, _):
            received = BROKEN
            with contextlib.suppress(ConnectionResetError):
                received = await read_as_http10(fleet, '/chat/x')
        if body == COMPLETE_STREAM:
            head, _, received_body = received.partition(b'\r\n\r\n')
            assert b' 200 ' in head
            assert received_body == COMPLETE_STREAM
        else:
            assert received == BROKEN


def answers_early(is_reset, *lines):
    """Return a behaviour: a response before the request has been read."""

    async def respond(exchange):
        body = COMPLETE_STREAM if lines else BODY
        await exchange.write(exchange.head(*lines) + body)
        if is_reset:
            exchange.end(is_reset=True)
            return
        exchange.writer.write_eof()
        await asyncio.sleep(UNREAD_S)

    return respond


@contextlib.asynccontextmanager
async def upload_fleet(behaviour, service):
    """Run a gateway that takes long bodies, with a target that reads none."""
    async with hostile_fleet(behaviour, service, reads_bodies=False) as (
        fleet,
        _,
    ):
        gateway = fleet.gateways[0]
        document = configuration(2)
        document['Limits']['MaxBodyBytes'] = len(UPLOAD)
        fleet.store.put('op/config', document)
        await wait_until(
            lambda: gateway.server.limits.body_bytes == len(UPLOAD)
        )
        yield fleet


@run_on_both_loops
async def test_an_unframed_response_before_its_request_is_written_is_cut():
    """A part of a response was served as whole while an upload was written.

    Without a length its end is that of the connection, which broke.
    """
    for path, lines in (('/book/x', ()), ('/chat/x', (EVENT_STREAM,))):
        for is_reset in (False, True):
            async with upload_fleet(
                answers_early(is_reset, *lines), SERVICES_BY_PATH[path]
            ) as fleet:
                found = await outcome(fleet, path, UPLOAD)
                assert found == BROKEN or found[0] == 502, (path, is_reset)


@run_on_both_loops
async def test_a_framed_response_before_its_request_is_read_is_served():
    """Its length shows that it is whole, whatever the target reads."""

    async def respond(exchange):
        await exchange.write(exchange.response(BODY))
        await asyncio.sleep(UNREAD_S)

    async with upload_fleet(respond, 'plain') as fleet:
        assert await outcome(fleet, '/book/x', UPLOAD) == SERVED
