"""Scheduling orders for the tickets of backlogged accounts."""

from typing import Protocol

from dandelionplank.fairness.backlog import Backlog
from dandelionplank.fairness.counters import VirtualCounters
from dandelionplank.fairness.queues import WaitingTicket


class AccountOrder(Protocol):
    """Chooses which ticket is served next."""

    def ranked(
        self,
        backlog: Backlog,
        counters: VirtualCounters,
    ) -> list[WaitingTicket]:
        """Return the candidates in the order in which they are served."""

    def best(
        self,
        backlog: Backlog,
        counters: VirtualCounters,
    ) -> WaitingTicket:
        """Return the ticket that is served next."""


class FairOrder:
    """Serves the account with the least service divided by share."""

    def ranked(
        self,
        backlog: Backlog,
        counters: VirtualCounters,
    ) -> list[WaitingTicket]:
        """Return the first ticket of each account, least counter first."""
        levels = counters.virtual
        accounts = sorted(backlog.queues, key=lambda name: levels[name])
        return [backlog.first_of(account) for account in accounts]

    def best(
        self,
        backlog: Backlog,
        counters: VirtualCounters,
    ) -> WaitingTicket:
        """Return the first ticket of the account with the least counter."""
        account = min(backlog.queues, key=counters.virtual.__getitem__)
        return backlog.first_of(account)


class ArrivalOrder:
    """Serves tickets first come, first served; a baseline."""

    def ranked(
        self,
        backlog: Backlog,
        counters: VirtualCounters,
    ) -> list[WaitingTicket]:
        """Return all waiting tickets, oldest first."""
        waiting = [
            each
            for queue in backlog.queues.values()
            for each in queue.members.values()
        ]
        return sorted(waiting, key=lambda each: each.waiting_since_s)

    def best(
        self,
        backlog: Backlog,
        counters: VirtualCounters,
    ) -> WaitingTicket:
        """Return the oldest ticket; members are in order of arrival."""
        oldest = (
            next(iter(queue.members.values()))
            for queue in backlog.queues.values()
        )
        return min(oldest, key=lambda each: each.waiting_since_s)
