"""When a target may take a request from this instance: pure state, no I/O.

Combines what the target has stated itself. Its request rate, which all
instances share, is kept apart (:mod:`dandelionplank.routing.ratelimit`).
"""

import math

# Longest time for which a target may turn an instance away.
LONGEST_CLOSED_S = 3600.0
# Part of that time which is added at random, so that the instances and their
# waiting requests do not return at the same moment.
SPREAD = 0.1
LONGEST_SPREAD_S = 1.0


class TargetAvailability:
    """Whether one target takes requests, and when it does so again.

    :param opens_s: monotonic time from which it takes requests
    """

    def __init__(self) -> None:
        """Hold the state of a target that takes requests."""
        self.opens_s = -math.inf

    @property
    def is_leaving(self) -> bool:
        """Whether the target takes no request any more."""
        return self.opens_s == math.inf

    def is_open(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        return now_s >= self.opens_s

    def wait_s(self, now_s: float) -> float:
        """Return the time until a request may be sent, infinite for never."""
        return max(0.0, self.opens_s - now_s)

    def record_leaving(self) -> None:
        """Record that the target is leaving."""
        self.opens_s = math.inf

    def record_closed(
        self, now_s: float, seconds: float, jitter: float
    ) -> None:
        """Record that the target wants no request for a time.

        :param jitter: random number from zero to one
        """
        closed_s = min(seconds, LONGEST_CLOSED_S)
        spread_s = min(closed_s * SPREAD, LONGEST_SPREAD_S) * jitter
        self.opens_s = max(self.opens_s, now_s + closed_s + spread_s)
