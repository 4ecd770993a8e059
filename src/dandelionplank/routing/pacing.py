"""Pace of a target that has started or recovered: pure state, no I/O.

How much such a target can take is not known, and not told by time. The window
of requests in flight grows by half with each round of first events that take
about as long as at the other targets, stays while they take longer, and is
halved when the target fails, refuses or is late. It ends when it no longer
binds.
"""

import math

# First window, and the smallest one.
FIRST_WINDOW = 4.0
SMALLEST_WINDOW = 1.0
# Growth per timely first event. Twice as much would overshoot to double of what
# the target can take, which may be enough to crash it.
GROWTH = 0.5
HALVED = 0.5
# The window grows while first events take up to the first multiple of the usual
# time, and is halved beyond the second one. Larger ones led to crashes in the
# simulation of a target that gets slower while it recovers.
TIMELY_RATIO = 1.2
LATE_RATIO = 1.8
RATIO_WEIGHT = 0.3
# The window only grows while at least this share of it is used.
USED_SHARE = 0.5
# A request without a first event is overdue after this multiple of the time
# that it takes at the other targets of the service, for the same work.
OVERDUE_RATIO = 3.0
# Longest time for which a target is paced. Single prompts take much longer than
# others at any time, so that the window must not bind for ever.
LONGEST_PACE_S = 10.0
# Failures in a row after which a target is paced again.
FAILURES_TO_PACE = 3
# Weight of one first event in the usual time of a service.
USUAL_WEIGHT = 0.05
# Multiple of the usual time up to which a longer one counts for it.
LIMIT_RATIO = 2.0
# First events after which that time is known.
USUAL_SAMPLES = 8
# Weight of one first event in the time to it, for the estimate of waits.
TOOK_WEIGHT = 0.25
# Time to the first event that is assumed before one has arrived.
FIRST_TOOK_S = 0.1


class UsualTime:
    """Time to the first event at the targets of a service that are not paced.

    :param ratio: the time as a multiple of that expected for the work
    """

    def __init__(self) -> None:
        """Know no time."""
        self.ratio = 0.0
        self.samples = 0

    @property
    def is_known(self) -> bool:
        """Return whether there were enough first events."""
        return self.samples >= USUAL_SAMPLES

    def relative(self, ratio: float) -> float:
        """Return a ratio as a multiple of the usual one, one if unknown."""
        return ratio / self.ratio if self.is_known and self.ratio else 1.0

    def overdue_s(self, expected_s: float) -> float:
        """Return the time after which a first event is overdue."""
        if not self.is_known:
            return math.inf
        return expected_s * self.ratio * OVERDUE_RATIO

    def add(self, ratio: float) -> None:
        """Add a first event."""
        self.samples += 1
        weight = max(USUAL_WEIGHT, 1 / self.samples)
        self.ratio += weight * (min(ratio, self.limit) - self.ratio)

    @property
    def limit(self) -> float:
        """Return the largest ratio that is added; late ones count less."""
        return self.ratio * LIMIT_RATIO if self.is_known else math.inf


class TargetPace:
    """Window of requests in flight at one target.

    :param started_s: monotonic time of the start
    :param ratio: smoothed time to the first event, relative to the usual one
    :param due_s: time by which the first event of a request must arrive, by
        the time of its sending; those that were sent together count as one
    """

    def __init__(self, now_s: float, in_flight: int = 0) -> None:
        """Begin, with the requests that are in flight already."""
        self.window = max(FIRST_WINDOW, float(in_flight))
        self.ratio = 1.0
        self.started_s = now_s
        self.shrunk_s = -math.inf
        self.shrinks = 0
        self.responses = 0
        self.took_s = FIRST_TOOK_S
        self.due_s: dict[float, float] = {}

    def is_over(self, slots: int, now_s: float) -> bool:
        """Return whether the window no longer binds."""
        return self.window >= slots or self.is_old(now_s)

    def is_old(self, now_s: float) -> bool:
        """Return whether it ends because it has lasted for so long."""
        return now_s - self.started_s > LONGEST_PACE_S

    def record_sent(self, sent_s: float, due_s: float) -> None:
        """Record a request and when its first event is late."""
        self.due_s[sent_s] = due_s

    def record_first_event(
        self, sent_s: float, in_flight: int, now_s: float, ratio: float
    ) -> None:
        """Record the first event of a request.

        :param ratio: time that it took, relative to the usual one
        """
        self.due_s.pop(sent_s, None)
        self.ratio += RATIO_WEIGHT * (ratio - self.ratio)
        if self.ratio > LATE_RATIO:
            self.shrink(sent_s, in_flight, now_s)
            return
        self.responses += 1
        self.took_s += TOOK_WEIGHT * (now_s - sent_s - self.took_s)
        is_used = in_flight >= self.window * USED_SHARE
        if is_used and self.ratio <= TIMELY_RATIO and sent_s >= self.shrunk_s:
            self.window += GROWTH

    def shrink(self, sent_s: float, in_flight: int, now_s: float) -> None:
        """Halve the window, once for the requests of one round.

        :param sent_s: time at which the request was sent that shows the need
        """
        self.due_s.pop(sent_s, None)
        if sent_s <= self.shrunk_s:
            return
        used = min(self.window, max(1, in_flight))
        self.window = max(SMALLEST_WINDOW, used * HALVED)
        self.shrunk_s = now_s
        self.ratio = min(self.ratio, TIMELY_RATIO)
        self.shrinks += 1

    def check_overdue(self, in_flight: int, now_s: float) -> None:
        """Halve the window if a first event has not arrived in time."""
        overdue = [
            sent_s for sent_s, due_s in self.due_s.items() if due_s < now_s
        ]
        for sent_s in overdue:
            self.shrink(sent_s, in_flight, now_s)

    def wait_s(self, in_flight: int, ahead: int) -> float:
        """Return the expected time until the window has room.

        :param ahead: requests that wait for the target
        """
        excess = in_flight + ahead + 1 - self.window
        return max(0.0, excess) * self.took_s / self.window
