"""Waiting tickets of a pool, one queue per account."""

from collections.abc import Iterator

from dandelionplank.fairness.queues import AccountQueue, WaitingTicket


class Backlog:
    """Queues of all accounts with waiting tickets in a pool."""

    def __init__(self) -> None:
        """Hold the queues by account."""
        self.queues: dict[str, AccountQueue] = {}
        self.account_by_ticket: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self.account_by_ticket)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether a ticket waits."""
        return ticket_id in self.account_by_ticket

    @property
    def accounts(self) -> tuple[str, ...]:
        """Accounts with at least one waiting ticket."""
        return tuple(self.queues)

    def length_of(self, account: str) -> int:
        """Return the number of an account's waiting tickets."""
        queue = self.queues.get(account)
        return len(queue) if queue else 0

    def push(self, waiting: WaitingTicket) -> None:
        """Add a ticket to its account's queue."""
        account = waiting.ticket.account
        self.queues.setdefault(account, AccountQueue()).push(waiting)
        self.account_by_ticket[waiting.ticket.id] = account

    def remove(self, ticket_id: str) -> WaitingTicket | None:
        """Remove and return a ticket if it still waits."""
        account = self.account_by_ticket.pop(ticket_id, None)
        if account is None:
            return None
        queue = self.queues[account]
        waiting = queue.remove(ticket_id)
        if not queue:
            self.queues.pop(account)
        return waiting

    def first_of(self, account: str) -> WaitingTicket:
        """Return the lowest-ranked (next) ticket of a backlogged account."""
        return self.queues[account].first()

    def of_entry(self, entry: str) -> Iterator[WaitingTicket]:
        """Iterate over the tickets of an instance's callers."""
        for queue in self.queues.values():
            for waiting in queue.members.values():
                if waiting.entry == entry:
                    yield waiting
