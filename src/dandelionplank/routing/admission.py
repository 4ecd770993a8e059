"""Admission control: pure decisions, no I/O and no clock.

Designed for demand above capacity, with prompts of very different size: a
request that cannot meet its objective is refused on arrival, with a retry time
from the expected wait, instead of waiting until its deadline passes.
"""

import dataclasses

# Time to the first event besides the wait and the prefill.
FIRST_EVENT_OVERHEAD_S = 0.15
# Wait, as a share of the objective, that is allowed to a prompt that cannot
# meet its objective even at an idle target.
OVERSIZE_WAIT_SHARE = 0.8
MIN_RETRY_S = 0.25
MAX_RETRY_S = 4.0
WAIT_REASON = 'expected wait'


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyEstimate:
    """Expected latency of a request.

    :param wait_s: expected wait for a target
    :param prefill_s: expected time to prefill the prompt
    """

    wait_s: float
    prefill_s: float

    @property
    def unloaded_s(self) -> float:
        """Expected time to the first event at an idle target."""
        return self.prefill_s + FIRST_EVENT_OVERHEAD_S

    @property
    def first_event_s(self) -> float:
        """Expected time to the first event."""
        return self.wait_s + self.unloaded_s


def wait_reason(estimate: LatencyEstimate) -> str:
    """Return the reason of a refusal for the expected wait."""
    return f'{WAIT_REASON} {estimate.wait_s:.2f} s'


def is_wait_reason(reason: str) -> bool:
    """Return whether a request was refused for the expected wait.

    The owner of a pool states the reason of a refusal as text.
    """
    return reason.startswith(WAIT_REASON)


def is_repeatable(reason: str, waited_s: float, objective_s: float) -> bool:
    """Return whether a request that arrives now would be refused likewise.

    One that has waited may have been refused for the time that it lost.

    :param waited_s: time between its arrival and the refusal
    """
    return is_wait_reason(reason) and may_retry_in_time(waited_s, objective_s)


def may_retry_in_time(waited_s: float, objective_s: float) -> bool:
    """Return whether a refused request may still meet its objective elsewhere.

    :param waited_s: time since its arrival
    """
    return waited_s < objective_s / 2


def misses_objective(
    estimate: LatencyEstimate, objective_left_s: float
) -> bool:
    """Return whether a request can no longer meet its objective."""
    return estimate.first_event_s > objective_left_s


def attainable_objective_s(
    estimate: LatencyEstimate, objective_s: float
) -> float:
    """Return the objective, or a longer one if no target could meet it.

    A prompt whose own prefill takes longer than its objective is late at any
    target, whenever it comes back, and would be refused for ever. It competes
    with a later objective instead.
    """
    if estimate.unloaded_s <= objective_s:
        return objective_s
    return estimate.unloaded_s + objective_s * OVERSIZE_WAIT_SHARE


def retry_after_s(estimate: LatencyEstimate, jitter: float) -> float:
    """Return the time after which a refused caller should retry.

    :param jitter: random number from zero to one; spreads the retries of
        callers that were refused at the same time
    """
    base_s = estimate.wait_s * (0.5 + jitter)
    return min(MAX_RETRY_S, max(MIN_RETRY_S, base_s))
