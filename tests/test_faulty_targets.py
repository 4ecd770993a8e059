"""Tests of targets that repeat a refusal."""

import asyncio

import aiohttp

from bench.platform import MODEL_HEADERS
from tests.fixtures import run_async
from tests.platformfleet import hostile_fleet

NOT_EXECUTED = 'Dandelionplank-Not-Executed: 1'
REFUSED = 503
BROKEN = 'broken off'
# Times after a request at which the repeated refusal arrives.
REPEATED_AFTER_S = (0, 0.01)
PATHS = ('/book/x', '/look/x')


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
