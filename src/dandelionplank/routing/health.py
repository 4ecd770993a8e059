"""Soundness of one target by the outcomes of real requests: pure state.

Answers to targets that crash, fail part of their requests while their
health check is good, or do not accept connections.
"""

import math

# Weight of one outcome in the smoothed share of failures. A target that fails
# at once looks idle, so it must be avoided after a few requests.
OUTCOME_WEIGHT = 0.25
# A share that no outcome renews fades with this time constant, so that a
# target that has recovered is tried again.
FADE_S = 4.0
# The share of failures counts as at most this; it bounds the odds.
HIGHEST_SHARE = 0.95
# Pause after an unreachable target's first failure and the longest one.
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 2.0


class TargetHealth:
    """Remembers failures of one target."""

    def __init__(self) -> None:
        """Start sound."""
        self.failure_share = 0.0
        self.noted_s = 0.0
        self.unreachable_in_row = 0
        self.paused_until_s = 0.0

    def is_paused(self, now_s: float) -> bool:
        """Tell whether the target gets no work for now."""
        return now_s < self.paused_until_s

    def failure_odds(self, now_s: float) -> float:
        """Return how many failures are expected for each good answer."""
        share = min(HIGHEST_SHARE, self._faded(now_s))
        return share / (1 - share)

    def note_answer(self, now_s: float, *, is_good: bool) -> None:
        """Note an answer of the target."""
        self.unreachable_in_row = 0
        share = self._faded(now_s)
        sample = 0 if is_good else 1
        self.failure_share = share + OUTCOME_WEIGHT * (sample - share)
        self.noted_s = now_s

    def note_unreachable(self, now_s: float) -> None:
        """Pause a target that took no connection, longer each time."""
        pause_s = min(
            LONGEST_PAUSE_S,
            FIRST_PAUSE_S * 2**self.unreachable_in_row,
        )
        self.unreachable_in_row += 1
        self.paused_until_s = now_s + pause_s

    def rest(self, until_s: float) -> None:
        """Give a target no work until a time; it asked for none."""
        self.paused_until_s = max(self.paused_until_s, until_s)

    def _faded(self, now_s: float) -> float:
        """Return the share of failures as it counts now."""
        if not self.failure_share:
            return 0.0
        elapsed_s = max(0.0, now_s - self.noted_s)
        return self.failure_share * math.exp(-elapsed_s / FADE_S)
