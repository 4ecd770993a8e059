"""Storage of usage records; each incarnation writes only its own."""

import contextlib
from typing import Protocol

import msgspec

from dandelionplank.errors import StoreConflictError, StoreError
from dandelionplank.ledger.closing import ClosedPeriod
from dandelionplank.ledger.usage import (
    UsageKey,
    UsageRecord,
    UsageRow,
    sum_rows,
)
from dandelionplank.platform.keyvalue import (
    NO_REVISION,
    KeyValueStore,
    StoredValue,
    put_with_readback,
)

PERIOD_DIGITS = 12
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(UsageRecord)


class UsageReader(Protocol):
    """Reads usage for reports and statements."""

    async def totals(self, since_s: float) -> dict[UsageKey, UsageRow]:
        """Return the usage of all periods that end after a time."""

    async def records(self, since_s: float) -> list[UsageRecord]:
        """Return the records of all periods that end after a time."""

    async def closures(self, since_s: float) -> list[ClosedPeriod]:
        """Return the closed periods that end after a time, in order."""


class UsageRepository:
    """Writes and reads usage records.

    :param store: the key-value service
    :param prefix: prefix of all keys of this fleet
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        period_s: int,
    ) -> None:
        """Hold the store, the key prefixes and the known revisions.

        :param period_s: length of a period
        """
        self.store = store
        self.prefix = f'{prefix}use/'
        self.closed_prefix = f'{prefix}closed/'
        self.period_s = period_s
        self.revisions: dict[str, int] = {}

    async def write(self, record: UsageRecord) -> None:
        """Replace an incarnation's record of a period with a later one.

        Compare-and-swap prevents a delayed earlier write from overwriting a
        later one.

        :raises StoreError: retry the write later
        """
        key = self.record_key(record.period, record.incarnation)
        payload = _ENCODER.encode(record)
        try:
            self.revisions[key] = await put_with_readback(
                self.store,
                key,
                payload,
                self.revisions.get(key, NO_REVISION),
            )
        except StoreConflictError:
            stored = await self.store.get(key)
            self.revisions[key] = stored.revision if stored else NO_REVISION
            raise

    async def records(self, since_s: float) -> list[UsageRecord]:
        """Return the records of all periods that end after a time.

        :raises StoreError: the service did not respond
        """
        stored = await self.store.scan(self.prefix)
        first = int(since_s) - self.period_s
        return [
            record
            for record in map(decode_record, stored)
            if record.period > first
        ]

    async def totals(self, since_s: float) -> dict[UsageKey, UsageRow]:
        """Return the usage of all periods that end after a time."""
        return sum_rows(await self.records(since_s))

    async def closures(self, since_s: float) -> list[ClosedPeriod]:
        """Return the closed periods that end after a time, in order.

        :raises StoreError: the service did not respond
        """
        stored = await self.store.scan(self.closed_prefix)
        first = int(since_s) - self.period_s
        closures = [
            msgspec.json.decode(each.payload, type=ClosedPeriod)
            for each in stored
        ]
        return [each for each in closures if each.period > first]

    async def close(self, closure: ClosedPeriod) -> None:
        """Store a closed period unless it is already closed.

        :raises StoreError: retry later
        """
        with contextlib.suppress(StoreConflictError):
            await put_with_readback(
                self.store,
                f'{self.closed_prefix}{closure.period:0{PERIOD_DIGITS}d}',
                _ENCODER.encode(closure),
                NO_REVISION,
            )

    async def delete_before(self, at_s: float) -> None:
        """Delete records and closed periods that ended before a time.

        :raises StoreError: some values may remain; retry later
        """
        for prefix in (self.prefix, self.closed_prefix):
            for stored in await self.store.scan(prefix):
                period = int(stored.key.removeprefix(prefix)[:PERIOD_DIGITS])
                if period + self.period_s < at_s:
                    await self.store.delete(stored.key)

    def record_key(self, period: int, incarnation: str) -> str:
        """Return the key of an incarnation's record of a period."""
        return f'{self.prefix}{period:0{PERIOD_DIGITS}d}/{incarnation}'


def decode_record(stored: StoredValue) -> UsageRecord:
    """Decode a stored record.

    :raises StoreError: the value is not a record
    """
    try:
        return _DECODER.decode(stored.payload)
    except msgspec.DecodeError as error:
        raise StoreError(str(error), step='use', peer=stored.key) from error
