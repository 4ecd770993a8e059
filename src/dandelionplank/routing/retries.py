"""Outcome of an attempt at a target, and the retry budget of an entry."""

import enum


class AttemptState(enum.Enum):
    """What is known of an attempt at a target."""

    NOT_SENT = 'not_sent'
    SENT = 'sent'
    ANSWERED = 'answered'
    REFUSED_NOT_EXECUTED = 'refused_unrun'
    UNKNOWN = 'unknown'

    @property
    def is_not_executed(self) -> bool:
        """Return whether the call was certainly not executed."""
        return self in {
            AttemptState.NOT_SENT,
            AttemptState.REFUSED_NOT_EXECUTED,
        }


class RetryBudget:
    """Limits retries to a share of first attempts (a token bucket).

    :param ratio: retries per first attempt
    :param reserve: retries that are allowed in a burst
    """

    def __init__(self, ratio: float, reserve: float = 10) -> None:
        """Hold the retries that are available, at first the full reserve."""
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve

    def record_first_attempt(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self.tokens = min(self.reserve, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry if the budget allows it; return whether it does."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_retry(
    state: AttemptState,
    *,
    is_retryable: bool,
    response_started: bool,
) -> bool:
    """Return whether a failed call may be retried.

    :param state: what is known of the failed attempt
    :param is_retryable: the contract allows a second execution
    :param response_started: part of the response has reached the caller
    """
    if response_started:
        return False
    return state.is_not_executed or is_retryable
