"""Which requests are refused at once: pure decisions, no I/O and no clock.

Answers to demand that cannot be served in time: a request is refused when
it arrives, with the time at which it would be served, instead of waiting
until its deadline passes.
"""

import dataclasses

# Time that an answer takes besides the wait and the reading.
ANSWER_S = 0.15
SHORTEST_RETRY_S = 0.25
LONGEST_RETRY_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """When a request would be served.

    :param wait_s: expected wait for a target
    :param reading_s: expected time to read the prompt
    """

    wait_s: float
    reading_s: float

    @property
    def answer_s(self) -> float:
        """Expected time to the first event."""
        return self.wait_s + self.reading_s + ANSWER_S


def is_hopeless(prospect: Prospect, objective_left_s: float) -> bool:
    """Tell whether a request cannot meet its objective any more."""
    return prospect.answer_s > objective_left_s


def retry_after_s(prospect: Prospect, spread: float) -> float:
    """Return when a refused caller should come back.

    :param spread: random number from zero to one; callers that were refused
        together come back apart
    """
    base_s = prospect.wait_s * (0.5 + spread)
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, base_s))
