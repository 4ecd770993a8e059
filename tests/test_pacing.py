"""Tests of the pace of targets that start or recover, without a network.

Guards against flooding a target that is not up to its usual load yet, which
crashes it again, and against leaving it idle while requests wait.
"""

import dataclasses
import itertools
import random

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet.peers import PeerLoadTable
from dandelionplank.routing.coldstart import ColdTargets
from dandelionplank.routing.pacing import (
    FAILURES_TO_PACE,
    FIRST_WINDOW,
    LONGEST_PACE_S,
    SMALLEST_WINDOW,
    TargetPace,
    UsualTime,
)
from dandelionplank.routing.routes import ColdLimit
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.settings import Address
from dandelionplank.targets import Target

STEP_S = 0.005
WORK_S = 0.1
CAPACITY = 16.0
PEERS = 3
SLOTS = 16
CALLERS = 96
# A target crashes if it holds more requests than this multiple of those that it
# can serve at once.
CRASH_FACTOR = 2.5
JUDGED_S = 5.0
AIM = 0.9


@dataclasses.dataclass
class SimulatedTarget:
    """Serves requests at the same time, slower the more there are.

    :param capacity_at: returns how many it serves at full speed at a time
    """

    target: Target
    capacity_at: object
    left_s: dict = dataclasses.field(default_factory=dict)
    grants: dict = dataclasses.field(default_factory=dict)
    has_crashed: bool = False
    served: int = 0

    def step(self, now_s):
        """Work for one step; return the grants that are served."""
        capacity = self.capacity_at(now_s)
        if len(self.left_s) > capacity * CRASH_FACTOR:
            self.has_crashed = True
        if self.has_crashed:
            return []
        speed = min(1.0, capacity / max(1, len(self.left_s)))
        for number in self.left_s:
            self.left_s[number] -= STEP_S * speed
        done = [number for number, left_s in self.left_s.items() if left_s <= 0]
        for number in done:
            self.left_s.pop(number)
        self.served += len(done)
        return [self.grants.pop(number) for number in done]

    def add(self, grant, work_s):
        """Begin to serve a request."""
        self.grants[id(grant)] = grant
        self.left_s[id(grant)] = work_s


class PaceSimulation:
    """Callers that wait for targets of which one recovers.

    :param pace_of: limits the requests in flight at the target instead of the
        product's pace, None for that one
    """

    def __init__(self, capacity_at, pace_of=None, seed=1):
        """Hold targets that serve at their usual speed but for one."""
        self.chance = random.Random(seed)
        self.now_s = 0.0
        self.pace_of = pace_of
        names = ['x', *(f'p{number}' for number in range(PEERS))]
        self.targets = {
            name: SimulatedTarget(
                Target(name, 's', Address('127.0.0.1', 9), 'a', limit=SLOTS),
                capacity_at if name == 'x' else lambda now_s: CAPACITY,
            )
            for name in names
        }
        self.usable = set(names)
        self.scheduler = Scheduler('a', self._targets_of, PeerLoadTable())
        self.cold = ColdTargets()
        self.cold.set_allowance(1.5, 5)
        self.cold.configure({'s': ColdLimit(3.0, 5.9)})
        self.scheduler.cold = self.cold
        self.numbers = itertools.count()
        self.waiting = 0

    @property
    def recovering(self):
        """Return the target that has recovered."""
        return self.targets['x']

    def run(self, for_s):
        """Let callers send and targets work for some seconds."""
        end_s = self.now_s + for_s
        while self.now_s < end_s:
            self.step()

    def recover(self):
        """Let the target be used again, as its coldness ends."""
        self.usable.add('x')
        self.recovering.served = 0
        for grant in self.recovering.grants.values():
            grant.load.record_end(grant.sent)
        self.recovering.left_s.clear()
        self.recovering.grants.clear()
        state = self.cold.state_of(self.recovering.target)
        state.pace = TargetPace(self.now_s)
        if self.pace_of:
            state.pace = FixedPace(self.pace_of, self.now_s)

    def step(self):
        """Let some milliseconds pass."""
        self.now_s += STEP_S
        for name in self.usable:
            self._serve(self.targets[name])
        busy = sum(len(each.left_s) for each in self.targets.values())
        for _ in range(CALLERS - busy - self.waiting):
            self._submit()
        for grant in self.scheduler.run_pass('s', self.now_s):
            self.waiting -= 1
            work_s = WORK_S * self.chance.uniform(0.7, 1.3)
            self.targets[grant.load.target.name].add(grant, work_s)

    def _serve(self, simulated):
        """Let a target work, and record what it has served."""
        for grant in simulated.step(self.now_s):
            grant.load.record_first_event(grant.sent, self.now_s)
            grant.load.record_end(grant.sent)

    def _submit(self):
        """Let a caller ask for a target."""
        waiting = WaitingRequest(
            f'r{next(self.numbers)}',
            'x',
            60,
            's',
            None,
            self.now_s,
            self.now_s + 60,
            1,
        )
        if self.scheduler.submit(waiting, self.now_s) is None:
            self.waiting += 1

    def _targets_of(self, service):
        """Return the targets that may be used."""
        return [self.targets[name].target for name in sorted(self.usable)]


class FixedPace(TargetPace):
    """A window that depends on the time since the recovery alone."""

    def __init__(self, window_of, now_s):
        """Begin with the window of the first moment."""
        super().__init__(now_s)
        self.window_of = window_of
        self.window = window_of(0)

    def record_first_event(self, sent_s, in_flight, now_s, ratio):
        """Ignore what the target does."""
        self.check_overdue(in_flight, now_s)

    def shrink(self, sent_s, in_flight, now_s):
        """Ignore what the target does."""

    def check_overdue(self, in_flight, now_s):
        """Set the window of the present time."""
        self.window = self.window_of(now_s - self.started_s)


def warming_up(begin_s, first=4.0, length_s=3.0):
    """Return a capacity that grows to the usual one from a time on."""

    def capacity_at(now_s):
        share = min(1.0, max(0.0, now_s - begin_s) / length_s)
        return first + share * (CAPACITY - first)

    return capacity_at


def play_recovery(capacity_of, pace_of=None, seed=1):
    """Let a target recover; return its share of the possible and a crash.

    :param capacity_of: returns its capacity by time, for a time of recovery
    """
    simulation = PaceSimulation(capacity_of(2.0), pace_of, seed)
    simulation.usable.discard('x')
    simulation.run(2.0)
    simulation.recover()
    simulation.run(JUDGED_S)
    possible = sum(
        simulation.recovering.capacity_at(2.0 + step * STEP_S) * STEP_S / WORK_S
        for step in range(int(JUDGED_S / STEP_S))
    )
    return simulation.recovering.served / possible, (
        simulation.recovering.has_crashed
    )


def sound(begin_s):
    """Return the capacity of a target that recovers at once."""
    return lambda now_s: CAPACITY


def weak(begin_s):
    """Return the capacity of a target that stays weak."""
    return lambda now_s: 5.0


def grey(begin_s):
    """Return the capacity of a target that gets slower for a while.

    It loses half of its capacity within 0.4 s. No window helps one that loses
    it at once: what is in flight then is too much already.
    """
    warm = warming_up(begin_s)

    def capacity_at(now_s):
        elapsed_s = now_s - begin_s - 1.0
        lost = max(0, min(0.5, elapsed_s / 0.8, 1.75 - elapsed_s / 0.8))
        return warm(now_s) * (1 - lost)

    return capacity_at


def no_pace(elapsed_s):
    """Return the window of a target that is not paced."""
    return SLOTS + 1


def time_ramp(elapsed_s):
    """Return a window that grows to the usual one in ten seconds."""
    return 1 + CAPACITY * elapsed_s / 10


RECOVERIES = (warming_up, sound, weak, grey)


@params(*itertools.product(RECOVERIES, range(1, 6)))
def test_a_recovering_target_is_neither_flooded_nor_idle(capacity_of, seed):
    """It serves nine tenths of what it can and does not crash again."""
    share, has_crashed = play_recovery(capacity_of, seed=seed)
    assert not has_crashed
    assert share >= AIM, share


@params(warming_up, weak, grey)
def test_the_simulated_target_crashes_without_a_pace(capacity_of):
    """The simulation shows the fault that the pace is there for."""
    assert play_recovery(capacity_of, no_pace)[1]


@params(*RECOVERIES)
def test_a_window_by_time_alone_leaves_a_target_idle(capacity_of):
    """One that is slow enough for a weak target wastes a sound one."""
    share, has_crashed = play_recovery(capacity_of, time_ramp)
    assert not has_crashed
    assert share < play_recovery(capacity_of)[0] - 0.1


def test_a_target_that_crashes_again_and_again_is_paced_each_time():
    """A flap must not leave the window of the time before."""
    simulation = PaceSimulation(warming_up(0.5))
    simulation.usable.discard('x')
    simulation.run(0.5)
    for _ in range(3):
        recovering = simulation.recovering
        recovering.capacity_at = warming_up(simulation.now_s)
        simulation.recover()
        simulation.run(1.5)
        assert not recovering.has_crashed
        assert recovering.served >= 0.8 * 1.5 * 6.5 / WORK_S
        simulation.usable.discard('x')
        simulation.run(0.5)


PACE_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('timely', 'late', 'failed', 'overdue')),
        st.integers(0, 40),
        st.floats(0, 0.3),
    ),
    max_size=60,
)


@given(PACE_EVENTS)
def test_only_timely_responses_widen_the_window(events):
    """It never falls below one request, and no failure widens it."""
    pace = TargetPace(0.0)
    now_s = 0.0
    for kind, in_flight, pause_s in events:
        before = pace.window
        sent_s = now_s
        now_s += pause_s
        if kind == 'failed':
            pace.shrink(sent_s, in_flight, now_s)
        elif kind == 'overdue':
            pace.record_sent(sent_s, now_s)
            pace.check_overdue(in_flight, now_s + 0.001)
        else:
            ratio = 1.0 if kind == 'timely' else 9.0
            pace.record_first_event(sent_s, in_flight, now_s, ratio)
        assert pace.window >= SMALLEST_WINDOW
        if kind != 'timely':
            assert pace.window <= before
        assert pace.wait_s(in_flight, 3) >= 0


def test_failures_of_one_round_halve_the_window_once():
    """All requests in flight fail together when a target is refusing."""
    pace = TargetPace(0.0)
    pace.window = 16
    for _ in range(16):
        pace.shrink(1.0, 16, 1.1)
    assert pace.window == 8
    pace.shrink(1.2, 8, 1.3)
    assert pace.window == 4


def test_a_window_ends_when_it_no_longer_binds():
    """Afterwards the target is loaded as the others are."""
    pace = TargetPace(0.0)
    assert not pace.is_over(SLOTS, 1.0)
    for number in range(200):
        pace.record_first_event(number, int(pace.window), number + 0.1, 1.0)
    assert pace.is_over(SLOTS, 1.0)
    assert TargetPace(0.0).is_over(SLOTS, LONGEST_PACE_S + 0.1)


def make_state():
    """Return the coldness and pace of a target, at first neither."""
    cold = ColdTargets()
    cold.configure({'s': ColdLimit(3.0, 5.9)})
    target = Target('x', 's', Address('127.0.0.1', 9), 'a', limit=SLOTS)
    return cold, target, cold.prepared(target, 's', 0.0)


def test_failures_in_a_row_begin_a_pace():
    """A grey failure does not make a target cold."""
    cold, target, state = make_state()
    for number in range(FAILURES_TO_PACE - 1):
        cold.record_failure(target, number, 9, number + 0.1)
    state.record_first_event(2.5, 0.1, 9, 2.6)
    assert state.pace is None
    for number in range(FAILURES_TO_PACE):
        cold.record_failure(target, number, 9, number + 3.1)
    assert not state.admits(int(FIRST_WINDOW))
    assert cold.needs_owner('s', 6.0)
    assert not cold.needs_owner('s', 6.0 + LONGEST_PACE_S)


def test_the_bound_of_a_cold_target_precedes_its_pace():
    """A wide window admits nothing while the bucket is empty."""
    cold, target, state = make_state()
    cold.count_as_cold(target, 1.0)
    assert state.pace is None
    assert not state.admits(0)
    cold.prepared(target, 's', 4.1)
    assert state.pace is not None
    assert state.admits(0)
    state.pace.window = 1000
    cold.count_as_cold(target, 4.2)
    assert not state.admits(0)


def test_unusual_first_events_do_not_change_the_usual_time_much():
    """One target that stalls must not hide that another one is late."""
    usual = UsualTime()
    assert usual.relative(50.0) == 1
    for _ in range(100):
        usual.add(2.0)
    for _ in range(5):
        usual.add(1000.0)
    assert usual.ratio < 3
