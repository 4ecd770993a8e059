"""Total charges of accounts over all pools of a service.

Each pool's dispatcher reports its cumulative charges since its start. An
aggregator adds them up and reports to every pool what the others have
charged, so that an account does not get twice the service by waiting in two
pools.
"""

import dataclasses

from dandelionplank.messages import AccountCounter, PoolTotals

EPOCH_RETENTION_S = 60.0


@dataclasses.dataclass
class PoolEpoch:
    """Charges of a pool during one dispatcher's term."""

    charges: dict[str, float] = dataclasses.field(default_factory=dict)
    received_at_s: float = 0


class ServiceTotals:
    """Adds up the charges of one service's pools."""

    def __init__(self) -> None:
        """Create totals without any reports."""
        self.epochs: dict[tuple[str, str], PoolEpoch] = {}
        self.reported: dict[str, dict[str, float]] = {}

    def report(
        self,
        message: PoolTotals,
        now_s: float,
    ) -> tuple[AccountCounter, ...]:
        """Record a pool's report and return what the others have charged.

        The highest value of each charge is kept, so a duplicate or delayed
        report changes nothing.

        :param message: cumulative charges of accounts that have changed
        :param now_s: monotonic time
        :return: totals that were not yet reported to the pool
        """
        key = (message.pool, message.epoch)
        epoch = self.epochs.setdefault(key, PoolEpoch())
        epoch.received_at_s = now_s
        for counter in message.counters:
            known = epoch.charges.get(counter.account, 0.0)
            epoch.charges[counter.account] = max(known, counter.virtual)
        self._drop_expired(now_s)
        return self._updates_for(message.pool)

    def _updates_for(self, pool: str) -> tuple[AccountCounter, ...]:
        """Return the other pools' totals not yet reported to a pool."""
        totals: dict[str, float] = {}
        for (other, _epoch), epoch in self.epochs.items():
            if other == pool:
                continue
            for account, charge in epoch.charges.items():
                totals[account] = totals.get(account, 0.0) + charge
        reported = self.reported.setdefault(pool, {})
        updates = tuple(
            AccountCounter(account, total)
            for account, total in totals.items()
            if reported.get(account) != total
        )
        reported.update({each.account: each.virtual for each in updates})
        return updates

    def _drop_expired(self, now_s: float) -> None:
        """Drop epochs without a recent report: their dispatchers stopped."""
        expired = [
            key
            for key, epoch in self.epochs.items()
            if now_s - epoch.received_at_s > EPOCH_RETENTION_S
        ]
        for key in expired:
            self.epochs.pop(key)


class RemoteCharges:
    """Converts totals of other pools into charges, each counted once."""

    def __init__(self) -> None:
        """Create an instance that has received no totals."""
        self.totals: dict[str, float] = {}

    def update(
        self,
        counters: tuple[AccountCounter, ...],
    ) -> tuple[AccountCounter, ...]:
        """Return the increase of each total over the highest one received.

        A restarted aggregator reports lower totals at first; earlier charges
        are not counted again when its totals catch up.
        """
        increases = []
        for counter in counters:
            known = self.totals.get(counter.account, 0.0)
            if counter.virtual <= known:
                continue
            self.totals[counter.account] = counter.virtual
            increase = counter.virtual - known
            increases.append(AccountCounter(counter.account, increase))
        return tuple(increases)
