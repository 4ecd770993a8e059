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


class RepeatBudget:
    """Limits retries to a share of first attempts (a token bucket).

    :param ratio: retries per first attempt
    :param reserve: retries that are allowed in a burst
    """

    def __init__(self, ratio: float, reserve: float = 10) -> None:
        """Initialise the budget with a full reserve."""
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve

    def note_first_attempt(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self.tokens = min(self.reserve, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one retry if the budget allows it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_try_again(
    state: AttemptState,
    *,
    may_repeat: bool,
    passed_on: bool,
) -> bool:
    """Return whether a failed call may be retried.

    :param state: what is known of the failed attempt
    :param may_repeat: the contract allows a second execution
    :param passed_on: part of the response has reached the caller
    """
    if passed_on:
        return False
    return state.is_not_executed or may_repeat
