"""Tests of the bound on the requests that cold targets get."""

import asyncio
import base64
import bisect
import collections
import functools
import itertools
import json
import random
import time
from http import HTTPStatus
from unittest import mock

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from bench.platform import configuration
from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet.coldowners import HANDOVER_S, ColdOwners
from dandelionplank.fleet.coldreports import apply_cold_reports, cold_reports
from dandelionplank.fleet.peers import (
    PeerLoadTable,
    PeerReport,
    ReportedCold,
)
from dandelionplank.fleet.registry import TargetRegistry
from dandelionplank.fleet.view import FleetView
from dandelionplank.platform.documents import (
    decode_configuration,
    decode_target,
)
from dandelionplank.routing import coldstart
from dandelionplank.routing.coldstart import (
    ENTRY_DELAY_S,
    LONGEST_GRANT_AGE_S,
    LOWEST_RATE,
    ColdBound,
    ColdTargets,
)
from dandelionplank.routing.routes import (
    ColdLimit,
    ModelMemory,
    RequestLimits,
    RouteService,
    RouteTable,
)
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.routing.work import PromptPart, TokenWork
from dandelionplank.settings import Address
from dandelionplank.targets import Target
from tests.fixtures import only, run_async, running
from tests.platformfleet import platform_fleet
from tests.test_pool_owners import owner_of, pooled_fleet
from tests.test_target_limits import call_all_gateways

RATE = 5.9
OVER = 1.5
SLACK = 5.0
ALLOWED = RATE * OVER + SLACK
COLD_S = 3.0
LIMIT = ColdLimit(COLD_S, RATE)
# Share of the rate that a cold target must get while there is enough demand.
USED_SHARE = 0.9
STEP_S = 0.02
HEARTBEAT_S = 1.0
# Time after the start of a fleet at which its owners may use the allowance.
KNOWN_AFTER_S = 3.5
PLAYED_S = 5.0


def make_target(name='e', service='llm', **changes):
    """Return a target with many slots."""
    return Target(
        name, service, Address('127.0.0.1', 9), 'a', limit=500, **changes
    )


def make_cold(limits=None, over=OVER, slack=SLACK):
    """Return the states of targets, at first none."""
    cold = ColdTargets()
    cold.set_allowance(over, slack)
    cold.configure({'llm': LIMIT} if limits is None else limits)
    return cold


def listed(target, left_s):
    """Return a target as its entry describes it."""
    return msgspec.structs.replace(target, cold_left_s=left_s)


def is_cold(cold, now_s):
    """Return whether any target counts as cold."""
    return any(state.is_cold(now_s) for state in cold.states.values())


def take_all(cold, target, now_s, queue='llm'):
    """Grant all requests that may be sent now, a hundred at most."""
    granted = []
    while len(granted) < 100:
        state = cold.prepared(target, queue, now_s)
        if not state.has_request:
            break
        state.grant(now_s, 0.1)
        granted.append(now_s)
    return granted


def most_in_a_second(times_s):
    """Return the largest number of requests in any second."""
    ordered = sorted(times_s)
    return max(
        (
            bisect.bisect_left(ordered, at_s + 1.0) - number
            for number, at_s in enumerate(ordered)
        ),
        default=0,
    )


@given(
    st.floats(0.1, 1000),
    st.floats(1, 3),
    st.floats(0, 50),
)
def test_a_bucket_grants_no_more_than_the_bound_in_a_second(rate, over, slack):
    """Its rate and burst together stay under it, if it allows a request."""
    bound = ColdBound.from_limit(ColdLimit(COLD_S, rate), over, slack)
    assert bound.burst >= 1
    assert LOWEST_RATE / 2 < bound.rate <= max(rate, LOWEST_RATE)
    if rate * over + slack > 1 + LOWEST_RATE:
        assert bound.rate + bound.burst <= rate * over + slack + 1e-6


class LearningInstance:
    """An instance that learns of one target in all ways there are."""

    def __init__(self):
        """Know a target that is not cold."""
        self.cold = make_cold()
        self.cold.is_in_charge = lambda queue, now_s: self.is_permitted
        self.is_permitted = True
        self.target = make_target()
        self.now_s = 100.0
        self.granted = []

    def warm_entry(self):
        """Read that the target is not cold."""
        self.cold.learn_entry(listed(self.target, 0.0), self.now_s)

    def cold_entry(self):
        """Read that the target is cold."""
        self.cold.learn_entry(listed(self.target, COLD_S), self.now_s)

    def restart(self):
        """Read that the target has started again."""
        self.target = make_target(started_ms=self.target.started_ms + 1)
        self.cold_entry()

    def crash(self):
        """Find the target unreachable."""
        self.cold.record_unreachable(self.target, self.now_s, self.now_s)

    def response(self):
        """Get a response of the target."""
        self.cold.record_response(self.target, self.now_s)

    def restored(self):
        """Learn that the data centre is used again."""
        self.cold.count_as_cold(self.target, self.now_s)

    def peer(self):
        """Learn from another instance that the target is cold."""
        self.cold.learn_from_peer(
            self.target, 2.0, self.now_s, is_assumed=self.is_permitted
        )

    def charge(self):
        """Learn what another instance has granted."""
        self.cold.prepared(self.target, 'llm', self.now_s).charge(3)

    def change_owner(self):
        """Become the owner, or no longer be it."""
        self.is_permitted = not self.is_permitted

    def nothing(self):
        """Let time pass."""

    def use(self, pause_s):
        """Send all that may be sent to a cold target after a pause."""
        self.now_s += pause_s
        state = self.cold.prepared(self.target, 'llm', self.now_s)
        if state.is_cold(self.now_s):
            self.granted.extend(take_all(self.cold, self.target, self.now_s))


COLD_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            (
                'warm_entry',
                'cold_entry',
                'restart',
                'crash',
                'response',
                'restored',
                'peer',
                'charge',
                'change_owner',
                'nothing',
            )
        ),
        st.floats(0, 0.7),
    ),
    max_size=80,
)


@given(COLD_EVENTS)
@settings(max_examples=300)
def test_one_instance_keeps_the_bound_whatever_it_learns(events):
    """Entries, crashes, new starts and reports never renew the bucket."""
    instance = LearningInstance()
    for kind, pause_s in events:
        getattr(instance, kind)()
        instance.use(pause_s)
    assert most_in_a_second(instance.granted) <= ALLOWED


def test_a_cold_target_gets_all_that_its_rate_allows():
    """The bound must not leave a target idle while requests wait."""
    cold = make_cold()
    target = make_target()
    cold.learn_entry(listed(target, COLD_S), 0.0)
    steps = int(COLD_S / STEP_S)
    granted = [
        at_s
        for step in range(steps)
        for at_s in take_all(cold, target, step * STEP_S)
    ]
    assert len(granted) >= RATE * COLD_S * USED_SHARE
    assert most_in_a_second(granted) <= ALLOWED
    assert len(take_all(cold, target, COLD_S + 0.01)) == 100


def test_what_was_sent_before_coldness_was_known_is_made_up_for():
    """A target that becomes cold while it is busy gets nothing for a while."""
    cold = make_cold()
    target = make_target()
    state = cold.prepared(target, 'llm', 10.0)
    for number in range(20):
        state.grant(10.0 + number * 0.05, 0.1)
    cold.learn_entry(listed(target, COLD_S), 11.0)
    assert not take_all(cold, target, 11.5)
    assert take_all(cold, target, 13.9)


def test_an_old_entry_does_not_end_the_coldness_after_a_crash():
    """It may have been written before the crash; a later one ends it."""
    cold = make_cold()
    target = make_target(started_ms=5)
    cold.learn_entry(listed(target, 0.0), 0.0)
    cold.record_unreachable(target, 10.0, 10.0)
    cold.learn_entry(listed(target, 0.0), 10.2)
    assert is_cold(cold, 10.2)
    cold.record_response(target, 11.0)
    cold.learn_entry(listed(target, 0.0), 11.1)
    assert is_cold(cold, 11.1)
    cold.learn_entry(listed(target, 0.0), 11.0 + ENTRY_DELAY_S)
    assert not is_cold(cold, 11.0 + ENTRY_DELAY_S)


def test_a_crashed_target_counts_as_cold_for_its_duration_at_most():
    """Without an entry the coldness ends after the first response."""
    cold = make_cold()
    target = make_target()
    cold.prepared(target, 'llm', 0.0)
    cold.record_unreachable(target, 10.0, 10.0)
    assert is_cold(cold, 60.0)
    cold.record_response(target, 60.0)
    assert is_cold(cold, 60.0 + COLD_S - 0.01)
    assert not is_cold(cold, 60.0 + COLD_S)


def test_the_entry_of_a_new_start_is_believed_at_once():
    """It cannot have been written before the crash."""
    cold = make_cold()
    target = make_target(started_ms=5)
    cold.learn_entry(listed(target, 0.0), 0.0)
    cold.record_unreachable(target, 10.0, 10.0)
    started = make_target(started_ms=6)
    cold.learn_entry(listed(started, 0.0), 10.1)
    assert not is_cold(cold, 10.1)
    cold.learn_entry(listed(target, COLD_S), 10.2)
    assert not is_cold(cold, 10.2)


def test_a_broken_link_is_no_crash():
    """One instance without a link must not limit a target for all."""
    cold = make_cold()
    target = make_target()
    cold.prepared(target, 'llm', 0.0)
    cold.record_response(target, 10.1)
    cold.record_unreachable(target, 10.0, 10.2)
    cold.learn_from_peer(target, COLD_S, 10.2, is_assumed=True)
    assert not is_cold(cold, 10.2)
    cold.record_unreachable(target, 10.3, 10.4)
    assert is_cold(cold, 10.4)


def test_other_instances_learn_of_a_crash():
    """The owner of a plain service gets no events of its requests."""
    target = make_target(started_ms=1)
    first, second = make_cold(), make_cold()
    for cold in (first, second):
        cold.learn_entry(listed(target, 0.0), 9.0)
    first.record_unreachable(target, 10.0, 10.0)
    reports = cold_reports(first, 10.1)
    report = msgspec.structs.replace(report_of('e'), cold=reports)
    apply_cold_reports(second, {'e': target}, report, None, 10.2)
    second.learn_entry(listed(target, 0.0), 10.3)
    assert is_cold(second, 10.2 + COLD_S - 0.01)
    assert not is_cold(second, 10.2 + COLD_S)
    assert not any(
        each.assumed_s or each.left_s
        for each in cold_reports(second, 10.4).values()
    )


def test_coldness_may_begin_again_without_a_start():
    """An entry that states it limits a target that was warm."""
    cold = make_cold()
    target = make_target()
    cold.learn_entry(listed(target, 0.0), 0.0)
    assert len(take_all(cold, target, 1.0)) == 100
    cold.learn_entry(listed(target, 2.0), 5.0)
    assert not take_all(cold, target, 5.0)
    assert take_all(cold, target, 5.3)
    cold.learn_entry(listed(target, 0.0), 6.0)
    assert len(take_all(cold, target, 6.0)) == 100


def test_targets_of_a_restored_data_centre_count_as_cold():
    """At services with a limit, and for the duration that these state."""
    cold = make_cold()
    for target in (make_target(), make_target('p', 'plain')):
        cold.count_as_cold(target, 10.0)
    assert 'p' not in cold.states
    assert is_cold(cold, 10.0 + COLD_S - 0.01)
    assert not is_cold(cold, 10.0 + COLD_S)


def test_services_without_a_limit_have_no_state():
    """Their targets are served as before, whatever their entries state."""
    cold = make_cold(limits={})
    target = make_target()
    cold.learn_entry(listed(target, COLD_S), 0.0)
    cold.record_unreachable(target, 0.0, 0.0)
    assert not cold.states
    scheduler = Scheduler('a', lambda service: [target], PeerLoadTable())
    scheduler.may_start(make_waiting(0.0), 0.0)
    assert scheduler.loads['e'].cold is None


def test_a_limit_that_is_withdrawn_frees_its_targets():
    """A later configuration may state no limit any more."""
    cold = make_cold()
    target = make_target()
    cold.learn_entry(listed(target, COLD_S), 0.0)
    state = cold.prepared(target, 'llm', 0.1)
    assert not state.has_request
    cold.configure({})
    assert state.has_request


def test_removed_targets_leave_no_state():
    """A target that crashed and never returned must not be reported."""
    cold = make_cold()
    target = make_target()
    cold.learn_entry(listed(target, COLD_S), 0.0)
    cold.record_unreachable(target, 0.5, 0.5)
    cold.forget(('e', 'unknown'))
    cold.record_unreachable(target, 0.6, 0.6)
    cold.purge(1.0)
    assert cold_reports(cold, 1.0)
    cold.purge(4.0)
    assert not cold.states


def test_an_entry_that_only_counts_down_is_not_another_target():
    """The pools and connections of a target stay while it is cold."""
    registry = TargetRegistry()
    target = make_target(started_ms=1)
    assert registry.put(listed(target, COLD_S))
    assert not registry.put(listed(target, 1.0))
    assert registry.targets['e'] == target


ENTRY = {
    'Service': 'llm',
    'Addr': '127.0.0.1:9',
    'Zone': 'a',
    'State': 'ready',
    'Slots': 4,
}


@params(
    ({}, None),
    ({'ColdLeftMs': 0}, 0),
    ({'ColdLeftMs': 1500}, 1.5),
    ({'ColdLeftMs': 1500.5}, 1.5005),
    ({'ColdLeftMs': -1}, None),
    ({'ColdLeftMs': None}, None),
    ({'ColdLeftMs': True}, None),
    ({'ColdLeftMs': '1500'}, None),
    ({'ColdLeftMs': [1500]}, None),
    ({'ColdLeftMs': {'a': 1}}, None),
    ({'ColdLeftMs': 10**15}, 600),
    ({'ColdLeftMs': 10**40}, 600),
    ({'ColdLeftMs': 1e300}, 600),
)
def test_malformed_statements_of_coldness_cost_no_target(fields, left_s):
    """A target whose entry states nonsense is served as one without it."""
    document = json.dumps({**ENTRY, **fields}).encode()
    assert decode_target('e', document).cold_left_s == left_s


@params(
    ({}, None),
    ({'ColdS': 3.0, 'ColdPerS': 5.9}, LIMIT),
    ({'ColdS': 3.0, 'ColdPerS': 0}, None),
    ({'ColdS': 0, 'ColdPerS': 5.9}, None),
    ({'ColdS': 3.0}, None),
    ({'ColdPerS': 5.9}, None),
    ({'ColdS': '3', 'ColdPerS': 5.9}, None),
    ({'ColdS': 3.0, 'ColdPerS': True}, None),
    ({'ColdS': 3.0, 'ColdPerS': -2}, None),
    ({'ColdS': -3.0, 'ColdPerS': 2}, None),
    ({'ColdS': 3, 'ColdPerS': [5]}, None),
    ({'ColdS': 1e300, 'ColdPerS': 10**40}, ColdLimit(600, 1_000_000_000_000)),
)
def test_malformed_limits_cost_no_configuration(fields, limit):
    """A service whose limit cannot be decoded has none."""
    document = {'Version': 1, 'Services': [{'Name': 'llm', **fields}]}
    table = decode_configuration(json.dumps(document).encode())
    assert table.services['llm'].cold == limit


def make_waiting(now_s, objective_s=0.9, **changes):
    """Return a prompt that has just arrived."""
    work = TokenWork('m', 300, 10, (PromptPart('p', 300),))
    return WaitingRequest(
        'r', 'x', objective_s, 'llm', work, now_s, now_s + 9, 1, **changes
    )


def make_scheduler(*targets):
    """Return a scheduler of engines whose service states a limit."""
    scheduler = Scheduler('a', lambda service: targets, PeerLoadTable())
    scheduler.engine_memory = {'llm': ModelMemory(500, 400_000)}
    scheduler.cold = make_cold()
    return scheduler


def test_requests_that_a_cold_target_would_delay_are_refused():
    """Only as many wait as the rate serves within their objective."""
    now_s = 10.0
    scheduler = make_scheduler(make_target())
    scheduler.cold.learn_entry(listed(make_target(), COLD_S), now_s)
    refused = [scheduler.submit(make_waiting(now_s), now_s) for _ in range(20)]
    accepted = refused.count(None)
    assert RATE * 0.5 <= accepted <= RATE * 0.9 + 1
    assert all(each.retry_after_s > 0 for each in refused if each)


def test_an_instance_not_in_charge_sends_nothing_to_a_cold_target():
    """Its requests go to other targets, or are refused until it is warm."""
    now_s = 10.0
    warm = make_target('w')
    scheduler = make_scheduler(make_target(), warm)
    scheduler.cold.is_in_charge = lambda queue, now_s: False
    scheduler.cold.learn_entry(listed(make_target(), COLD_S), now_s)
    for number in range(30):
        at_s = now_s + number * 0.05
        assert scheduler.submit(make_waiting(at_s), at_s) is None
        for grant in scheduler.run_pass('llm', at_s):
            assert grant.load.target == warm
    alone = make_scheduler(make_target())
    alone.cold.is_in_charge = lambda queue, now_s: False
    alone.cold.learn_entry(listed(make_target(), COLD_S), now_s)
    rejection = alone.submit(make_waiting(now_s), now_s)
    assert 1 <= rejection.retry_after_s <= 4
    late_s = now_s + COLD_S
    assert alone.submit(make_waiting(late_s), late_s) is None


@given(st.integers(0, 1_000_000))
@settings(max_examples=30)
def test_a_scheduler_uses_all_of_its_cold_targets(seed):
    """If all targets are cold, the whole allowance is used, and no more."""
    chance = random.Random(seed)
    targets = [make_target(f'e{number}') for number in range(4)]
    scheduler = make_scheduler(*targets)
    for target in targets:
        scheduler.cold.learn_entry(listed(target, COLD_S), 10.0)
    times_s = collections.defaultdict(list)
    for step in range(int(COLD_S / STEP_S)):
        at_s = 10.0 + step * STEP_S
        for _ in range(chance.randrange(3)):
            scheduler.submit(make_waiting(at_s), at_s)
        for grant in scheduler.run_pass('llm', at_s):
            grant.load.record_first_event(grant.sent, at_s)
            grant.load.record_end(grant.sent)
            times_s[grant.load.target.name].append(at_s)
    total = sum(len(each) for each in times_s.values())
    assert total >= len(targets) * RATE * COLD_S * USED_SHARE
    assert all(most_in_a_second(each) <= ALLOWED for each in times_s.values())


def test_a_grant_that_is_sent_late_is_not_used():
    """The grants of a frozen instance must not arrive with later ones."""
    scheduler = make_scheduler(make_target())
    now_s = time.monotonic()
    scheduler.cold.learn_entry(listed(make_target(), COLD_S), now_s - 1.0)
    scheduler.submit(make_waiting(now_s), now_s)
    grant = only(scheduler.run_pass('llm', now_s + 0.001))
    cold = grant.load.cold
    sent_s = grant.sent.sent_s
    assert not cold.is_outdated(sent_s, sent_s + LONGEST_GRANT_AGE_S)
    assert cold.is_outdated(sent_s, sent_s + LONGEST_GRANT_AGE_S + 0.01)
    assert not cold.is_outdated(sent_s, sent_s + COLD_S)


class FakeView(FleetView):
    """A view that is confirmed whenever an entry is read."""

    age_s = 0.0


class FakeFleetMember:
    """One instance of a simulated fleet, with the store's list as it sees it.

    :param frozen_until_s: time until which it does nothing
    """

    def __init__(self, name, names, rate):
        """Start a process that has heard of nobody."""
        self.name = name
        self.view = FakeView(5)
        self.view.table = MODEL_TABLE
        self.read_s = -1.0
        self.view.peers.update(dict.fromkeys(names, ''))
        self.loads = PeerLoadTable()
        self.owners = ColdOwners(name, self.view, self.loads)
        self.cold = make_cold({'llm': ColdLimit(COLD_S, rate)})
        self.cold.is_in_charge = self.owners.is_in_charge
        self.cold.is_informed = self.owners.is_informed
        self.incarnation = random.random()
        self.sequences = itertools.count(1)
        self.frozen_until_s = -1.0

    def report(self, period_s, now_s):
        """Return the next report."""
        return PeerReport(
            self.name,
            int(self.incarnation * 1e9),
            next(self.sequences),
            period_s,
            1,
            now_s - self.read_s,
            False,
            {},
            {},
            cold=cold_reports(self.cold, now_s),
        )

    def read_entry(self, target, now_s):
        """Read that a target is cold."""
        self.read_s = now_s
        self.cold.learn_entry(listed(target, COLD_S), now_s)

    def receive(self, report, target, now_s):
        """Record a report as the exchange does."""
        known = self.loads.reports.get(report.sender)
        if self.loads.receive(report, now_s):
            apply_cold_reports(
                self.cold,
                {target.name: target},
                report,
                known.report if known else None,
                now_s,
            )


MODEL_TABLE = RouteTable.from_routes(
    1,
    (),
    None,
    (RouteService('llm', ModelMemory(8, 1000), LIMIT),),
    RequestLimits(),
)
# As in small fleets. Idle instances report at four times this period.
PERIOD_S = 0.06
FLEET_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('cut', 'heal', 'freeze', 'restart', 'loss')),
        st.integers(0, 6),
        st.floats(0.1, 6),
    ),
    max_size=12,
)


class FakeFleet:
    """Instances that exchange reports over links which may be cut."""

    def __init__(self, size, rate=RATE):
        """Start instances that know each other from the store."""
        self.rate = rate
        self.names = [f'i{number}' for number in range(size)]
        self.target = make_target()
        self.members = {name: self._start(name) for name in self.names}
        self.cut = set()
        self.lost = set()
        self.now_s = 1000.0
        self.granted = []
        self.spenders = collections.Counter()
        for member in self.members.values():
            member.read_entry(self.target, self.now_s)

    def apply(self, kind, number, seconds):
        """Let one thing happen."""
        name = self.names[number % len(self.names)]
        if kind == 'cut':
            self.cut = set(self.names[: 1 + number % len(self.names)])
        elif kind == 'heal':
            self.cut = set()
        elif kind == 'freeze':
            self.members[name].frozen_until_s = self.now_s + seconds
        elif kind == 'restart':
            # The new process reads the entries before it serves.
            self.members[name] = self._start(name)
            self.members[name].read_entry(self.target, self.now_s)
        else:
            self.lost = {name}

    def step(self, number):
        """Let a twentieth of a second pass; all use what they may."""
        self.now_s += 0.05
        for member in self.members.values():
            if self.now_s < member.frozen_until_s:
                continue
            if number % 20 == 0 and member.name not in self.cut:
                member.read_entry(self.target, self.now_s)
            member.view.age_s = self.now_s - member.read_s
            if (number + int(member.name[1:])) % 5 == 0:
                self._send_report(member)
            member.loads.expire(self.now_s)
            member.owners.update(self.now_s)
            granted = take_all(member.cold, self.target, self.now_s, 'llm#0')
            self.spenders[member.name] += len(granted)
            self.granted.extend(granted)
        self.lost = set()

    def users(self):
        """Return the instances that sent to the target."""
        return [name for name, count in self.spenders.items() if count]

    def _start(self, name):
        """Start the process of an instance."""
        return FakeFleetMember(name, self.names, self.rate)

    def _send_report(self, sender):
        """Send a report over the links that are not cut."""
        report = sender.report(4 * PERIOD_S, self.now_s)
        for member in self.members.values():
            is_cut = (member.name in self.cut) != (sender.name in self.cut)
            is_awake = self.now_s >= member.frozen_until_s
            is_lost = member.name in self.lost or not is_awake
            if member is not sender and not is_cut and not is_lost:
                member.receive(report, self.target, self.now_s)


@given(st.integers(1, 7), st.sampled_from((2.0, RATE, 40.0)), FLEET_EVENTS)
@settings(max_examples=60, deadline=None)
def test_a_fleet_keeps_the_bound_whoever_owns_the_pool(size, rate, events):
    """Partitions, frozen and restarted instances never add up to more."""
    fleet = FakeFleet(size, rate)
    numbers = itertools.count()
    for kind, number, seconds in (*events, ('heal', 0, 4.0)):
        fleet.apply(kind, number, seconds)
        for _ in range(int(seconds / 0.05)):
            fleet.step(next(numbers))
    assert most_in_a_second(fleet.granted) <= rate * OVER + SLACK


@params(1, 2, 3, 26)
def test_one_instance_of_a_sound_fleet_uses_the_allowance(size):
    """It is in charge after the time for a change of the owner."""
    fleet = FakeFleet(size)
    for number in range(120):
        fleet.step(number)
    assert len(fleet.granted) >= RATE * 3.5 * USED_SHARE
    assert len(fleet.users()) == 1


def test_a_new_owner_waits_until_the_one_before_knows_of_it():
    """Both would use the rate until a report of the new one arrives."""
    fleet = FakeFleet(5)
    for number in range(100):
        fleet.step(number)
    first = only(fleet.users())
    fleet.apply('restart', int(first[1:]), 0)
    fleet.spenders.clear()
    for number in range(100, 100 + int(HANDOVER_S / 0.05)):
        fleet.step(number)
    assert not fleet.spenders[first]
    for number in range(200, 260):
        fleet.step(number)
    assert fleet.spenders[first]


def test_a_lone_instance_sends_nothing_while_others_are_known():
    """It cannot know what the others send."""
    fleet = FakeFleet(5)
    for number in range(60):
        fleet.step(number)
    fleet.cut = {'i0'}
    for number in range(60, 160):
        fleet.step(number)
    fleet.spenders.clear()
    for number in range(160, 260):
        fleet.step(number)
    assert not fleet.spenders['i0']
    assert sum(fleet.spenders.values()) >= RATE * 5 * USED_SHARE


def test_another_instance_takes_over_from_one_that_is_lost():
    """The allowance is used again some seconds later."""
    fleet = FakeFleet(5)
    for number in range(80):
        fleet.step(number)
    first = only(fleet.users())
    fleet.spenders.clear()
    fleet.members[first].frozen_until_s = 1e9
    for number in range(80, 280):
        fleet.step(number)
    second = only(fleet.users())
    assert second != first
    assert fleet.spenders[second] >= RATE * 4 * USED_SHARE
    assert most_in_a_second(fleet.granted) <= ALLOWED


@params(('llm', False), ('llm#1', True), ('plain', True), ('plain#0', False))
def test_a_target_is_assigned_by_the_owner_of_one_queue(queue, is_assigning):
    """Engines by that of their pool, plain targets by that of the service."""
    fleet = FakeFleet(1)
    member = fleet.members['i0']
    peer = PeerReport('i9', 1, 1, 1e6, 1, 0, False, {}, {})
    member.loads.receive(peer, 1000.0)
    member.view.peers.update(dict.fromkeys(('i0', 'i9')))
    member.owners.update(1000.0)
    for step in range(50):
        member.owners.update(1000.0 + step * 0.1)
    peers = {'i0'}
    member.view.peers = dict.fromkeys(peers, '')
    assert member.owners.is_in_charge(queue, 1005.0) is is_assigning


def test_a_queue_that_permits_nothing_does_not_empty_the_bucket():
    """An owner may also decide alone, for requests of other pools."""
    cold = make_cold()
    target = make_target()
    cold.is_in_charge = lambda queue, now_s: queue == 'llm#0'
    cold.learn_entry(listed(target, COLD_S), 0.0)
    granted = []
    for step in range(int(COLD_S / STEP_S)):
        granted.extend(take_all(cold, target, step * STEP_S, 'llm#0'))
        granted.extend(take_all(cold, target, step * STEP_S + 0.01, 'llm'))
    assert len(granted) >= RATE * COLD_S * USED_SHARE
    assert most_in_a_second(granted) <= ALLOWED
    cold.learn_entry(listed(target, COLD_S), 10.0)
    assert not take_all(cold, target, 10.5, 'llm')


def test_targets_are_not_paced_after_an_outage_of_the_store():
    """Nothing shows that they were cold; their caches are as they were."""
    cold = make_cold()
    target = make_target()
    cold.learn_entry(listed(target, 0.0), 0.0)
    cold.is_informed = lambda now_s: False
    assert not cold.prepared(target, 'llm', 5.0).has_request
    cold.learn_entry(listed(target, 0.0), 6.0)
    state = cold.prepared(target, 'llm', 6.0)
    assert state.has_request
    assert state.pace is None
    cold.learn_entry(listed(target, 1.0), 7.0)
    assert cold.prepared(target, 'llm', 8.0).pace


def test_an_instance_that_shuts_down_is_not_in_charge():
    """Those that hear of it may take over at once."""
    fleet = FakeFleet(1)
    member = fleet.members['i0']
    for step in range(50):
        member.owners.update(1000.0 + step * 0.1)
    assert member.owners.is_in_charge('llm', 1005.0)
    member.owners.is_leaving = True
    assert not member.owners.is_in_charge('llm', 1005.0)


def report_of(name, started_ms=0, granted=0, left_s=1.0):
    """Return a report about one cold target."""
    return PeerReport(
        'p',
        1,
        1,
        1,
        1,
        0,
        False,
        {},
        {},
        cold={name: ReportedCold(started_ms, granted, left_s)},
    )


@params(('e', 1, True), ('e', 2, False), ('f', 1, False), ('p', 1, False))
def test_an_instance_learns_coldness_from_the_reports_of_others(
    name, started_ms, is_learned
):
    """Another start, an unknown target and a plain service are ignored."""
    cold = make_cold()
    targets = {
        'e': make_target(started_ms=1),
        'p': make_target('p', 'plain', started_ms=1),
    }
    first = report_of(name, started_ms, 4)
    apply_cold_reports(cold, targets, first, None, 5.0)
    assert is_cold(cold, 5.5) is is_learned
    assert not any(each.left_s for each in cold_reports(cold, 5.5).values())
    level = cold.states['e'].level if is_learned else 0
    later = report_of(name, started_ms, 6)
    apply_cold_reports(cold, targets, later, first, 5.0)
    if is_learned:
        assert cold.states['e'].level == level - 2


def test_reports_of_earlier_versions_can_be_decoded():
    """Instances of two versions run beside each other during a rollout."""
    block = msgspec.msgpack.encode(report_of('e'))
    fields = msgspec.msgpack.decode(block)
    # The tag of the message comes before its fields.
    known = 1 + PeerReport.__struct_fields__.index('cold')
    older = msgspec.msgpack.encode(fields[:known])
    assert not msgspec.msgpack.decode(older, type=PeerReport).cold


@run_async
async def test_cold_engines_get_no_more_from_a_fleet_than_the_bound():
    """All entries ask the owners of the pools, also for the same engines."""
    async with pooled_fleet(4) as network:
        times_s = collections.defaultdict(list)
        now_s = time.monotonic()
        for instance in network.instances.values():
            instance.scheduler.cold = make_cold()
            for target in instance.view.targets_of('llm'):
                instance.scheduler.cold.learn_entry(
                    listed(target, COLD_S), now_s
                )
        entries = list(network.instances.values())
        while time.monotonic() < now_s + 1.0:
            for entry in entries:
                try:
                    grant = await entry.client.acquire(make_waiting(now_s, 0.3))
                except RefusalError:
                    continue
                times_s[grant.load.target.name].append(time.monotonic())
                entry.client.record_first_event(grant)
                entry.client.release(grant)
        assert times_s
        assert all(
            most_in_a_second(each) <= ALLOWED for each in times_s.values()
        )


@run_async
async def test_an_entry_without_an_owner_sends_nothing_to_cold_engines():
    """It decides alone, and others may send to the same engines."""
    async with pooled_fleet(4) as network:
        work = make_waiting(0).work
        owner = owner_of(network, work)
        entry = next(
            each for each in network.instances.values() if each is not owner
        )
        network.silent.update(set(network.instances) - {entry.name})
        now_s = time.monotonic()
        cold = make_cold()
        entry.scheduler.cold = cold
        cold.is_in_charge = ColdOwners(
            entry.name, entry.view, entry.peer_loads
        ).is_in_charge
        for target in entry.view.targets_of('llm'):
            cold.learn_entry(listed(target, COLD_S), now_s)
        error = None
        try:
            await entry.client.acquire(make_waiting(now_s))
        except RefusalError as refusal:
            error = refusal
        assert error.code is ErrorCode.QUEUE_TIMEOUT
        assert error.retry_after_s > 0


def put_cold_configuration(fleet):
    """State limits of cold targets for both services."""
    table = configuration(2)
    for service in table['Services']:
        service.update(ColdS=COLD_S, ColdPerS=RATE)
    fleet.store.put('op/config', table)


async def stay_cold(fleet, name):
    """Write the entry of a cold target again and again."""
    key = f'servers/{name}'
    entry = json.loads(base64.b64decode(fleet.store.entries[key]['Value']))
    while True:
        fleet.store.put(key, {**entry, 'ColdLeftMs': COLD_S * 1000})
        await asyncio.sleep(HEARTBEAT_S)


@params(('plain-0', '/look/x'), ('llm-0', '/chat/x'))
def test_gateways_keep_the_bound_of_a_cold_target(name, path):
    """Three gateways, with callers at each of them, share the allowance."""
    run_async(functools.partial(play_cold_target, name, path))()


async def play_cold_target(name, path):
    """Call all gateways while a target stays cold, and check what it got."""
    bounds = {'cold_over': OVER, 'cold_slack': SLACK}
    async with platform_fleet(gateways=3, engines=1, **bounds) as fleet:
        put_cold_configuration(fleet)
        target = fleet.targets[name]
        async with running(stay_cold(fleet, name)):
            # The gateways have to learn of it, and of each other.
            await asyncio.sleep(KNOWN_AFTER_S)
            await call_all_gateways(fleet, path, PLAYED_S)
        times_s = [run.started_at_s for run in target.runs]
        assert most_in_a_second(times_s) <= ALLOWED, times_s
        assert len(times_s) >= RATE * PLAYED_S * 0.6, len(times_s)


@run_async
async def test_a_request_with_an_old_grant_is_not_sent():
    """The grants of a frozen instance must not arrive with later ones."""
    async with platform_fleet(gateways=1, engines=1) as fleet:
        put_cold_configuration(fleet)
        async with running(stay_cold(fleet, 'plain-0')):
            await asyncio.sleep(KNOWN_AFTER_S)
            with mock.patch.object(coldstart, 'LONGEST_GRANT_AGE_S', -1):
                status, _, _ = await fleet.call('/look/x')
            assert status == HTTPStatus.SERVICE_UNAVAILABLE
            assert not fleet.targets['plain-0'].runs
            status, _, _ = await fleet.call('/look/x')
            assert status == HTTPStatus.OK
