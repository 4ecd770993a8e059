"""Tests of targets that repeat a refusal, or break off a response."""

import asyncio

import aiohttp

from bench.platform import MODEL_HEADERS, configuration, target_entry
from tests.fixtures import run_async, run_on_both_loops, wait_until
from tests.platformfleet import hostile_fleet

NOT_EXECUTED = 'Dandelionplank-Not-Executed: 1'
REFUSED = 503
BROKEN = 'broken off'
# Times after a request at which the repeated refusal arrives.
REPEATED_AFTER_S = (0, 0.01)
PATHS = ('/book/x', '/look/x')
EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))
EVENT_STREAM = 'Content-Type: text/event-stream'


async def answer_of(fleet, path, request_id, **options):
    """Return the status and body that a caller gets, or that it broke off."""
    headers = {**MODEL_HEADERS, 'Dandelionplank-Request-Id': request_id}
    try:
        answer = await fleet.call(path, data=b'd', headers=headers, **options)
    except aiohttp.ClientError:
        return BROKEN
    return answer[:2]


def repeating(runs, *, delay_s, states_id):
    """Return a behaviour: a refusal, then the same ahead of each response.

    :param runs: receives the requests that the target executes
    :param states_id: the refusal states the id of its request
    """
    refusals = []

    async def respond(exchange):
        if not refusals:
            request_id = None if states_id else ''
            head = exchange.head(
                NOT_EXECUTED,
                'Content-Length: 0',
                status='503 Full',
                request_id=request_id,
            )
            refusals.append(head)
            await exchange.write(head)
            return
        runs.append(exchange.request)
        await asyncio.sleep(delay_s)
        if exchange.request.number > 1:
            await exchange.write(refusals[0])
        await asyncio.sleep(delay_s)
        await exchange.write(exchange.response(b'done'))

    return respond


async def check_repeated_refusal(path, first_id, second_id, **options):
    """Check that a request that ran is not reported as refused."""
    runs = []
    async with hostile_fleet(repeating(runs, **options)) as (fleet, _):
        first = await answer_of(fleet, path, first_id)
        assert first[0] == REFUSED, first
        await asyncio.sleep(0.15)
        second = await answer_of(fleet, path, second_id)
        assert runs
        assert second == (200, b'done') or second[0] == 502, second


@run_async
async def test_a_repeated_refusal_is_not_taken_for_the_next_response():
    """Callers were told 503 for requests that their target had run."""
    for path in PATHS:
        for delay_s in REPEATED_AFTER_S:
            for first_id, second_id in (('a', 'b'), ('a', 'a'), ('', '')):
                for states_id in (True, False):
                    await check_repeated_refusal(
                        path,
                        first_id,
                        second_id,
                        delay_s=delay_s,
                        states_id=states_id,
                    )


@run_async
async def test_a_repeated_request_is_served_beside_a_repeated_refusal():
    """A caller that repeats a request with its id gets its own response."""
    runs = []
    behaviour = repeating(runs, delay_s=0.01, states_id=True)
    async with hostile_fleet(behaviour) as (fleet, target):
        assert (await answer_of(fleet, '/book/x', 'a'))[0] == REFUSED
        await asyncio.sleep(0.15)
        assert await answer_of(fleet, '/book/x', 'a') == (200, b'done')
        assert [request.number for request in target.requests] == [1, 1]


ERROR_LINES = (
    ('Content-Length: 7',),
    ('Content-Length: 7', 'Content-Type: text/event-stream'),
    (),
)


@run_on_both_loops
async def test_an_error_after_a_broken_stream_does_not_reach_its_caller():
    """Neither text nor head of another target's error enters a stream."""
    for path in ('/draft/x', '/chat/x'):
        for status in ('500 Failed', '503 Full', '404 Unknown'):
            for lines in ERROR_LINES:
                await check_error_after_stream(path, status, lines)


async def check_error_after_stream(path, status, lines):
    """Break a stream off; the next target answers with an error."""

    async def break_off(exchange):
        if len(target.requests) == 1:
            head = exchange.head(EVENT_STREAM)
            await exchange.write(b''.join((head, EVENTS[0])))
            await asyncio.sleep(0.01)
            await exchange.write(EVENTS[1][:-3])
            exchange.end(is_reset=True)
            return
        head = exchange.head(*lines, status=status)
        await exchange.write(b''.join((head, b'failure')))
        exchange.end()

    async with hostile_fleet(break_off, 'llm') as (fleet, target):
        view = fleet.gateways[0].view
        port = view.targets_of('llm')[0].address.port
        entry = target_entry('second', 'llm', f'127.0.0.1:{port}')
        fleet.store.put('servers/second', entry)
        changes = {'CanResume': True, 'Attempts': 2}
        fleet.store.put('op/config', configuration(2, resume=changes))
        await wait_until(lambda: len(view.targets_of('llm')) == 2)
        await wait_until(lambda: view.table.version == 2)
        received = b''
        is_complete = True
        async with fleet.open(path, data=b'd', headers=MODEL_HEADERS) as answer:
            assert answer.status == 200
            try:
                async for block in answer.content.iter_any():
                    received += block
            except aiohttp.ClientError:
                is_complete = False
        assert received == EVENTS[0], (path, status, lines, received)
        assert not is_complete, (path, status, lines)


HEADS = (
    ('Content-Length: 4',),
    ('Transfer-Encoding: chunked',),
    (EVENT_STREAM,),
    ('Content-Length: 0', 'Connection: close'),
)


@run_on_both_loops
async def test_a_head_that_is_cut_short_is_no_response():
    """A close within the head gave callers an empty response of status 200."""
    for path, service in (
        ('/book/x', 'plain'),
        ('/look/x', 'plain'),
        ('/chat/x', 'llm'),
    ):
        for lines in HEADS:
            await check_cut_heads(path, service, lines)


async def check_cut_heads(path, service, lines):
    """Cut a head after each of some numbers of bytes, on used connections."""

    async def cut_head(exchange):
        head = exchange.head(*lines)
        length = next(lengths)
        if exchange.request.number == 1 and length % 2:
            whole = exchange.head('Content-Length: 7', EVENT_STREAM)
            await exchange.write(b''.join((whole, b'data: x')))
            return
        await exchange.write(head[: len(head) - 1 - length])
        exchange.end(is_reset=length % 3 == 0)

    lengths = iter(range(200))
    async with hostile_fleet(cut_head, service) as (fleet, _):
        for number in range(12):
            answer = await answer_of(fleet, path, f'q{number}')
            is_whole = answer == (200, b'data: x')
            is_error = answer == BROKEN or answer[0] >= 500
            assert is_whole or is_error, (path, lines, answer)
