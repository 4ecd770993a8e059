"""Tests of refusals while an instance has more requests than it can handle."""

import asyncio
import contextlib
import random
from unittest import mock

from nose2.tools import params
from yarl import URL

from bench.platform import request_headers
from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.ingress.overload import NEAR_BOUND_SHARE
from dandelionplank.ingress.presence import has_left
from dandelionplank.ingress.server import CallerServer
from dandelionplank.routing import refusals as refusals_module
from dandelionplank.routing.admission import (
    MAX_RETRY_S,
    LatencyEstimate,
    is_repeatable,
    wait_reason,
)
from dandelionplank.routing.refusals import (
    BEHIND_REPEATED_S,
    LONGEST_GAP_S,
    MAX_KEYS,
    PROBE_PERIOD_S,
    REPEATED_REFUSALS,
    REPEATED_S,
    RepeatedRefusals,
)
from tests.fixtures import (
    TIME_LIMIT_S,
    only,
    run_async,
    run_on_both_loops,
    wait_until,
)
from tests.platformfleet import platform_fleet
from tests.test_overload import LATE_S, admit_many
from tests.test_pool_owners import (
    entry_other_than,
    make_waiting,
    make_work,
    owner_of,
    pooled_fleet,
)

KEY = ('account', 'llm')
COST = 1000.0
# Requests of one account, and those that its pool can serve.
OFFERED_PER_S = 500
SERVED_PER_S = 100
# Work that its pool holds when it refuses.
QUEUE_S = 0.4
SECONDS = 20
REQUESTS = 3 * REPEATED_REFUSALS


def refused_in_a_row(count=REPEATED_REFUSALS, now_s=0.0):
    """Return the state after some refusals at a time."""
    refusals = RepeatedRefusals()
    for _ in range(count):
        refusals.record_refusal(KEY, COST, MAX_RETRY_S, now_s)
    return refusals


def test_refusals_are_repeated_for_a_short_time():
    """Each refused request cost as much as one that is granted a target."""
    refusals = refused_in_a_row()
    retry_s = refusals.repeat(KEY, COST, REPEATED_S / 2, is_behind=False)
    assert retry_s == MAX_RETRY_S - REPEATED_S / 2
    assert refusals.repeat(KEY, COST, REPEATED_S, is_behind=False) is None


def test_one_request_at_a_time_asks_again():
    """Otherwise all requests would be asked for until the answer arrives."""
    refusals = refused_in_a_row()
    due_s = REPEATED_S
    assert refusals.repeat(KEY, COST, due_s, is_behind=False) is None
    assert refusals.repeat(KEY, COST, due_s, is_behind=False) is not None
    due_s += PROBE_PERIOD_S
    assert refusals.repeat(KEY, COST, due_s, is_behind=False) is None
    refusals.record_refusal(KEY, COST, MAX_RETRY_S, due_s)
    assert refusals.repeat(KEY, COST, due_s, is_behind=False) is not None


def test_an_account_behind_asks_again_sooner():
    """It is to get the next capacity that others leave."""
    refusals = refused_in_a_row()
    assert refusals.repeat(KEY, COST, BEHIND_REPEATED_S, is_behind=False)
    assert refusals.repeat(KEY, COST, BEHIND_REPEATED_S, is_behind=True) is None


def test_what_may_be_granted_is_asked_for():
    """A refusal says nothing of cheaper requests and of other accounts."""
    refusals = refused_in_a_row(REPEATED_REFUSALS - 1)
    assert refusals.repeat(KEY, COST, 0, is_behind=False) is None
    refusals.record_refusal(KEY, COST, MAX_RETRY_S, 0)
    assert refusals.repeat(KEY, COST, 0, is_behind=False)
    assert refusals.repeat(KEY, COST / 2, 0, is_behind=False) is None
    for other in (('other', 'llm'), ('account', 'plain')):
        assert refusals.repeat(other, COST, 0, is_behind=False) is None
    refusals.record_grant(KEY)
    assert refusals.repeat(KEY, COST, 0, is_behind=False) is None


def test_refusals_long_apart_are_not_in_a_row():
    """Knowledge that is out of date refused nothing."""
    refusals = refused_in_a_row(REPEATED_REFUSALS - 1)
    later_s = 2 * LONGEST_GAP_S
    refusals.record_refusal(KEY, COST, MAX_RETRY_S, later_s)
    assert refusals.repeat(KEY, COST, later_s, is_behind=False) is None


def test_a_refusal_after_a_wait_is_not_repeated():
    """Requests that had just arrived were refused like one whose time was over.

    It had waited for owners that did not reply.
    """
    estimate = LatencyEstimate(0.3, 0.1)
    reason = wait_reason(estimate)
    assert is_repeatable(reason, 0.1, 0.8)
    assert not is_repeatable(reason, 0.7, 0.8)
    assert not is_repeatable('no sound target', 0.1, 0.8)


@run_async
async def test_a_refusal_without_an_owner_is_not_repeated():
    """An instance that hears no owner does not know what engines can take."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        entry = entry_other_than(network, owner_of(network, work).name)
        network.silent.update(network.instances.keys() - {entry.name})
        entry.client.dispatcher.acquire = mock.AsyncMock(
            side_effect=RefusalError(
                wait_reason(LatencyEstimate(0.5, 0.1)), step='queue'
            )
        )
        try:
            await entry.client.acquire(make_waiting(work))
        except RefusalError as error:
            assert not is_repeatable(error.reason, 0, 0.8)
        else:
            raise AssertionError('granted')


def test_the_state_is_bounded():
    """Accounts come and go for as long as the process lives."""
    refusals = RepeatedRefusals()
    for number in range(3 * MAX_KEYS):
        key = (f'account-{number}', 'llm')
        refusals.record_refusal(key, COST, MAX_RETRY_S, float(number))
    assert len(refusals.refused) <= MAX_KEYS


def serve_account(seed, *, is_behind):
    """Return how many requests a pool was asked for and how many it served."""
    source = random.Random(seed)
    refusals = RepeatedRefusals()
    busy_until_s = 0.0
    asked = 0
    served = 0
    for number in range(OFFERED_PER_S * SECONDS):
        now_s = (number + source.random()) / OFFERED_PER_S
        if refusals.repeat(KEY, COST, now_s, is_behind=is_behind) is not None:
            continue
        asked += 1
        wait_s = max(0.0, busy_until_s - now_s)
        if wait_s > QUEUE_S:
            refusals.record_refusal(KEY, COST, wait_s, now_s)
        else:
            refusals.record_grant(KEY)
            busy_until_s = now_s + wait_s + 1 / SERVED_PER_S
            served += 1
    return asked, served


@params(1, 2, 3)
def test_a_repeated_refusal_leaves_no_target_idle(seed):
    """An account that is refused often still gets what its pool can serve."""
    for is_behind in (False, True):
        asked, served = serve_account(seed, is_behind=is_behind)
        assert served >= SERVED_PER_S * SECONDS
        assert asked < OFFERED_PER_S * SECONDS / 2


def make_late(gateway, account=''):
    """Let the loop of an instance count as late from now on.

    :param account: one that has had its share, if any
    """
    if account:
        admit_many(gateway.overload, account)
    gateway.loop_delay.listeners = ()
    gateway.overload.delay_s = LATE_S


@run_async
async def test_refused_callers_leave_a_late_instance():
    """Their connections stayed open, and each retry opened another one."""
    async with platform_fleet() as fleet:
        gateway = fleet.gateways[0].gateway
        assert (await fleet.call('/mine/x'))[0] == 200
        make_late(gateway, 'account-a')
        status, _, headers = await fleet.call('/mine/x', data=b'1' * 9000)
        assert status == 503
        assert headers['Connection'] == 'close'
        await wait_until(lambda: not fleet.gateways[0].server.connection_count)
        assert len(fleet.runs()) == 1


@run_async
async def test_refused_callers_stay_while_there_is_room():
    """A refusal ends its connection near the bound on connections only."""
    async with platform_fleet() as fleet:
        for name in list(fleet.targets):
            fleet.store.delete(f'servers/{name}')
        daemon = fleet.gateways[0]
        await wait_until(lambda: not daemon.view.registry.targets)
        status, _, headers = await fleet.call('/mine/x')
        assert status == 503
        assert 'Connection' not in headers
        overload = daemon.gateway.overload
        with mock.patch.object(
            CallerServer, 'connection_share', NEAR_BOUND_SHARE
        ):
            await wait_until(
                lambda: overload.connection_share == NEAR_BOUND_SHARE
            )
            status, _, headers = await fleet.call('/mine/x')
        assert status == 503
        assert headers['Connection'] == 'close'


@params((True, REPEATED_REFUSALS), (False, REQUESTS))
def test_refusals_in_a_row_ask_no_owner(is_late, expected):
    """The owner of a pool was asked for each request of a busy instance."""
    assert asyncio.run(asked_for_refused(is_late=is_late)) == expected


async def asked_for_refused(*, is_late):
    """Return how many of some refused requests a target was asked for."""
    refusal = RefusalError(
        wait_reason(LatencyEstimate(LATE_S, 0)),
        step='pool',
        code=ErrorCode.QUEUE_TIMEOUT,
        retry_after_s=MAX_RETRY_S,
    )
    async with platform_fleet() as fleet:
        gateway = fleet.gateways[0].gateway
        if is_late:
            make_late(gateway)
        with (
            mock.patch.object(refusals_module, 'REPEATED_S', TIME_LIMIT_S),
            mock.patch.object(refusals_module, 'LONGEST_GAP_S', TIME_LIMIT_S),
            mock.patch.object(
                gateway.delivery.dispatcher, 'acquire', side_effect=refusal
            ) as acquire,
        ):
            for _ in range(REQUESTS):
                status, _, headers = await fleet.call('/mine/x')
                assert status == 503
                assert 0 < float(headers['Retry-After']) <= MAX_RETRY_S
        assert not fleet.runs()
        return acquire.call_count


@contextlib.asynccontextmanager
async def caller_of(fleet):
    """Open a connection to the first gateway."""
    url = URL(fleet.urls[0])
    reader, writer = await asyncio.open_connection(url.host, url.port)
    try:
        yield reader, writer
    finally:
        writer.close()


def request_block(request_id, path='/mine/x', body=''):
    """Return a request over a raw connection."""
    headers = request_headers(request_id, 'key-a')
    lines = [f'{name}: {text}' for name, text in headers.items()]
    length = f'Content-Length: {len(body)}'
    head = '\r\n'.join((f'POST {path} HTTP/1.1', *lines, length))
    return f'{head}\r\n\r\n{body}'.encode()


@run_on_both_loops
async def test_a_request_sent_behind_a_refused_one_gets_a_response():
    """The connection of a refused request ended before the next one ran."""
    async with platform_fleet() as fleet:
        gateway = fleet.gateways[0].gateway
        assert (await fleet.call('/mine/x'))[0] == 200
        make_late(gateway, 'account-a')
        async with caller_of(fleet) as (reader, writer):
            writer.write(request_block('p1') + request_block('p2'))
            responses = await reader.read()
        assert responses.count(b'HTTP/1.1 503') == 2
        assert responses.count(b'Connection: close') == 1


@run_on_both_loops
async def test_a_late_instance_drops_requests_of_callers_that_left():
    """They were sent to targets after their callers had closed."""
    async with platform_fleet() as fleet:
        make_late(fleet.gateways[0].gateway)
        async with caller_of(fleet) as (_, writer):
            await wait_until(lambda: fleet.gateways[0].server.connection_count)
            writer.write(request_block('g1'))
            writer.close()
        await wait_until(lambda: not fleet.gateways[0].server.connection_count)
        assert not fleet.runs()
        assert (await fleet.call('/mine/x'))[0] == 200


@run_on_both_loops
async def test_a_close_shows_before_it_is_read():
    """A busy loop reads the request first, and the close some turns later."""
    async with platform_fleet() as fleet:
        server = fleet.gateways[0].server
        async with caller_of(fleet) as (_, writer):
            await wait_until(lambda: server.connection_count)
            transport = only(server.connections).transport
            request = mock.Mock(transport=transport)
            assert not has_left(request)
            transport.pause_reading()
            writer.close()
            await wait_until(lambda: has_left(request))
            assert not transport.is_closing()
            transport.resume_reading()
            await wait_until(lambda: not server.connection_count)
        assert has_left(request)
