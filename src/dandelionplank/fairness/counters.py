"""Virtual counters: service received, divided by share.

The scheme is the virtual token counter known from fair serving of one
engine: the backlogged account with the least counter is served next, and an
account that becomes backlogged is lifted to the least counter of the others,
so that idle time earns no credit.
"""

from collections.abc import Iterable

from dandelionplank.messages import AccountCounter


class VirtualCounters:
    """Keeps one virtual counter for each account of a service."""

    def __init__(self) -> None:
        """Start with no account."""
        self.virtual: dict[str, float] = {}
        self.in_flight: dict[str, float] = {}
        self.charged_here: dict[str, float] = {}
        self.last_served = 0.0

    def charge(self, account: str, cost: float, share: float) -> float:
        """Add cost to an account and return its counter.

        :param cost: weighted units, negative to give a charge back
        :param share: the account's weight
        """
        level = max(0.0, self.virtual.get(account, 0.0) + cost / share)
        self.virtual[account] = level
        return level

    def hold(self, account: str, cost: float, share: float) -> float:
        """Charge work in flight, whose cost is an estimate until it ends."""
        held = self.in_flight.get(account, 0.0) + cost / share
        self.in_flight[account] = max(0.0, held)
        charged = self.charged_here.get(account, 0.0) + cost / share
        self.charged_here[account] = charged
        return self.charge(account, cost, share)

    def settle(self, account: str, cost: float, share: float) -> None:
        """Note that the charge of work in flight has become final."""
        held = self.in_flight.get(account, 0.0) - cost / share
        if held > 0:
            self.in_flight[account] = held
        else:
            self.in_flight.pop(account, None)

    def settled(self, account: str) -> float:
        """Return the counter without the work in flight."""
        held = self.in_flight.get(account, 0.0)
        return max(0.0, self.virtual.get(account, 0.0) - held)

    def lift(self, account: str, backlogged: Iterable[str]) -> None:
        """Raise an account that becomes backlogged to the least of the rest.

        Charges of work in flight do not count: an estimate that is too high
        is given back later, and would put the newcomer behind the others.

        :param account: account whose first ticket has just arrived
        :param backlogged: accounts that were waiting before
        """
        present = self.virtual.get(account, 0.0)
        floor = min(
            map(self.settled, backlogged),
            default=self.last_served,
        )
        self.virtual[account] = max(present, floor)

    def serve(self, account: str) -> None:
        """Note the level at which the latest service was given."""
        self.last_served = max(
            self.last_served,
            self.settled(account),
        )

    def merge(self, counters: Iterable[AccountCounter]) -> None:
        """Take in counters of another view; the higher level wins.

        The merge is idempotent, so messages that are sent again, come out
        of order or return after a partition never count service twice.
        """
        for counter in counters:
            present = self.virtual.get(counter.account, 0.0)
            self.virtual[counter.account] = max(present, counter.virtual)

    def cap_debt(
        self,
        backlogged: Iterable[str],
        allowance: float,
    ) -> tuple[str, ...]:
        """Limit how far an account may stand above the least one.

        :param backlogged: accounts that wait
        :param allowance: greatest distance, in cost divided by share
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

    def absorb(self, rises: Iterable[AccountCounter]) -> None:
        """Charge what other pools of the service have charged."""
        for rise in rises:
            self.charge(rise.account, rise.virtual, share=1)

    def snapshot(self) -> tuple[AccountCounter, ...]:
        """Return all counters for a handover."""
        return tuple(
            AccountCounter(account, level)
            for account, level in self.virtual.items()
        )
