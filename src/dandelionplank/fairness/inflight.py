"""Attempts in flight and their charges."""

import dataclasses
from collections.abc import Callable, Iterator

from dandelionplank.fairness.counters import VirtualCounters
from dandelionplank.messages import Ticket


@dataclasses.dataclass
class InFlightAttempt:
    """An attempt that occupies a slot of a target."""

    ticket: Ticket
    entry: str
    target: str
    charged: float
    started_s: float = 0
    is_pausing: bool = False

    def is_pausable(self, short_cost: float, started_before_s: float) -> bool:
        """Return whether the attempt is long, retryable and old enough."""
        is_long = self.charged > short_cost and self.ticket.is_retryable
        return (
            is_long
            and not self.is_pausing
            and self.started_s <= started_before_s
        )


class InFlightAttempts:
    """Attempts in flight by ticket, with their charges.

    :param counters: where accounts are charged
    :param share_of: returns an account's share
    """

    def __init__(
        self,
        counters: VirtualCounters,
        share_of: Callable[[str], float],
    ) -> None:
        """Hold the attempts by ticket and the counters to charge."""
        self.counters = counters
        self.share_of = share_of
        self.attempts: dict[str, InFlightAttempt] = {}
        self.counts: dict[str, int] = {}
        self.cost = 0.0
        self.peak_cost = 0.0

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket has an attempt in flight."""
        return ticket_id in self.attempts

    def __iter__(self) -> Iterator[str]:
        """Iterate over the ids of tickets in flight."""
        return iter(self.attempts)

    def start(self, running: InFlightAttempt) -> None:
        """Add an attempt and charge its estimated cost."""
        self._add(running)
        self.recharge(running, running.ticket.estimate)

    def restore(self, running: InFlightAttempt) -> None:
        """Add an attempt whose charge the counters already include."""
        self._add(running)
        self._add_cost(running.charged)

    def recharge(self, running: InFlightAttempt, cost: float) -> None:
        """Set the charge of a running attempt."""
        account = running.ticket.account
        difference = cost - running.charged
        self.counters.charge_in_flight(
            account, difference, self.share_of(account)
        )
        running.charged = cost
        self._add_cost(difference)

    def end(
        self, ticket_id: str, cost: float | None = None
    ) -> InFlightAttempt | None:
        """Remove an attempt and settle its charge.

        :param cost: final cost, ``None`` to keep the present charge
        :return: the attempt, ``None`` if it is not in flight
        """
        running = self.attempts.get(ticket_id)
        if running is None:
            return None
        if cost is not None:
            self.recharge(running, cost)
        self.attempts.pop(ticket_id)
        self._add_cost(-running.charged)
        account = running.ticket.account
        self._change_count(account, -1)
        share = self.share_of(account)
        self.counters.settle(account, running.charged, share)
        return running

    def of_entry(self, entry: str) -> list[InFlightAttempt]:
        """Return the attempts of an instance's callers."""
        return [
            running
            for running in self.attempts.values()
            if running.entry == entry
        ]

    def at_target(self, target: str) -> list[InFlightAttempt]:
        """Return the attempts at a target."""
        return [
            running
            for running in self.attempts.values()
            if running.target == target
        ]

    def count_at(self, target: str) -> int:
        """Return the number of attempts at a target."""
        return len(self.at_target(target))

    def _add(self, running: InFlightAttempt) -> None:
        """Store an attempt and count it for its account."""
        self.attempts[running.ticket.id] = running
        self._change_count(running.ticket.account, 1)

    def _change_count(self, account: str, change: int) -> None:
        """Change the number of an account's attempts."""
        count = self.counts.get(account, 0) + change
        if count:
            self.counts[account] = count
        else:
            self.counts.pop(account)

    def _add_cost(self, difference: float) -> None:
        """Change the cost in flight and update its peak."""
        self.cost = max(0.0, self.cost + difference)
        self.peak_cost = max(self.peak_cost, self.cost)
