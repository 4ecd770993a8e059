"""Queue of one account's tickets in one pool."""

import dataclasses
import heapq
import itertools

from dandelionplank.messages import Ticket

AGEING_COST_PER_S = 400.0


@dataclasses.dataclass(frozen=True)
class WaitingTicket:
    """A ticket in a queue.

    :param entry: instance that holds the caller's connection
    :param waiting_since_s: monotonic time at which the wait started
    """

    ticket: Ticket
    entry: str
    waiting_since_s: float

    @property
    def rank(self) -> float:
        """Sort key within the account: small and old tickets first."""
        return self.ticket.estimate + AGEING_COST_PER_S * self.waiting_since_s


class AccountQueue:
    """Waiting tickets of one account, shortest job first with ageing.

    All tickets age at the same rate, so the rank of a ticket is constant
    and a heap can hold them. Removed tickets stay in the heap until they
    reach its top.
    """

    def __init__(self) -> None:
        """Hold the heap and the tickets that have not been removed."""
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
        """Remove and return a ticket if it still waits."""
        return self.members.pop(ticket_id, None)

    def first(self) -> WaitingTicket:
        """Return the ticket with the lowest rank without removing it.

        :raises IndexError: when the queue is empty
        """
        while self.heap[0][2] is not self.members.get(
            self.heap[0][2].ticket.id,
        ):
            heapq.heappop(self.heap)
        return self.heap[0][2]
