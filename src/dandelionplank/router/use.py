"""Task that writes this incarnation's use."""

import asyncio
import time

from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.ledger.repository import UseRepository
from dandelionplank.ledger.usage import UseLedger
from dandelionplank.logs import log_event

KEPT_PERIODS = 3


class UseTask:
    """Writes changed records every few seconds."""

    def __init__(
        self,
        ledger: UseLedger,
        repository: UseRepository,
        period_s: float,
    ) -> None:
        """Keep the ledger and where it is written."""
        self.ledger = ledger
        self.repository = repository
        self.period_s = period_s

    async def run(self) -> None:
        """Flush once a period."""
        while True:
            await asyncio.sleep(self.period_s)
            await self.flush()

    async def flush(self) -> bool:
        """Write every changed record and tell whether all were written."""
        records = self.ledger.take_dirty()
        failed = 0
        for record in records:
            try:
                await self.repository.write(record)
            except StoreError:
                self.ledger.put_back(record)
                failed += 1
        if records:
            log_event(Event.USE_FLUSHED, records=len(records), failed=failed)
        self._forget_old()
        return not failed

    def _forget_old(self) -> None:
        """Drop periods that will not change any more."""
        kept_s = KEPT_PERIODS * self.ledger.period_s
        self.ledger.forget_before(int(time.time()) - kept_s)
