"""Task that closes periods of use and drops old ones."""

import asyncio
import time

import msgspec

from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.ledger.closing import ClosedPeriod, close_period
from dandelionplank.ledger.repository import UseRepository
from dandelionplank.ledger.usage import UseRecord
from dandelionplank.logs import log_event
from dandelionplank.router.membership import MembershipTask
from dandelionplank.routing.rendezvous import pick_instance
from dandelionplank.settings import LedgerSettings

CHECKS_PER_PERIOD = 4


class ClosingTask:
    """Closes each period some time after its end.

    One instance does it, chosen by rendezvous hashing; if two think that
    they are chosen, the first to write wins and the other's work is lost.
    """

    def __init__(
        self,
        repository: UseRepository,
        settings: LedgerSettings,
        membership: MembershipTask,
    ) -> None:
        """Keep where use is stored."""
        self.repository = repository
        self.settings = settings
        self.membership = membership

    async def run(self) -> None:
        """Look for periods to close, a few times a period."""
        own = self.membership.table.own.id
        while True:
            await asyncio.sleep(self.settings.period_s / CHECKS_PER_PERIOD)
            if pick_instance('closing', self.membership.present) != own:
                continue
            try:
                await self.close_due(time.time())
            except (StoreError, msgspec.DecodeError) as error:
                log_event(Event.STORE_DOWN, why=str(error))

    async def close_due(self, now_s: float) -> None:
        """Close every period that ended long enough ago.

        :param now_s: Unix time
        :raises StoreError: close the rest later
        """
        closures = await self.repository.closures(0)
        latest = closures[-1] if closures else None
        by_period: dict[int, list[UseRecord]] = {}
        for record in await self.repository.records(0):
            by_period.setdefault(record.period, []).append(record)
        for period in sorted(by_period):
            is_new = latest is None or period > latest.period
            ends_s = period + self.settings.period_s
            if is_new and ends_s + self.settings.close_after_s < now_s:
                latest = await self._close(period, by_period[period], latest)
        await self.repository.forget_before(now_s - self.settings.retention_s)

    async def _close(
        self,
        period: int,
        records: list[UseRecord],
        previous: ClosedPeriod | None,
    ) -> ClosedPeriod:
        """Close one period."""
        closure = close_period(period, records, previous)
        await self.repository.close(closure)
        log_event(
            Event.PERIOD_CLOSED,
            period=period,
            records=len(records),
            digest=closure.digest,
        )
        return closure
