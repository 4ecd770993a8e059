"""Paused streams, and the choice of the stream to pause."""

from collections.abc import Callable, Iterable

from dandelionplank.fairness.inflight import InFlightAttempt, InFlightAttempts
from dandelionplank.fairness.queues import WaitingTicket

MAX_PAUSE_S = 1.0
MIN_RUN_S = 0.5


class PausedStreams:
    """Paused tickets by the target that holds their state."""

    def __init__(self) -> None:
        """Hold the paused tickets by target."""
        self.by_target: dict[str, dict[str, WaitingTicket]] = {}

    def __len__(self) -> int:
        """Return the number of paused tickets."""
        return sum(map(len, self.by_target.values()))

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket is paused."""
        return any(ticket_id in tickets for tickets in self.by_target.values())

    def push(self, waiting: WaitingTicket) -> None:
        """Add a paused ticket."""
        tickets = self.by_target.setdefault(waiting.ticket.pinned, {})
        tickets[waiting.ticket.id] = waiting

    def remove(self, ticket_id: str) -> WaitingTicket | None:
        """Remove and return a ticket if it is paused."""
        for tickets in self.by_target.values():
            waiting = tickets.pop(ticket_id, None)
            if waiting:
                return waiting
        return None

    def first_at(self, target: str) -> WaitingTicket | None:
        """Return the ticket that has been paused longest at a target."""
        tickets = self.by_target.get(target)
        if not tickets:
            return None
        return min(
            tickets.values(), key=lambda waiting: waiting.waiting_since_s
        )

    def of_entry(self, entry: str) -> list[WaitingTicket]:
        """Return the paused tickets of an instance's callers."""
        return [
            waiting
            for tickets in self.by_target.values()
            for waiting in tickets.values()
            if waiting.entry == entry
        ]


def choose_victim(
    running: Iterable[InFlightAttempt],
    in_flight: InFlightAttempts,
    fair_slots: Callable[[str], float],
    short_cost: float,
    now_s: float,
) -> InFlightAttempt | None:
    """Choose the stream that is paused in favour of short work.

    Candidates are long attempts that have run for ``MIN_RUN_S`` and whose
    account holds more slots than its share. The one with the highest charge
    is chosen.

    :param running: attempts at the target
    :param fair_slots: returns the slots that correspond to an account's share
    :param short_cost: cost up to which work counts as short
    :param now_s: monotonic time
    """
    candidates = [
        each
        for each in running
        if each.is_pausable(short_cost, now_s - MIN_RUN_S)
        and in_flight.counts[each.ticket.account]
        > fair_slots(each.ticket.account)
    ]
    return max(candidates, key=lambda each: each.charged, default=None)
