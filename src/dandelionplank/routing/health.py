"""Soundness of one target by the outcomes of real requests: pure state.

Answers to targets that crash, fail part of their requests while their
health check is good, or do not accept connections.
"""

# Weight of one outcome in the smoothed share of failures.
OUTCOME_WEIGHT = 0.1
# Pause after an unreachable target's first failure and the longest one.
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 2.0


class TargetHealth:
    """Remembers failures of one target."""

    def __init__(self) -> None:
        """Start sound."""
        self.failure_share = 0.0
        self.unreachable_in_row = 0
        self.paused_until_s = 0.0

    def is_paused(self, now_s: float) -> bool:
        """Tell whether the target gets no work for now."""
        return now_s < self.paused_until_s

    def note_answer(self, *, is_good: bool) -> None:
        """Note an answer of the target."""
        self.unreachable_in_row = 0
        sample = 0 if is_good else 1
        self.failure_share += OUTCOME_WEIGHT * (sample - self.failure_share)

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
