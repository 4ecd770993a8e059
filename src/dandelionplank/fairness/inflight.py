"""Attempts that hold slots, and what is charged for them."""

import dataclasses
from collections.abc import Callable, Iterator

from dandelionplank.fairness.counters import VirtualCounters
from dandelionplank.messages import Ticket


@dataclasses.dataclass
class Running:
    """An attempt that holds a slot."""

    ticket: Ticket
    entry: str
    target: str
    charged: float
    since_s: float = 0
    is_pausing: bool = False

    def is_pausable(self, short_cost: float, before_s: float) -> bool:
        """Tell whether the attempt is long work that began before a time."""
        is_long = self.charged > short_cost and self.ticket.may_repeat
        return is_long and not self.is_pausing and self.since_s <= before_s


class InFlight:
    """Running attempts by ticket, and their charges.

    :param counters: where accounts are charged
    :param share_of: returns an account's share
    """

    def __init__(
        self,
        counters: VirtualCounters,
        share_of: Callable[[str], float],
    ) -> None:
        """Start with nothing in flight."""
        self.counters = counters
        self.share_of = share_of
        self.attempts: dict[str, Running] = {}
        self.counts: dict[str, int] = {}
        self.cost = 0.0
        self.largest_cost = 0.0

    def __contains__(self, ticket_id: str) -> bool:
        """Tell whether a ticket runs."""
        return ticket_id in self.attempts

    def __iter__(self) -> Iterator[str]:
        """Iterate over the tickets that run."""
        return iter(self.attempts)

    def start(self, running: Running) -> None:
        """Add an attempt and charge the estimate of its cost."""
        self._add(running)
        self.recharge(running, running.ticket.estimate)

    def adopt(self, running: Running) -> None:
        """Add an attempt whose charge the counters hold already."""
        self._add(running)
        self._add_cost(running.charged)

    def recharge(self, running: Running, cost: float) -> None:
        """Set the charge of a running attempt."""
        account = running.ticket.account
        difference = cost - running.charged
        self.counters.hold(account, difference, self.share_of(account))
        running.charged = cost
        self._add_cost(difference)

    def end(self, ticket_id: str, cost: float | None = None) -> Running | None:
        """Remove an attempt and settle its charge.

        :param cost: final cost, none to leave the charge as it is
        :return: the attempt, none if it does not run
        """
        running = self.attempts.get(ticket_id)
        if running is None:
            return None
        if cost is not None:
            self.recharge(running, cost)
        self.attempts.pop(ticket_id)
        self._add_cost(-running.charged)
        account = running.ticket.account
        self._count(account, -1)
        share = self.share_of(account)
        self.counters.settle(account, running.charged, share)
        return running

    def of_entry(self, entry: str) -> list[Running]:
        """Return the attempts of an instance's callers."""
        return [
            running
            for running in self.attempts.values()
            if running.entry == entry
        ]

    def at_target(self, target: str) -> list[Running]:
        """Return the attempts at a target."""
        return [
            running
            for running in self.attempts.values()
            if running.target == target
        ]

    def count_at(self, target: str) -> int:
        """Return the number of attempts at a target."""
        return len(self.at_target(target))

    def _add(self, running: Running) -> None:
        """Add an attempt."""
        self.attempts[running.ticket.id] = running
        self._count(running.ticket.account, 1)

    def _count(self, account: str, change: int) -> None:
        """Change the number of an account's attempts."""
        count = self.counts.get(account, 0) + change
        if count:
            self.counts[account] = count
        else:
            self.counts.pop(account)

    def _add_cost(self, difference: float) -> None:
        """Change the cost in flight and keep its peak."""
        self.cost = max(0.0, self.cost + difference)
        self.largest_cost = max(self.largest_cost, self.cost)
