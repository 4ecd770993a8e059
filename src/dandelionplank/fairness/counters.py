"""Virtual counters: service received by each account, divided by its share.

Implements the virtual token counter, an algorithm for fair serving of one
engine: the backlogged account with the least counter is served next, and an
account that becomes backlogged is raised to the least counter of the other
backlogged accounts, so that idle time earns no credit.
"""

from collections.abc import Iterable

from dandelionplank.messages import AccountCounter


class VirtualCounters:
    """Holds the virtual counter of each account of a service."""

    def __init__(self) -> None:
        """Hold the counters and the charges in flight by account."""
        self.virtual: dict[str, float] = {}
        self.in_flight: dict[str, float] = {}
        self.local_charges: dict[str, float] = {}
        self.last_served_level = 0.0

    def charge(self, account: str, cost: float, share: float) -> float:
        """Add cost to an account and return its counter.

        :param cost: weighted units, negative for a refund
        :param share: the account's weight
        """
        level = max(0.0, self.virtual.get(account, 0.0) + cost / share)
        self.virtual[account] = level
        return level

    def charge_in_flight(
        self, account: str, cost: float, share: float
    ) -> float:
        """Charge work in flight; its cost is an estimate until it ends."""
        in_flight = self.in_flight.get(account, 0.0) + cost / share
        self.in_flight[account] = max(0.0, in_flight)
        charged = self.local_charges.get(account, 0.0) + cost / share
        self.local_charges[account] = charged
        return self.charge(account, cost, share)

    def settle(self, account: str, cost: float, share: float) -> None:
        """Mark a charge of work in flight as final."""
        in_flight = self.in_flight.get(account, 0.0) - cost / share
        if in_flight > 0:
            self.in_flight[account] = in_flight
        else:
            self.in_flight.pop(account, None)

    def settled_counter(self, account: str) -> float:
        """Return an account's counter without its work in flight."""
        in_flight = self.in_flight.get(account, 0.0)
        return max(0.0, self.virtual.get(account, 0.0) - in_flight)

    def raise_to_floor(self, account: str, backlogged: Iterable[str]) -> None:
        """Raise a newly backlogged account to the least backlogged counter.

        Charges of work in flight are left out: an estimate that is too high
        is refunded later, and would put the new account behind the other
        accounts.

        :param account: account whose first ticket has just arrived
        :param backlogged: accounts that were already waiting
        """
        current = self.virtual.get(account, 0.0)
        floor = min(
            map(self.settled_counter, backlogged),
            default=self.last_served_level,
        )
        self.virtual[account] = max(current, floor)

    def record_service(self, account: str) -> None:
        """Record the highest settled counter at which service was given."""
        self.last_served_level = max(
            self.last_served_level,
            self.settled_counter(account),
        )

    def merge(self, counters: Iterable[AccountCounter]) -> None:
        """Merge the counters of another instance; the higher level wins.

        The merge is idempotent and commutative, so messages that are
        duplicated, reordered or delayed by a partition never count service
        twice.
        """
        for counter in counters:
            current = self.virtual.get(counter.account, 0.0)
            self.virtual[counter.account] = max(current, counter.virtual)

    def cap_debt(
        self,
        backlogged: Iterable[str],
        allowance: float,
    ) -> tuple[str, ...]:
        """Limit how far a counter may exceed the least one.

        :param backlogged: accounts that wait
        :param allowance: greatest difference, in cost divided by share
        :return: the accounts whose counters were lowered
        """
        waiting = tuple(backlogged)
        floor = min(
            (self.virtual.get(account, 0.0) for account in waiting),
            default=0.0,
        )
        ceiling = floor + allowance
        lowered = tuple(
            account
            for account in waiting
            if self.virtual.get(account, 0.0) > ceiling
        )
        for account in lowered:
            self.virtual[account] = ceiling
        return lowered

    def charge_remote(self, increases: Iterable[AccountCounter]) -> None:
        """Add the charges of the other pools of the service."""
        for increase in increases:
            self.charge(increase.account, increase.virtual, share=1)

    def snapshot(self) -> tuple[AccountCounter, ...]:
        """Return the counters of all accounts."""
        return tuple(
            AccountCounter(account, level)
            for account, level in self.virtual.items()
        )
