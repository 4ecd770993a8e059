"""Tests of targets that are leaving, or want no requests for a time."""

import asyncio
import math
import time
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict
from nose2.tools import params

from bench.platform import MODEL_HEADERS
from dandelionplank.errors import RefusalError
from dandelionplank.platform.headers import response_metadata
from dandelionplank.routing.availability import (
    LONGEST_CLOSED_S,
    TargetAvailability,
)
from tests.fixtures import run_async, wait_until
from tests.platformfleet import platform_fleet
from tests.test_pool_owners import (
    entry_other_than,
    make_waiting,
    make_work,
    owner_of,
    pooled_fleet,
)

DATE = 'Fri, 04 Dec 2026 10:00:00 GMT'
LATER_DATE = 'Fri, 04 Dec 2026 10:00:07 GMT'
# Requests that a target may get while it wants none.
MOST_WHILE_CLOSED = 2
# Time after which that counts.
GRACE_S = 0.5


async def reach(fleet, target, path, **options):
    """Send requests until one has reached a target."""
    known = len(target.runs) + len(target.rejected_at_s)
    for _ in range(50):
        await fleet.call(path, **options)
        if len(target.runs) + len(target.rejected_at_s) > known:
            return
    raise AssertionError('no request reached the target')


async def send_many(fleet, path, count=30, **options):
    """Send requests at the same time and return their statuses."""
    answers = await asyncio.gather(
        *(fleet.call(path, **options) for _ in range(count))
    )
    return [status for status, _, _ in answers]


@params('success', 'error', 'rejection')
def test_a_target_that_is_leaving_gets_no_more_requests(kind):
    """It was sent requests until the store listed it as draining."""

    @run_async
    async def check():
        async with platform_fleet() as fleet:
            for service, path in (('plain', '/look/x'), ('llm', '/chat/x')):
                target = fleet.targets[f'{service}-0']
                target.faults.is_leaving = True
                if kind == 'rejection':
                    target.faults.runs_left = 0
                if kind == 'error' and service == 'plain':
                    target.faults.server_errors = 1000
                await reach(fleet, target, path, headers=MODEL_HEADERS)
                reached = len(target.runs) + len(target.rejected_at_s)
                statuses = await send_many(fleet, path, headers=MODEL_HEADERS)
                assert set(statuses) <= {200, 503}
                assert 200 in statuses
                now = len(target.runs) + len(target.rejected_at_s)
                assert now == reached

    check()


@run_async
async def test_a_new_start_of_a_target_that_has_left_is_used():
    """What a target states holds for its id and start, whatever is listed."""
    async with platform_fleet(engines=1) as fleet:
        target = fleet.targets['plain-0']
        target.faults.is_leaving = True
        assert (await fleet.call('/look/x'))[0] == 200
        assert (await fleet.call('/look/x'))[0] == 503
        await fleet.start_target('plain-1', 'plain')
        view = fleet.gateways[0].view
        await wait_until(lambda: len(view.targets_of('plain')) == 2)
        ran = len(target.runs)
        assert set(await send_many(fleet, '/look/x', 8)) == {200}
        assert len(target.runs) == ran
        address = view.registry.targets['plain-0'].address.text
        fleet.store.delete('servers/plain-0')
        fleet.store.delete('servers/plain-1')
        await wait_until(lambda: not view.targets_of('plain'))
        target.faults.is_leaving = False
        listed = {
            'Service': 'plain',
            'Addr': address,
            'Zone': 'a',
            'Version': '1',
            'Slots': 8,
            'State': 'ready',
        }
        fleet.store.put('servers/plain-0', listed)
        await asyncio.sleep(0.2)
        assert not view.targets_of('plain')
        fleet.store.put('servers/plain-0', {**listed, 'born': 5})
        await wait_until(lambda: view.targets_of('plain'))
        assert (await fleet.call('/look/x'))[0] == 200


@run_async
async def test_a_granted_target_that_has_closed_is_not_used():
    """A request that waited for a connection or a grant goes elsewhere."""
    async with platform_fleet() as fleet:
        dispatcher = fleet.gateways[0].gateway.delivery.dispatcher
        acquire = dispatcher.acquire

        async def acquire_late(waiting):
            grant = await acquire(waiting)
            if grant.load.target.name == 'plain-0':
                grant.load.availability.record_leaving()
            return grant

        dispatcher.acquire = acquire_late
        assert set(await send_many(fleet, '/book/x')) == {200}
        assert not fleet.targets['plain-0'].runs


@run_async
async def test_owners_assign_no_target_that_turned_the_entry_away():
    """An entry knows of a target what the owner of its pool does not."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        closed = set()
        for number in range(6):
            grant = await entry.client.acquire(make_waiting(work))
            assert grant.load.target.name not in closed
            closed.add(grant.load.target.name)
            if number % 2:
                grant.load.availability.record_leaving()
            else:
                grant.load.availability.record_closed(time.monotonic(), 9, 1)
            entry.client.record_closed(grant)
            entry.client.release(grant)


@run_async
async def test_a_target_that_wants_no_requests_for_a_time_gets_none():
    """The next request went to the same target at once."""
    async with platform_fleet() as fleet:
        target = fleet.targets['plain-0']
        target.faults.runs_left = 0
        target.faults.retry_after = '1.5'
        await reach(fleet, target, '/look/x')
        closed_s = target.rejected_at_s[0]
        while asyncio.get_running_loop().time() < closed_s + 1.4:
            assert set(await send_many(fleet, '/look/x', 10)) == {200}
            await asyncio.sleep(0.05)
        late = [
            each for each in target.rejected_at_s if each > closed_s + GRACE_S
        ]
        assert len(late) <= MOST_WHILE_CLOSED
        target.faults.runs_left = -1
        await asyncio.sleep(0.5)
        await reach(fleet, target, '/look/x')
        assert target.runs


@run_async
async def test_callers_learn_when_a_closed_service_takes_requests_again():
    """They are refused at once, with the time that is left, spread a little."""
    async with platform_fleet(engines=1) as fleet:
        for service, path in (('plain', '/book/x'), ('llm', '/chat/x')):
            target = fleet.targets[f'{service}-0']
            target.faults.runs_left = 0
            target.faults.retry_after = '2'
            await fleet.call(path, headers=MODEL_HEADERS)
            start_s = time.monotonic()
            answers = await asyncio.gather(
                *(fleet.call(path, headers=MODEL_HEADERS) for _ in range(9))
            )
            assert time.monotonic() - start_s < 1
            assert {status for status, _, _ in answers} == {503}
            times = [float(each['Retry-After']) for _, _, each in answers]
            assert all(1 < each <= 4 for each in times)
            assert len(set(times)) > 1
            assert len(target.rejected_at_s) == 1


@params(
    (503, {'Retry-After': '2'}, 2),
    (503, {'Retry-After': '0.25'}, 0.25),
    (503, {'Retry-After': '0'}, 0),
    (503, {'Retry-After': '-5'}, 0),
    (503, {'Retry-After': 'soon'}, 0),
    (503, {'Retry-After': 'nan'}, 0),
    (503, {'Retry-After': ''}, 0),
    (503, {'Retry-After': LATER_DATE, 'Date': DATE}, 7),
    (503, {'Retry-After': DATE, 'Date': LATER_DATE}, 0),
    (503, {'Retry-After': LATER_DATE}, 0),
    (503, {'Retry-After': LATER_DATE, 'Date': 'now'}, 0),
    (503, (('Retry-After', '1'), ('retry-after', '3')), 3),
    (503, {}, 0),
    (429, {'Retry-After': '2'}, 0),
    (200, {'Retry-After': '2'}, 0),
    (502, {'Retry-After': '2'}, 0),
)
def test_the_time_of_a_refusal_is_decoded(status, headers, seconds):
    """Only a 503 closes a target; what cannot be read is no time."""
    found = response_metadata(status, CIMultiDict(headers))
    assert math.isclose(found.closed_s, seconds)


@params(
    (200, '1', True),
    (503, '1', True),
    (500, ' 1 ', True),
    (200, '0', False),
    (200, '', False),
    (200, 'yes', False),
    (421, '1', False),
)
def test_the_statement_of_a_leaving_target_is_decoded(status, text, is_leaving):
    """A misdirected request was answered by another target."""
    headers = CIMultiDict({'Server-Leaving': text})
    assert response_metadata(status, headers).is_leaving is is_leaving


@given(st.floats(0, 1e12), st.floats(0, 1), st.floats(0, 1e6))
def test_a_closed_target_opens_after_its_time(seconds, jitter, now_s):
    """Never before, and not much later; an enormous time is limited."""
    availability = TargetAvailability()
    availability.record_closed(now_s, seconds, jitter)
    limit_s = min(seconds, LONGEST_CLOSED_S)
    assert limit_s - 1e-6 <= availability.wait_s(now_s) <= limit_s + 1.001
    assert availability.is_open(now_s + limit_s + 1.001)
    availability.record_leaving()
    availability.record_closed(now_s, seconds, jitter)
    assert availability.is_leaving
    assert not availability.is_open(now_s + 1e9)


@run_async
async def test_waiting_requests_of_a_service_that_closes_are_refused():
    """What waits is refused as soon as no target can take it in time."""
    async with pooled_fleet(2) as network:
        instance = next(iter(network.instances.values()))
        work = make_work('subject', 'own')
        grants = []
        waiting = []
        while len(waiting) < 3:
            call = asyncio.ensure_future(
                instance.client.acquire(make_waiting(work, 30))
            )
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            (grants if call.done() else waiting).append(call)
        for load in instance.scheduler.loads_of('llm'):
            load.availability.record_closed(time.monotonic(), 60, 0)
        start_s = time.monotonic()
        failures = await asyncio.gather(*waiting, return_exceptions=True)
        assert all(isinstance(each, RefusalError) for each in failures)
        assert all(each.retry_after_s > 59 for each in failures)
        assert time.monotonic() - start_s < 1


@run_async
async def test_a_target_that_turned_its_owner_away_serves_other_instances():
    """Only the instance that got the response is meant."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        for load in owner.scheduler.loads_of('llm'):
            load.availability.record_closed(time.monotonic(), 60, 0)
            owner.client.record_closed(
                mock.Mock(load=load, waiting=make_waiting(work))
            )
        await entry.client.acquire(make_waiting(work))
        try:
            await owner.client.acquire(make_waiting(work))
        except RefusalError as error:
            assert error.retry_after_s > 59
        else:
            raise AssertionError('a closed target was assigned')
