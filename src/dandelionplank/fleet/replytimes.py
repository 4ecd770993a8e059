"""Time within which an owner replies to a ticket: pure state, no I/O.

Designed for instances whose event loop is late under load: a reply that waits
unread in the socket looks like silence. The time-out follows the measured
times, as the retransmission time-out of TCP does.
"""

import dataclasses
from collections import OrderedDict

SHORTEST_TIMEOUT_S = 0.025
LONGEST_TIMEOUT_S = 0.25
# Weights of a measurement in the smoothed time and in its deviation.
TIME_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4.0
# Tickets given up whose reply may still arrive.
MAX_UNANSWERED = 1024


@dataclasses.dataclass(slots=True)
class ReplyTime:
    """Smoothed time until an owner's reply is read, and its deviation."""

    smoothed_s: float
    deviation_s: float

    @classmethod
    def from_first(cls, elapsed_s: float) -> 'ReplyTime':
        """Return the state after the first measurement."""
        return cls(elapsed_s, elapsed_s / 2)

    @property
    def timeout_s(self) -> float:
        """Time after which the owner counts as silent."""
        timeout_s = self.smoothed_s + DEVIATION_FACTOR * self.deviation_s
        return min(LONGEST_TIMEOUT_S, max(SHORTEST_TIMEOUT_S, timeout_s))

    def add(self, elapsed_s: float) -> None:
        """Add a measurement."""
        error_s = elapsed_s - self.smoothed_s
        self.deviation_s += DEVIATION_WEIGHT * (abs(error_s) - self.deviation_s)
        self.smoothed_s += TIME_WEIGHT * error_s


class ReplyTimes:
    """Reply times of all owners, and the tickets that got no reply in time."""

    def __init__(self) -> None:
        """Hold no measurement."""
        self.by_owner: dict[str, ReplyTime] = {}
        self.unanswered: OrderedDict[int, tuple[str, float]] = OrderedDict()

    def timeout_s(self, owner: str) -> float:
        """Return the time after which an owner counts as silent."""
        known = self.by_owner.get(owner)
        return known.timeout_s if known else SHORTEST_TIMEOUT_S

    def record(self, owner: str, elapsed_s: float) -> None:
        """Record the time between a ticket and the reply to it."""
        known = self.by_owner.get(owner)
        if known:
            known.add(elapsed_s)
        else:
            self.by_owner[owner] = ReplyTime.from_first(elapsed_s)

    def record_unanswered(self, owner: str, number: int, sent_s: float) -> None:
        """Record a ticket that is given up without a reply.

        :param sent_s: monotonic time at which it was first sent
        """
        self.unanswered[number] = (owner, sent_s)
        if len(self.unanswered) > MAX_UNANSWERED:
            self.unanswered.popitem(last=False)

    def record_late(self, number: int, now_s: float) -> str:
        """Record a reply to a ticket that was given up.

        :return: the owner that replied, empty if the ticket is not known
        """
        owner, sent_s = self.unanswered.pop(number, ('', now_s))
        if owner:
            self.record(owner, now_s - sent_s)
        return owner
