"""Streams that gave their slot to short work and wait to go on."""

from collections.abc import Callable, Iterable

from dandelionplank.fairness.inflight import InFlight, Running
from dandelionplank.fairness.queues import WaitingTicket

LONGEST_PAUSE_S = 1.0
LEAST_RUN_S = 0.5


class PausedStreams:
    """Paused tickets by the target that keeps their state."""

    def __init__(self) -> None:
        """Start empty."""
        self.by_target: dict[str, dict[str, WaitingTicket]] = {}

    def __len__(self) -> int:
        """Return the number of paused tickets."""
        return sum(map(len, self.by_target.values()))

    def __contains__(self, ticket_id: str) -> bool:
        """Tell whether a ticket is paused."""
        return any(ticket_id in held for held in self.by_target.values())

    def push(self, waiting: WaitingTicket) -> None:
        """Add a paused ticket."""
        held = self.by_target.setdefault(waiting.ticket.pinned, {})
        held[waiting.ticket.id] = waiting

    def remove(self, ticket_id: str) -> WaitingTicket | None:
        """Remove a ticket if it is paused."""
        for held in self.by_target.values():
            waiting = held.pop(ticket_id, None)
            if waiting:
                return waiting
        return None

    def first_at(self, target: str) -> WaitingTicket | None:
        """Return the ticket that has been paused longest at a target."""
        held = self.by_target.get(target)
        if not held:
            return None
        return min(held.values(), key=lambda waiting: waiting.since_s)

    def of_entry(self, entry: str) -> list[WaitingTicket]:
        """Return the paused tickets of an instance's callers."""
        return [
            waiting
            for held in self.by_target.values()
            for waiting in held.values()
            if waiting.entry == entry
        ]


def choose_victim(
    running: Iterable[Running],
    in_flight: InFlight,
    due_slots: Callable[[str], float],
    short_cost: float,
    now_s: float,
) -> Running | None:
    """Choose the stream that gives its slot to short work.

    Only long work is paused, only of accounts that hold more slots than
    their share, and only after it has run for a while; among these the one
    that was charged most.

    :param running: attempts at the target
    :param due_slots: returns the slots that an account's share gives it
    :param short_cost: cost up to which work is short
    :param now_s: monotonic time
    """
    candidates = [
        each
        for each in running
        if each.is_pausable(short_cost, now_s - LEAST_RUN_S)
        and in_flight.counts[each.ticket.account]
        > due_slots(each.ticket.account)
    ]
    return max(candidates, key=lambda each: each.charged, default=None)
