"""State of an attempt and the budget of repeated work."""

import enum


class AttemptState(enum.Enum):
    """What is known of an attempt at a target."""

    NOT_SENT = 'not_sent'
    SENT = 'sent'
    ANSWERED = 'answered'
    REFUSED_UNRUN = 'refused_unrun'
    UNKNOWN = 'unknown'

    @property
    def surely_not_run(self) -> bool:
        """Whether the call certainly was not executed."""
        return self in {AttemptState.NOT_SENT, AttemptState.REFUSED_UNRUN}


class RepeatBudget:
    """Caps repeated attempts as a share of first attempts.

    :param ratio: repeated attempts per first attempt
    :param reserve: repeated attempts that are always allowed in a burst
    """

    def __init__(self, ratio: float, reserve: float = 10) -> None:
        """Start with a full reserve."""
        self.ratio = ratio
        self.reserve = reserve
        self.tokens = reserve

    def note_first_attempt(self) -> None:
        """Earn a fraction of a repeat."""
        self.tokens = min(self.reserve, self.tokens + self.ratio)

    def take(self) -> bool:
        """Spend one repeat if the budget allows it."""
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
    """Tell whether a failed call may be sent to a target again.

    :param state: what is known of the failed attempt
    :param may_repeat: the contract allows a second execution
    :param passed_on: part of the answer has reached the caller
    """
    if passed_on:
        return False
    return state.surely_not_run or may_repeat
