"""Task that closes usage periods and deletes old ones."""

import asyncio
import time

import msgspec

from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.ledger.closing import ClosedPeriod, close_period
from dandelionplank.ledger.repository import UsageRepository
from dandelionplank.ledger.usage import UsageRecord
from dandelionplank.logs import log_event
from dandelionplank.router.membership import MembershipTask
from dandelionplank.routing.rendezvous import pick_instance
from dandelionplank.settings import LedgerSettings

CHECKS_PER_PERIOD = 4


class PeriodClosingTask:
    """Closes each usage period some time after its end.

    One instance does it, chosen by rendezvous hashing. If two instances
    consider themselves chosen, the first to write wins and the other's
    result is discarded.
    """

    def __init__(
        self,
        repository: UsageRepository,
        settings: LedgerSettings,
        membership: MembershipTask,
    ) -> None:
        """Hold the repository whose periods are closed."""
        self.repository = repository
        self.settings = settings
        self.membership = membership

    async def run(self) -> None:
        """Check for periods to close, several times per period."""
        own = self.membership.table.own.id
        while True:
            await asyncio.sleep(self.settings.period_s / CHECKS_PER_PERIOD)
            if pick_instance('closing', self.membership.present) != own:
                continue
            try:
                await self.close_due_periods(time.time())
            except (StoreError, msgspec.DecodeError) as error:
                log_event(Event.STORE_DOWN, why=str(error))

    async def close_due_periods(self, now_s: float) -> None:
        """Close periods that ended ``close_after_s`` ago; delete old ones.

        :param now_s: Unix time
        :raises StoreError: the remaining periods can be closed later
        """
        closures = await self.repository.closures(0)
        latest = closures[-1] if closures else None
        by_period: dict[int, list[UsageRecord]] = {}
        for record in await self.repository.records(0):
            by_period.setdefault(record.period, []).append(record)
        for period in sorted(by_period):
            is_new = latest is None or period > latest.period
            end_s = period + self.settings.period_s
            if is_new and end_s + self.settings.close_after_s < now_s:
                latest = await self._close_period(
                    period, by_period[period], latest
                )
        await self.repository.delete_before(now_s - self.settings.retention_s)

    async def _close_period(
        self,
        period: int,
        records: list[UsageRecord],
        previous: ClosedPeriod | None,
    ) -> ClosedPeriod:
        """Close one period and return it."""
        closure = close_period(period, records, previous)
        await self.repository.close(closure)
        log_event(
            Event.PERIOD_CLOSED,
            period=period,
            records=len(records),
            digest=closure.digest,
        )
        return closure
