"""Bound on the requests that a cold target gets: pure state, no I/O.

A target that has just started, or has become cold again, crashes if it gets
more requests than its service states. Each target has a token bucket that
only the instance in charge of its pool spends from.
"""

import copy
import dataclasses
import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from dandelionplank.routing.pacing import (
    FAILURES_TO_PACE,
    TargetPace,
    UsualTime,
)
from dandelionplank.routing.routes import ColdLimit
from dandelionplank.targets import Target

# Requests that may be saved up besides one, in seconds of the rate. Passes over
# the waiting requests are up to 0.02 s apart; without it a tenth of the rate
# would be lost between them.
SAVED_S = 0.1
# Rate of a bound that leaves none: a target is still tried.
LOWEST_RATE = 0.25
# An entry that is read sooner than this after an assumption may have been
# written before it: targets write one every 1.2 s, and it is passed on.
ENTRY_DELAY_S = 2.4
# A grant that is older than this is not sent to a cold target any more, so that
# the grants of a frozen instance do not reach it together with later ones.
LONGEST_GRANT_AGE_S = 0.5
# Time for which a permission holds after the queue that gave it was examined.
PERMITTED_S = 0.1
# Longest debt, in seconds of the rate.
LONGEST_DEBT_S = 2.0
# Age of the latest knowledge of the store beyond which coldness that began
# lately may be unknown. Targets write their entries every 1.2 s.
INFORMED_AGE_S = 2.5
# A target that responded within this time has not crashed.
ALIVE_S = 0.5
# Time for which a target counts as cold after the instance was out of contact;
# meanwhile the reports of others and the entries arrive.
SILENCE_S = 0.5
# Requests of the last second that count against a target that becomes cold.
WINDOW_S = 1.0
MAX_RECENT = 64

FROM_ENTRY = 'entry'
FROM_PEER = 'peer'
FROM_CRASH = 'unreachable'
FROM_RESTORATION = 'restoration'
FROM_SILENCE = 'silence'


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBound:
    """What a cold target may get.

    :param duration_s: longest time for which a target is taken for cold
    :param rate: requests per second
    :param burst: requests that may be saved up
    :param spare: requests in one second that this leaves to the allowance
    """

    duration_s: float
    rate: float
    burst: float
    spare: float

    @classmethod
    def from_limit(
        cls, limit: ColdLimit, over: float, slack: float
    ) -> 'ColdBound':
        """Derive the bucket from the limit of a service.

        In any second a bucket grants its rate and its burst at most.

        :param over: factor on the rate that is allowed in one second
        :param slack: requests that are allowed besides
        """
        rate = limit.requests_per_s
        most = rate * max(1.0, over) + slack
        burst = max(1.0, min(1 + rate * SAVED_S, most - rate))
        used = max(LOWEST_RATE, min(rate, most - burst))
        return cls(limit.duration_s, used, burst, max(0.0, most - burst - used))


class ColdState:
    """Coldness and bucket of one target.

    :param until_s: monotonic time until which it is cold
    :param read_until_s: the same as this instance read it in the store
    :param assumed_until_s: the same as this instance assumes it by itself
    :param is_lost: it accepted no connection at the last attempt
    :param is_evident: there was a reason for the coldness besides silence
    :param is_permitted: this instance may send to the target while it is cold
    :param granted: requests that this instance granted while it was cold
    """

    def __init__(self, bound: ColdBound, usual: UsualTime) -> None:
        """Hold a target that is not cold.

        :param usual: time to the first event at the targets of the service
        """
        self.bound = bound
        self.usual = usual
        self.pace: TargetPace | None = None
        self.failures = 0
        self.started_ms = 0
        self.until_s = -math.inf
        self.read_until_s = -math.inf
        self.assumed_until_s = -math.inf
        self.is_lost = False
        self.distrusted_until_s = -math.inf
        self.responded_s = -math.inf
        self.is_evident = False
        self.is_permitted = False
        self.permitted_s = -math.inf
        self.granted = 0
        self.level = 0.0
        self.refilled_s = -math.inf
        self._recent: deque[float] = deque(maxlen=MAX_RECENT)
        self.is_announced = False

    @property
    def has_request(self) -> bool:
        """Return whether a request may be sent, as of the last refill."""
        return not self.is_announced or (self.is_permitted and self.level >= 1)

    def admits(self, in_flight: int) -> bool:
        """Return whether a request may be sent beside those in flight."""
        if not self.has_request:
            return False
        return self.pace is None or in_flight < self.pace.window

    def is_cold(self, now_s: float) -> bool:
        """Return whether the target counts as cold."""
        return self.is_lost or now_s < self.until_s

    def learn_entry(
        self, started_ms: int, left_s: float | None, now_s: float
    ) -> None:
        """Take over what the entry of the target states.

        The entry was written earlier, so that the time that is left counts
        from now at most.

        :param left_s: time for which it stays cold, None if not stated
        """
        if started_ms < self.started_ms:
            return
        is_new_start = started_ms > self.started_ms
        self.started_ms = started_ms
        is_trusted = is_new_start or now_s >= self.distrusted_until_s
        if is_trusted:
            self.is_lost = False
            self.assumed_until_s = -math.inf
        if left_s is None:
            return
        until_s = now_s + min(left_s, self.bound.duration_s)
        if is_trusted:
            self.until_s = until_s
        else:
            self.until_s = max(self.until_s, until_s)
        self.read_until_s = until_s
        self.is_evident |= left_s > 0

    def learn_from_peer(
        self, left_s: float, now_s: float, *, is_assumed: bool
    ) -> None:
        """Take over what another instance read in the store, or assumes.

        An assumption does not count while the target responds here: the link
        of the other instance may be broken.
        """
        if is_assumed and now_s - self.responded_s < ALIVE_S:
            return
        until_s = now_s + min(left_s, self.bound.duration_s)
        self.until_s = max(self.until_s, until_s)
        self.is_evident = True
        if is_assumed:
            self.distrusted_until_s = now_s + ENTRY_DELAY_S

    def assumed_left_s(self, now_s: float) -> float:
        """Return the time for which this instance assumes it to be cold."""
        if self.is_lost:
            return self.bound.duration_s
        return max(0.0, self.assumed_until_s - now_s)

    def assume(self, now_s: float) -> None:
        """Count as cold until an entry that is written later differs."""
        self.assumed_until_s = now_s + self.bound.duration_s
        self.until_s = max(self.until_s, self.assumed_until_s)
        self.is_evident = True
        self.distrusted_until_s = now_s + ENTRY_DELAY_S

    def record_unreachable(self, sent_s: float, now_s: float) -> None:
        """Record that the target may have crashed.

        It has not if it responded to another request since the attempt began:
        then a link is broken.

        :param sent_s: time at which the attempt began
        """
        if self.responded_s < sent_s:
            self.is_lost = True
            self.assume(now_s)

    def suppose(self, now_s: float) -> None:
        """Count as cold for a moment: nothing is known of the target."""
        self.until_s = max(self.until_s, now_s + SILENCE_S)

    def record_response(self, now_s: float) -> None:
        """Record that the target responds, perhaps again."""
        self.responded_s = now_s
        if self.is_lost:
            self.is_lost = False
            self.assume(now_s)

    def refill(self, now_s: float) -> None:
        """Add the requests that the rate allows since the last call.

        The bucket is empty when coldness begins. What this instance sent in the
        second before counts as far as it exceeds what the allowance leaves.
        """
        is_cold = self.is_cold(now_s)
        if is_cold and not self.is_announced:
            self._begin(now_s)
        if self.is_announced and not is_cold:
            self.pace = TargetPace(now_s) if self.is_evident else None
            self.is_evident = False
        self.is_announced = is_cold
        if not is_cold:
            return
        self.pace = None
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = max(self.refilled_s, now_s)
        self.level = min(
            self.bound.burst, self.level + self.bound.rate * elapsed_s
        )

    def permit(self, now_s: float, *, is_permitted: bool) -> None:
        """Let this instance send or not; one that begins has nothing saved.

        A target is in two queues, that of its pool and that of its service, of
        which one permits nothing: this does not end what the other permits.
        """
        if is_permitted:
            if not self.is_permitted:
                self.level = min(self.level, 0.0)
            self.permitted_s = now_s
            self.is_permitted = True
        elif now_s - self.permitted_s > PERMITTED_S:
            self.is_permitted = False

    def grant(self, now_s: float, expected_s: float) -> None:
        """Count a request that this instance grants.

        :param expected_s: time that its first event takes at an usual target
        """
        if self.pace:
            overdue_s = self.usual.overdue_s(expected_s)
            self.pace.record_sent(now_s, now_s + overdue_s)
        if self.is_announced:
            self.granted += 1
            self.level -= 1
        else:
            self._recent.append(now_s)

    def charge(self, requests: int) -> None:
        """Count requests that other instances have granted."""
        lowest = -max(1.0, self.bound.rate * LONGEST_DEBT_S)
        if requests > 0 and self.level > lowest:
            self.level = max(lowest, self.level - requests)

    def record_first_event(
        self, sent_s: float, expected_s: float, in_flight: int, now_s: float
    ) -> None:
        """Record the first event of a request that this instance granted."""
        self.failures = 0
        ratio = (now_s - sent_s) / expected_s
        if self.pace:
            self.pace.record_first_event(
                sent_s, in_flight, now_s, self.usual.relative(ratio)
            )
        else:
            self.usual.add(ratio)

    def record_failure(
        self, sent_s: float, in_flight: int, now_s: float
    ) -> None:
        """Record a failed or refused request; several begin a new pace."""
        self.failures += 1
        if self.pace:
            self.pace.shrink(sent_s, in_flight, now_s)
        elif self.failures >= FAILURES_TO_PACE:
            self.pace = TargetPace(now_s)

    def record_end(self, sent_s: float) -> None:
        """Record that a request has left the target."""
        if self.pace:
            self.pace.due_s.pop(sent_s, None)

    def is_paced(self, now_s: float) -> bool:
        """Return whether the target has started or recovered lately.

        Instances that send nothing to it do not learn that its window no longer
        binds.
        """
        return self.pace is not None and not self.pace.is_old(now_s)

    def check_pace(self, in_flight: int, slots: int, now_s: float) -> None:
        """Shrink the window if a first event is overdue; end it if it can."""
        if self.pace is None:
            return
        self.pace.check_overdue(in_flight, now_s)
        if self.pace.is_over(slots, now_s):
            self.pace = None

    def wait_s(self, ahead: int, in_flight: int = 0) -> float:
        """Return the time from the last refill until one more may be sent.

        :param ahead: requests that wait for the target
        """
        if self.pace and not self.is_announced:
            return self.pace.wait_s(in_flight, ahead)
        if not self.is_announced:
            return 0.0
        left_s = max(0.0, self.until_s - self.refilled_s)
        if self.is_lost:
            left_s = self.bound.duration_s
        if not self.is_permitted:
            return left_s
        return min(max(0.0, ahead + 1 - self.level) / self.bound.rate, left_s)

    def is_outdated(self, granted_s: float, now_s: float) -> bool:
        """Return whether a grant is too old to be sent to the target."""
        return self.is_cold(now_s) and now_s - granted_s > LONGEST_GRANT_AGE_S

    def clear(self) -> None:
        """Forget the coldness; the service states no limit any more."""
        self.until_s = -math.inf
        self.read_until_s = -math.inf
        self.assumed_until_s = -math.inf
        self.is_lost = False
        self.is_announced = False
        self.pace = None

    def copied(self) -> 'ColdState':
        """Return a copy whose changes leave this state as it is."""
        copied = copy.copy(self)
        copied._recent = self._recent.copy()
        if self.pace:
            copied.pace = copy.copy(self.pace)
            copied.pace.due_s = dict(self.pace.due_s)
        return copied

    def _begin(self, now_s: float) -> None:
        """Empty the bucket as coldness begins."""
        sent = sum(now_s - sent_s < WINDOW_S for sent_s in self._recent)
        self._recent.clear()
        debt = min(
            max(0.0, sent - self.bound.spare), self.bound.rate * WINDOW_S
        )
        self.level = min(self.level, 0.0) - debt
        self.refilled_s = now_s


# Takes a target, its pace and the time, when the pace begins and ends.
PaceListener = Callable[[str, TargetPace, float], None]
ColdListener = Callable[[str, ColdState, str, float], None]


def _is_always_in_charge(queue: str, now_s: float) -> bool:
    """Return whether an instance without a fleet is in charge of a queue."""
    return True


def _is_always_informed(now_s: float) -> bool:
    """Return whether an instance without a fleet knows its targets."""
    return True


def _ignore_change(
    name: str, state: ColdState, source: str, now_s: float
) -> None:
    """Log nothing."""


def _ignore_pace(name: str, pace: TargetPace, now_s: float) -> None:
    """Log no pace."""


class ColdTargets:
    """Coldness of all targets whose service states a limit.

    :param over: factor on the rate that is allowed in one second
    :param slack: requests that are allowed in one second besides
    :param is_in_charge: returns whether this instance assigns the cold targets
        of a queue
    :param is_informed: returns whether this instance would have learnt of a
        target that has become cold lately
    :param on_change: called with the name, the state and the source of the
        knowledge when a target becomes cold or is no longer
    """

    def __init__(self) -> None:
        """Hold no limit."""
        self.limits: Mapping[str, ColdLimit] = {}
        self.over = 1.0
        self.slack = 0.0
        self.states: dict[str, ColdState] = {}
        self.services: dict[str, str] = {}
        self.sources: dict[str, str] = {}
        self.usual: dict[str, UsualTime] = {}
        self.removed: set[str] = set()
        self.read_s = -math.inf
        self.is_in_charge: Callable[[str, float], bool] = _is_always_in_charge
        self.is_informed: Callable[[float], bool] = _is_always_informed
        self.on_change: ColdListener = _ignore_change
        self.on_pace: PaceListener = _ignore_pace

    def configure(self, limits: Mapping[str, ColdLimit]) -> None:
        """Set the limits by service."""
        self.limits = limits
        self._renew_bounds()

    def set_allowance(self, over: float, slack: float) -> None:
        """Set what is allowed in one second beyond the rate."""
        self.over = over
        self.slack = slack
        self._renew_bounds()

    def state_of(self, target: Target) -> ColdState | None:
        """Return the state of a target, None if its service has no limit.

        It is that of the name, so that a new start of the target does not
        renew the bucket.
        """
        limit = self.limits.get(target.service)
        if limit is None:
            return None
        state = self.states.get(target.name)
        if state is None or self.services[target.name] != target.service:
            state = ColdState(
                ColdBound.from_limit(limit, self.over, self.slack),
                self.usual.setdefault(target.service, UsualTime()),
            )
            state.started_ms = target.started_ms
            self.states[target.name] = state
            self.services[target.name] = target.service
        return state

    def learn_entry(self, target: Target, now_s: float) -> None:
        """Take over what the entry of a target states."""
        state = self.state_of(target)
        self.removed.discard(target.name)
        self.read_s = now_s
        if state:
            state.learn_entry(target.started_ms, target.cold_left_s, now_s)
            self._announce(target.name, FROM_ENTRY, now_s)

    def learn_from_peer(
        self, target: Target, left_s: float, now_s: float, *, is_assumed: bool
    ) -> None:
        """Take over what another instance has read, or assumes."""
        state = self.state_of(target)
        if state:
            state.learn_from_peer(left_s, now_s, is_assumed=is_assumed)
            self._announce(target.name, FROM_PEER, now_s)

    def count_as_cold(self, target: Target, now_s: float) -> None:
        """Count a target as cold until a later entry states otherwise.

        At most for the duration that its service states; without effect if it
        states none.
        """
        state = self.state_of(target)
        if state:
            state.assume(now_s)
            self._announce(target.name, FROM_RESTORATION, now_s)

    def record_unreachable(
        self, target: Target, sent_s: float, now_s: float
    ) -> None:
        """Record that a target accepted no connection.

        :param sent_s: time at which the attempt began
        """
        state = self.states.get(target.name)
        if state and target.name not in self.removed:
            state.record_unreachable(sent_s, now_s)
            self._announce(target.name, FROM_CRASH, now_s)

    def record_response(self, target: Target, now_s: float) -> None:
        """Record that a target responds."""
        state = self.states.get(target.name)
        if state:
            state.record_response(now_s)

    def record_failure(
        self, target: Target, sent_s: float, in_flight: int, now_s: float
    ) -> None:
        """Record a failed or refused request.

        :param sent_s: time at which the request was sent
        :param in_flight: requests at the target, including this one
        """
        state = self.states.get(target.name)
        if state:
            was_paced = state.pace is not None
            state.record_failure(sent_s, in_flight, now_s)
            if state.pace and not was_paced:
                self.on_pace(target.name, state.pace, now_s)

    def check_pace(
        self, target: Target, in_flight: int, slots: int, now_s: float
    ) -> None:
        """Shrink or end the window of a paced target."""
        state = self.states[target.name]
        pace = state.pace
        state.check_pace(in_flight, slots, now_s)
        if pace and state.pace is None:
            self.on_pace(target.name, pace, now_s)

    def needs_owner(self, service: str, now_s: float) -> bool:
        """Return whether a target of a service is cold or paced."""
        if service not in self.limits:
            return False
        return any(
            state.is_cold(now_s) or state.is_paced(now_s)
            for name, state in self.states.items()
            if self.services[name] == service
        )

    def prepared(
        self, target: Target, queue: str, now_s: float
    ) -> ColdState | None:
        """Return the state of a target that a queue is about to use."""
        state = self.state_of(target)
        if state is None:
            return None
        is_recent = now_s - self.read_s < INFORMED_AGE_S
        if not is_recent and not self.is_informed(now_s):
            state.suppose(now_s)
        if state.is_cold(now_s):
            state.permit(now_s, is_permitted=self.is_in_charge(queue, now_s))
        self._announce(target.name, FROM_SILENCE, now_s)
        return state

    def forget(self, names: Iterable[str]) -> None:
        """Note that targets were removed; their states stay while cold."""
        for name in names:
            if name in self.states:
                self.states[name].is_lost = False
                self.removed.add(name)

    def purge(self, now_s: float) -> None:
        """Drop the states of removed targets that are cold no longer."""
        for name in tuple(self.removed):
            if not self.states[name].is_cold(now_s):
                self.removed.discard(name)
                self.states.pop(name)
                self.services.pop(name)
                self.sources.pop(name, None)

    def _announce(self, name: str, source: str, now_s: float) -> None:
        """Refill a bucket, and report a change of coldness."""
        state = self.states[name]
        was_cold = state.is_announced
        state.refill(now_s)
        if state.is_announced != was_cold:
            self.sources[name] = source
            self.on_change(name, state, source, now_s)
            if state.pace:
                self.on_pace(name, state.pace, now_s)

    def _renew_bounds(self) -> None:
        """Apply changed limits to the known targets."""
        for name, state in self.states.items():
            limit = self.limits.get(self.services[name])
            if limit:
                state.bound = ColdBound.from_limit(limit, self.over, self.slack)
            else:
                state.clear()
