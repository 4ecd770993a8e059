"""Task that writes this incarnation's usage records to the store."""

import asyncio
import time

from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.ledger.repository import UsageRepository
from dandelionplank.ledger.usage import UsageLedger
from dandelionplank.logs import log_event

KEPT_PERIODS = 3


class UsageTask:
    """Writes changed usage records to the store at regular intervals."""

    def __init__(
        self,
        ledger: UsageLedger,
        repository: UsageRepository,
        period_s: float,
    ) -> None:
        """Hold the ledger and the repository of its records.

        :param ledger: counts the usage of this incarnation
        :param repository: receives the changed records
        :param period_s: time between writes
        """
        self.ledger = ledger
        self.repository = repository
        self.period_s = period_s

    async def run(self) -> None:
        """Write the changed records once per period."""
        while True:
            await asyncio.sleep(self.period_s)
            await self.flush()

    async def flush(self) -> bool:
        """Write the changed records and return whether all writes succeeded."""
        records = self.ledger.take_dirty()
        failed = 0
        for record in records:
            try:
                await self.repository.write(record)
            except StoreError:
                self.ledger.requeue(record)
                failed += 1
        if records:
            log_event(Event.USE_FLUSHED, records=len(records), failed=failed)
        self._forget_old()
        return not failed

    def _forget_old(self) -> None:
        """Drop periods that no longer change."""
        kept_s = KEPT_PERIODS * self.ledger.period_s
        self.ledger.delete_before(int(time.time()) - kept_s)
