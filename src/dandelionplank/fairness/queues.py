"""Queue of one account's tickets in one pool."""

import dataclasses
import heapq
import itertools

from dandelionplank.messages import Ticket

AGEING_COST_PER_S = 400.0


@dataclasses.dataclass(frozen=True)
class WaitingTicket:
    """A ticket in a queue.

    :param entry: instance whose caller waits
    :param since_s: monotonic time at which the wait began
    """

    ticket: Ticket
    entry: str
    since_s: float

    @property
    def rank(self) -> float:
        """Order within the account: small first; every ticket ages alike."""
        return self.ticket.estimate + AGEING_COST_PER_S * self.since_s


class AccountQueue:
    """Waiting tickets of one account, short before long, with ageing.

    All tickets age at the same rate, so the rank of a ticket never changes
    and a heap keeps the order.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.heap: list[tuple[float, int, WaitingTicket]] = []
        self.members: dict[str, WaitingTicket] = {}
        self.sequence = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self.members)

    def push(self, waiting: WaitingTicket) -> None:
        """Add a ticket."""
        self.members[waiting.ticket.id] = waiting
        heapq.heappush(
            self.heap,
            (waiting.rank, next(self.sequence), waiting),
        )

    def remove(self, ticket_id: str) -> WaitingTicket | None:
        """Withdraw a ticket if it still waits."""
        return self.members.pop(ticket_id, None)

    def first(self) -> WaitingTicket:
        """Return the best ticket without removing it.

        :raises IndexError: when the queue is empty
        """
        while self.heap[0][2] is not self.members.get(
            self.heap[0][2].ticket.id,
        ):
            heapq.heappop(self.heap)
        return self.heap[0][2]
