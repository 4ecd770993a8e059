"""In-flight limit of each target, adapted to what entries observe."""

import dataclasses
from collections import deque
from collections.abc import Iterable, Mapping
from statistics import median

from dandelionplank.contracts import ServiceContract, ServiceKind
from dandelionplank.messages import TargetReport
from dandelionplank.targets import Target, TargetState

MS_PER_SECOND = 1000.0
INCREASE_PER_WINDOW = 0.5
DECREASE_FACTOR = 0.85
SLOW_MARGIN = 1.15
FAST_MARGIN = 0.95
DECREASE_PAUSE_S = 1.0
SMOOTHING = 0.5
STRAGGLER_RATIO = 2.5
RECOVERED_RATIO = 1.6
FIRST_PAUSE_S = 0.1
PROBE_PERIOD_S = 0.25
LATE_STREAMS = 2
LATE_PERIOD_S = 0.5
LATE_RATIO = 4.0
LONGEST_PAUSE_S = 5.0


@dataclasses.dataclass
class Window:
    """Observations of one target since the last evaluation."""

    tokens: int = 0
    stream_seconds: float = 0
    first_tokens: int = 0
    first_token_seconds: float = 0
    oldest_wait_s: float = 0

    def add(self, report: TargetReport) -> None:
        """Add an entry's report."""
        self.tokens += report.tokens
        self.stream_seconds += report.stream_seconds
        self.first_tokens += report.first_tokens
        self.first_token_seconds += report.first_token_seconds
        self.oldest_wait_s = max(self.oldest_wait_s, report.oldest_wait_s)


class TargetSlots:
    """Slots of one target: the current limit and the calls in flight."""

    def __init__(self, target: Target, contract: ServiceContract) -> None:
        """Hold the limit, at first the configured one, and the observations."""
        self.target = target
        self.contract = contract
        self.limit = float(target.limit or contract.target_limit)
        self.in_flight = 0
        self.window = Window()
        self.pace_s = 0.0
        self.is_slow = False
        self.slow_ratio = 1.0
        self.failures = 0
        self.blocked_until_s = 0.0
        self.decreased_at_s = float('-inf')
        self.probed_at_s = 0.0
        self.late_streams_at_s: deque[float] = deque(maxlen=LATE_STREAMS)

    @property
    def effective_limit(self) -> int:
        """Current number of slots, at least one to probe a slow target."""
        if self.is_slow:
            return max(1, int(self.limit / self.slow_ratio))
        return max(1, int(self.limit))

    @property
    def load(self) -> float:
        """Share of the slots in use after one more call."""
        return (self.in_flight + 1) / self.effective_limit

    def has_slot(self, now_s: float, overdraft: int = 0) -> bool:
        """Return whether a call may be sent now.

        :param now_s: monotonic time
        :param overdraft: slots beyond the limit that this call may use
        """
        if self.target.state is not TargetState.ACTIVE:
            return False
        if now_s < self.blocked_until_s:
            return False
        return self.in_flight < self.effective_limit + overdraft

    def needs_probe(self, now_s: float) -> bool:
        """Return whether a slow target should be probed again.

        A probe takes capacity as a call does. A target without a free slot is
        measured by its own calls.
        """
        if not self.is_slow or self.in_flight >= self.effective_limit:
            return False
        return now_s - self.probed_at_s > PROBE_PERIOD_S

    def record_late_stream(self, now_s: float) -> bool:
        """Record that a stream is moved away because the target lags.

        Several such streams in a short time mark the target as slow at once,
        before the reports of a whole period have arrived.

        :return: whether the target has just become slow
        """
        self.late_streams_at_s.append(now_s)
        full = len(self.late_streams_at_s) == LATE_STREAMS
        if self.is_slow or not full:
            return False
        if now_s - self.late_streams_at_s[0] > LATE_PERIOD_S:
            return False
        self.is_slow = True
        self.slow_ratio = LATE_RATIO
        self.pace_s *= LATE_RATIO
        self.probed_at_s = now_s
        return True

    def record_failure(self, now_s: float) -> None:
        """Pause a failed target, longer with each consecutive failure."""
        self.failures += 1
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self.failures)
        self.blocked_until_s = now_s + pause_s

    def record_success(self) -> None:
        """Clear earlier failures and end the pause."""
        self.failures = 0
        self.blocked_until_s = 0.0

    def close_window(self) -> None:
        """Add the window's observations to the smoothed pace."""
        sample = _pace_sample(self.window, self.contract.kind)
        self.window = Window()
        if sample <= 0:
            return
        if self.pace_s <= 0:
            self.pace_s = sample
        self.pace_s += SMOOTHING * (sample - self.pace_s)

    def adapt(self, now_s: float, *, has_backlog: bool) -> None:
        """Raise or lower the limit to meet the target time between tokens.

        :param now_s: monotonic time
        :param has_backlog: tickets wait, so that a higher limit would be used
        """
        if self.contract.kind is ServiceKind.PLAIN or self.is_slow:
            return
        target_pace_s = self.contract.inter_token_target_ms / MS_PER_SECOND
        if self.pace_s > target_pace_s * SLOW_MARGIN:
            self.lower(now_s)
        elif has_backlog and 0 < self.pace_s < target_pace_s * FAST_MARGIN:
            self.limit = min(
                self.limit + INCREASE_PER_WINDOW,
                float(self.contract.target_limit_max),
            )

    def lower(self, now_s: float) -> None:
        """Lower the limit by a factor, at most once per pause."""
        if now_s - self.decreased_at_s < DECREASE_PAUSE_S:
            return
        self.decreased_at_s = now_s
        self.limit = max(1.0, self.limit * DECREASE_FACTOR)


def _pace_sample(window: Window, kind: ServiceKind) -> float:
    """Return seconds per token or, for plain services, per response."""
    if kind is ServiceKind.PLAIN:
        if window.first_tokens:
            return window.first_token_seconds / window.first_tokens
        return 0
    if window.tokens:
        return window.stream_seconds / window.tokens
    return window.oldest_wait_s


def update_stragglers(
    slots: Mapping[str, TargetSlots],
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Mark and unmark slow targets by their pace against the pool's median.

    A pool's only target is the median itself, so it is never slow.

    :param slots: targets of one pool
    :return: names that became slow, names that recovered
    """
    paces = [each.pace_s for each in slots.values() if each.pace_s > 0]
    if not paces or len(paces) < min(2, len(slots)):
        return (), ()
    median_s = median(paces)
    slowed = tuple(_newly_slow(slots.values(), median_s))
    recovered = tuple(_newly_recovered(slots.values(), median_s))
    return slowed, recovered


def _newly_slow(slots: Iterable[TargetSlots], median_s: float) -> list[str]:
    """Mark targets that lag behind the median pace; return the new ones."""
    names = []
    for each in slots:
        ratio = each.pace_s / median_s
        if ratio < STRAGGLER_RATIO:
            continue
        each.slow_ratio = ratio
        if not each.is_slow:
            each.is_slow = True
            names.append(each.target.name)
    return names


def _newly_recovered(
    slots: Iterable[TargetSlots], median_s: float
) -> list[str]:
    """Unmark targets that are close to the median pace again."""
    names = []
    for each in slots:
        if each.is_slow and each.pace_s < median_s * RECOVERED_RATIO:
            each.is_slow = False
            each.slow_ratio = 1.0
            names.append(each.target.name)
    return names
