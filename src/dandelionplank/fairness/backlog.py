"""Waiting tickets of a pool, one queue for each account."""

from collections.abc import Iterator

from dandelionplank.fairness.queues import AccountQueue, WaitingTicket


class Backlog:
    """Queues of all accounts that wait in a pool."""

    def __init__(self) -> None:
        """Start empty."""
        self.queues: dict[str, AccountQueue] = {}
        self.owners: dict[str, str] = {}

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self.owners)

    def __contains__(self, ticket_id: str) -> bool:
        """Tell whether a ticket waits."""
        return ticket_id in self.owners

    @property
    def accounts(self) -> tuple[str, ...]:
        """Accounts that have a waiting ticket."""
        return tuple(self.queues)

    def length_of(self, account: str) -> int:
        """Return the number of an account's waiting tickets."""
        queue = self.queues.get(account)
        return len(queue) if queue else 0

    def push(self, waiting: WaitingTicket) -> None:
        """Add a ticket to its account's queue."""
        account = waiting.ticket.account
        self.queues.setdefault(account, AccountQueue()).push(waiting)
        self.owners[waiting.ticket.id] = account

    def remove(self, ticket_id: str) -> WaitingTicket | None:
        """Withdraw a ticket if it still waits."""
        account = self.owners.pop(ticket_id, None)
        if account is None:
            return None
        queue = self.queues[account]
        waiting = queue.remove(ticket_id)
        if not queue:
            self.queues.pop(account)
        return waiting

    def first_of(self, account: str) -> WaitingTicket:
        """Return the best ticket of an account that waits."""
        return self.queues[account].first()

    def of_entry(self, entry: str) -> Iterator[WaitingTicket]:
        """Iterate over the tickets whose callers wait at an instance."""
        for queue in self.queues.values():
            for waiting in queue.members.values():
                if waiting.entry == entry:
                    yield waiting
