"""Health of one target from the outcomes of real requests: pure state.

Designed for targets that crash, fail part of their requests while their
health check succeeds, or do not accept connections.
"""

import math

# Weight of one outcome in the smoothed share of failures. A target that fails
# at once looks idle, so few failures must be enough to avoid it.
OUTCOME_WEIGHT = 0.25
# Time constant with which the share of failures decays without new outcomes, so
# that a target that has recovered is tried again.
DECAY_S = 4.0
# Upper limit of the share of failures, which keeps the odds finite.
MAX_FAILURE_SHARE = 0.95
# First and longest pause of a target that is unreachable.
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 2.0


class TargetHealth:
    """Smoothed share of failures and pauses of one target."""

    def __init__(self) -> None:
        """Hold the state of a target, at first healthy."""
        self.failure_share = 0.0
        self.recorded_s = 0.0
        self.consecutive_unreachable = 0
        self.paused_until_s = 0.0

    @property
    def is_unreachable(self) -> bool:
        """Whether the target accepted no connection at the last attempt."""
        return self.consecutive_unreachable > 0

    def is_paused(self, now_s: float) -> bool:
        """Return whether the target gets no work at present."""
        return now_s < self.paused_until_s

    def failure_odds(self, now_s: float) -> float:
        """Return the expected number of failures per successful response."""
        share = min(MAX_FAILURE_SHARE, self._decayed_share(now_s))
        return share / (1 - share)

    def record_response(self, now_s: float, *, is_success: bool) -> None:
        """Record whether a response of the target was a success."""
        self.consecutive_unreachable = 0
        share = self._decayed_share(now_s)
        sample = 0 if is_success else 1
        self.failure_share = share + OUTCOME_WEIGHT * (sample - share)
        self.recorded_s = now_s

    def record_unreachable(self, now_s: float) -> None:
        """Pause a target that accepted no connection, longer each time."""
        pause_s = min(
            LONGEST_PAUSE_S,
            FIRST_PAUSE_S * 2**self.consecutive_unreachable,
        )
        self.consecutive_unreachable += 1
        self.paused_until_s = now_s + pause_s

    def pause_until(self, until_s: float) -> None:
        """Pause the target until a time, at its own request."""
        self.paused_until_s = max(self.paused_until_s, until_s)

    def _decayed_share(self, now_s: float) -> float:
        """Return the share of failures, decayed to the present."""
        if not self.failure_share:
            return 0.0
        elapsed_s = max(0.0, now_s - self.recorded_s)
        return self.failure_share * math.exp(-elapsed_s / DECAY_S)
