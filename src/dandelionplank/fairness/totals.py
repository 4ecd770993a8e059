"""Service of accounts across the pools of one service.

Each pool's dispatcher reports what it has charged since it began, as
cumulative figures. An aggregator adds them up and tells every pool what the
others have charged, so that an account is not served twice as much because
it waits in two pools.
"""

import dataclasses

from dandelionplank.messages import AccountCounter, PoolTotals

FORGET_EPOCH_S = 60.0


@dataclasses.dataclass
class PoolEpoch:
    """What one dispatcher of a pool has charged since it began."""

    levels: dict[str, float] = dataclasses.field(default_factory=dict)
    heard_at_s: float = 0


class ServiceTotals:
    """Adds up the charges of one service's pools."""

    def __init__(self) -> None:
        """Start without reports."""
        self.epochs: dict[tuple[str, str], PoolEpoch] = {}
        self.told: dict[str, dict[str, float]] = {}

    def report(
        self,
        message: PoolTotals,
        now_s: float,
    ) -> tuple[AccountCounter, ...]:
        """Take in a pool's report and return what the others have charged.

        Figures only rise, so a report that comes twice or late changes
        nothing.

        :param message: cumulative charges of accounts that have changed
        :param now_s: monotonic time
        :return: totals that are new to the pool
        """
        key = (message.pool, message.epoch)
        epoch = self.epochs.setdefault(key, PoolEpoch())
        epoch.heard_at_s = now_s
        for counter in message.counters:
            level = epoch.levels.get(counter.account, 0.0)
            epoch.levels[counter.account] = max(level, counter.virtual)
        self._forget(now_s)
        return self._news_for(message.pool)

    def _news_for(self, pool: str) -> tuple[AccountCounter, ...]:
        """Return the others' totals that a pool has not been told."""
        totals: dict[str, float] = {}
        for (other, _epoch), epoch in self.epochs.items():
            if other == pool:
                continue
            for account, level in epoch.levels.items():
                totals[account] = totals.get(account, 0.0) + level
        told = self.told.setdefault(pool, {})
        news = tuple(
            AccountCounter(account, total)
            for account, total in totals.items()
            if told.get(account) != total
        )
        told.update({each.account: each.virtual for each in news})
        return news

    def _forget(self, now_s: float) -> None:
        """Drop the reports of dispatchers that have ended long ago."""
        old = [
            key
            for key, epoch in self.epochs.items()
            if now_s - epoch.heard_at_s > FORGET_EPOCH_S
        ]
        for key in old:
            self.epochs.pop(key)


class ForeignCharges:
    """Turns totals of other pools into charges, each counted once."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.levels: dict[str, float] = {}

    def take(
        self,
        counters: tuple[AccountCounter, ...],
    ) -> tuple[AccountCounter, ...]:
        """Return by how much each total has risen since it was last heard.

        An aggregator that begins anew reports less at first; what was heard
        before is not charged again when its totals rise to the old level.
        """
        rises = []
        for counter in counters:
            known = self.levels.get(counter.account, 0.0)
            if counter.virtual <= known:
                continue
            self.levels[counter.account] = counter.virtual
            rise = counter.virtual - known
            rises.append(AccountCounter(counter.account, rise))
        return tuple(rises)
