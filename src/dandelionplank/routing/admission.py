"""Admission control: pure decisions, no I/O and no clock.

Designed for demand above capacity: a request that cannot meet its objective
is refused on arrival, with a retry time from the expected wait, instead of
waiting until its deadline passes.
"""

import dataclasses

# Time to the first event besides the wait and the prefill.
FIRST_EVENT_OVERHEAD_S = 0.15
MIN_RETRY_S = 0.25
MAX_RETRY_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Expected latency of a request.

    :param wait_s: expected wait for a target
    :param prefill_s: expected time to prefill the prompt
    """

    wait_s: float
    prefill_s: float

    @property
    def first_event_s(self) -> float:
        """Expected time to the first event."""
        return self.wait_s + self.prefill_s + FIRST_EVENT_OVERHEAD_S


def misses_objective(
    estimate: LatencyEstimate, objective_left_s: float
) -> bool:
    """Return whether a request can no longer meet its objective."""
    return estimate.first_event_s > objective_left_s


def retry_after_s(estimate: LatencyEstimate, jitter: float) -> float:
    """Return the time after which a refused caller should retry.

    :param jitter: random number from zero to one; spreads the retries of
        callers that were refused at the same time
    """
    base_s = estimate.wait_s * (0.5 + jitter)
    return min(MAX_RETRY_S, max(MIN_RETRY_S, base_s))
