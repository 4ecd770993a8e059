"""Orders in which backlogged accounts are served."""

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
        """Return the best ticket of each account, the next one first."""

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
        """Return the best ticket of each account, the next one first."""
        levels = counters.virtual
        accounts = sorted(backlog.queues, key=lambda name: levels[name])
        return [backlog.first_of(account) for account in accounts]

    def best(
        self,
        backlog: Backlog,
        counters: VirtualCounters,
    ) -> WaitingTicket:
        """Return the best ticket of the account with the least counter."""
        account = min(backlog.queues, key=counters.virtual.__getitem__)
        return backlog.first_of(account)


class ArrivalOrder:
    """Serves tickets in the order of their arrival; a baseline."""

    def ranked(
        self,
        backlog: Backlog,
        counters: VirtualCounters,
    ) -> list[WaitingTicket]:
        """Return every waiting ticket, the oldest first."""
        waiting = [
            each
            for queue in backlog.queues.values()
            for each in queue.members.values()
        ]
        return sorted(waiting, key=lambda each: each.since_s)

    def best(
        self,
        backlog: Backlog,
        counters: VirtualCounters,
    ) -> WaitingTicket:
        """Return the oldest ticket; members keep their order of arrival."""
        oldest = (
            next(iter(queue.members.values()))
            for queue in backlog.queues.values()
        )
        return min(oldest, key=lambda each: each.since_s)
