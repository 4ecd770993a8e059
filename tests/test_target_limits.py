"""Tests of targets that state how many requests a second they take."""

import asyncio
import contextlib
import itertools
import time
from unittest import mock

import msgspec
from nose2.tools import params

from bench.platform import MODEL_HEADERS
from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet import owners
from dandelionplank.fleet.peers import PeerLoadTable, PeerReport, ReportedLimit
from dandelionplank.fleet.ratereports import (
    apply_limit_reports,
    limit_reports,
)
from dandelionplank.platform.headers import response_metadata
from dandelionplank.routing.load import TargetLoad
from dandelionplank.routing.ratelimit import (
    UNLIMITED,
    RateStatement,
    RequestRateLimit,
)
from dandelionplank.routing.routes import ModelMemory
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.routing.work import PromptPart, TokenWork
from dandelionplank.settings import Address
from dandelionplank.targets import Target
from tests.fixtures import run_async
from tests.platformfleet import platform_fleet

GATEWAYS = 3
# Bounds that the platform states, counted from the first statement.
IN_FORCE_AFTER_S = 3.0
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
# Share of its limit that a target must get while there is enough demand.
USED_SHARE = 0.6
CALL_PERIOD_S = 0.05
PLAYED_S = IN_FORCE_AFTER_S + 2 * WINDOW_S


def most_in_window(arrivals_s):
    """Return the largest number of arrivals within one window."""
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in arrivals_s)
            for start_s in arrivals_s
        ),
        default=0,
    )


def arrivals_after_contact(target):
    """Return when requests arrived after the limit had to be in force."""
    arrivals_s = [run.started_at_s for run in target.runs]
    in_force_s = arrivals_s[0] + IN_FORCE_AFTER_S
    return [at_s for at_s in arrivals_s if at_s >= in_force_s]


async def call_all_gateways(fleet, path, for_s=PLAYED_S):
    """Call the gateways in turn, faster than a limited target allows."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + for_s
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if loop.time() >= end_s:
                return
            gateway = number % len(fleet.gateways)
            group.create_task(
                fleet.call(path, gateway=gateway, headers=MODEL_HEADERS)
            )
            await asyncio.sleep(CALL_PERIOD_S)


def check_limit(target, limit):
    """Check that a target got about as much as its limit allows."""
    arrivals_s = arrivals_after_contact(target)
    allowed = EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
    assert most_in_window(arrivals_s) <= allowed, most_in_window(arrivals_s)
    rate = len(arrivals_s) / (PLAYED_S - IN_FORCE_AFTER_S)
    assert rate >= limit * USED_SHARE, rate


@contextlib.contextmanager
def pools_in_small_fleets():
    """Let owners assign the targets of pools in fleets of any size."""
    with mock.patch.object(owners, 'MIN_POOLED_FLEET', 1):
        yield


async def play_limited_target(name, path):
    """Limit the only target of a service, and check what it gets."""
    async with platform_fleet(gateways=GATEWAYS, engines=1) as fleet:
        target = fleet.targets[name]
        target.faults.stated_limit = '3.5'
        await call_all_gateways(fleet, path)
        check_limit(target, 3.5)


@run_async
async def test_a_fleet_keeps_the_limit_that_an_engine_states():
    """Instances that decide alone keep the limit together."""
    await play_limited_target('llm-0', '/chat/x')


@run_async
async def test_the_owners_of_pools_keep_the_limit_that_an_engine_states():
    """An owner learns of a limit from the instances that get responses."""
    with pools_in_small_fleets():
        await play_limited_target('llm-0', '/chat/x')


@run_async
async def test_pooled_fleets_keep_the_limit_of_a_plain_target():
    """Requests without a prompt are counted against a limit as well."""
    with pools_in_small_fleets():
        await play_limited_target('plain-0', '/look/x')


def learn(limit, rate, at_s, now_s=None):
    """Record a statement of the target, as its response arrives."""
    return limit.learn(
        RateStatement(rate, at_s),
        at_s if now_s is None else now_s,
        is_own=True,
    )


def grant_all(limit, now_s):
    """Grant all requests that may be sent now; return how many."""
    limit.refill(now_s)
    granted = 0
    while limit.has_request:
        limit.grant()
        granted += 1
    return granted


@params(
    (None, UNLIMITED),
    ('2.5', 2.5),
    ('0', 0),
    ('1e9', 1e9),
    ('-1', None),
    ('nan', None),
    ('inf', None),
    ('3,4', None),
    ('few', None),
    ('', None),
)
def test_only_one_finite_number_states_a_limit(text, rate):
    """Other texts neither begin nor end a limit."""
    headers = {} if text is None else {'Server-Limit': text}
    assert response_metadata(200, headers).request_rate == rate


def test_an_overtaken_response_does_not_end_a_limit():
    """A response without a limit counts from the sending of its request."""
    limit = RequestRateLimit()
    assert learn(limit, 3.0, 10.0)
    overtaken = RateStatement.from_response(UNLIMITED, 9.9, 10.1)
    assert not limit.learn(overtaken, 10.1, is_own=True)
    assert limit.is_limited
    later = RateStatement.from_response(UNLIMITED, 10.05, 10.2)
    assert limit.learn(later, 10.2, is_own=True)
    assert limit.has_request
    assert not limit.wait_s(9)


def test_a_target_that_takes_no_requests_is_still_tried():
    """Only a response can state the end of a limit."""
    limit = RequestRateLimit()
    learn(limit, 0.0, 0.0)
    tried = sum(grant_all(limit, now_s) for now_s in range(41))
    assert 1 <= tried <= EXCESS_REQUESTS * 40 / WINDOW_S


def test_two_spenders_keep_a_limit_by_what_they_report():
    """Each charges what the other has granted since its last report."""
    limits = [RequestRateLimit(), RequestRateLimit()]
    for limit in limits:
        learn(limit, 5.0, 0.0)
    granted = 0
    for step in range(1, 81):
        counts = [grant_all(limit, step * 0.05) for limit in limits]
        limits[0].charge(counts[1])
        limits[1].charge(counts[0])
        granted += sum(counts)
    assert 5 * WINDOW_S * USED_SHARE <= granted <= 5 * WINDOW_S + 2


def make_load(**changes):
    """Return the load of an engine."""
    target = Target('e', 'llm', Address('127.0.0.1', 9), 'a', **changes)
    return TargetLoad(target, ModelMemory(16, 400_000))


def test_a_restarted_target_is_not_limited_before_it_states_so():
    """A limit belongs to one start of a target."""
    load = make_load(limit=8, started_ms=1)
    learn(load.limit, 1.0, time.monotonic())
    scheduler = Scheduler('a', lambda service: [], PeerLoadTable())
    scheduler.loads['e'] = load
    assert scheduler.load_of(load.target) is load
    restarted = make_load(limit=8, started_ms=2).target
    assert not scheduler.load_of(restarted).limit.is_limited


@params(('a', 1, True), ('a', 2, False), ('b', 1, False))
def test_an_instance_learns_a_limit_from_the_reports_of_others(
    name, started_ms, is_learned
):
    """A report about another target, or another start of it, is ignored."""
    load = make_load(limit=8, started_ms=1)
    scheduler = Scheduler('a', lambda service: [], PeerLoadTable())
    reported = ReportedLimit(started_ms, 4, 2.0, 0.1)
    report = PeerReport('p', 1, 1, 1, 1, 0, False, {}, {}, (), {name: reported})
    apply_limit_reports(scheduler, {'a': load.target}, report, None, 5.0)
    limit = scheduler.load_of(load.target).limit
    assert limit.is_limited is is_learned
    assert not limit.is_own
    limit.refill(6.0)
    level = limit.level
    later = ReportedLimit(started_ms, 6, 2.0, 0.1)
    apply_limit_reports(
        scheduler,
        {'a': load.target},
        msgspec.structs.replace(report, sequence=2, limits={name: later}),
        report,
        6.0,
    )
    assert limit.level == level - 2 * is_learned


def test_only_limits_and_their_recent_ends_are_reported():
    """A report does not grow with the targets that state no limit."""
    load = make_load(limit=8)
    learn(load.limit, UNLIMITED, 1.0)
    assert not limit_reports({'a': load}, 1.1)
    learn(load.limit, 2.0, 2.0)
    assert limit_reports({'a': load}, 50.0)['a'].rate == 2
    learn(load.limit, UNLIMITED, 50.0)
    learn(load.limit, UNLIMITED, 51.0)
    ended = limit_reports({'a': load}, 52.0)['a']
    assert (ended.rate, ended.age_s) == (UNLIMITED, 1)
    assert not limit_reports({'a': load}, 70.0)


def test_requests_that_a_limit_delays_past_their_objective_are_refused():
    """A request that cannot be served in time does not wait for it."""
    now_s = time.monotonic()
    load = make_load(limit=8)
    scheduler = Scheduler('a', lambda service: [load.target], PeerLoadTable())
    scheduler.loads['e'] = load
    learn(load.limit, 1.0, now_s)
    work = TokenWork('m', 300, 10, (PromptPart('p', 300),))

    def submit():
        waiting = WaitingRequest(
            'r', 'x', 0.9, 'llm', work, now_s, now_s + 9, 1
        )
        return scheduler.submit(waiting, now_s)

    rejection = submit()
    assert rejection.retry_after_s > 0
    scheduler.loads['e'] = make_load(limit=8)
    scheduler.snapshots.clear()
    assert submit() is None
