"""Stored use: each incarnation writes its own values."""

from typing import Protocol

import msgspec

from dandelionplank.errors import StoreConflictError, StoreError
from dandelionplank.ledger.usage import (
    PERIOD_S,
    UseKey,
    UseRecord,
    UseRow,
    sum_rows,
)
from dandelionplank.platform.keyvalue import (
    ABSENT,
    KeyValueStore,
    StoredValue,
    put_settled,
)

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(UseRecord)


class UseReader(Protocol):
    """Reads use for reports and statements."""

    async def totals(self, since_s: float) -> dict[UseKey, UseRow]:
        """Return the use of all periods that end after a time."""


class UseRepository:
    """Writes and reads records of use.

    :param store: the key-value service
    :param prefix: prefix of all keys of this fleet
    """

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        """Start without known revisions."""
        self.store = store
        self.prefix = f'{prefix}use/'
        self.revisions: dict[str, int] = {}

    async def write(self, record: UseRecord) -> None:
        """Replace an incarnation's record of a period by a later one.

        Compare-and-swap keeps a delayed earlier write from taking the place
        of a later one.

        :raises StoreError: write the record again later
        """
        key = self.key_of(record.period, record.incarnation)
        payload = _ENCODER.encode(record)
        try:
            self.revisions[key] = await put_settled(
                self.store,
                key,
                payload,
                self.revisions.get(key, ABSENT),
            )
        except StoreConflictError:
            stored = await self.store.get(key)
            self.revisions[key] = stored.revision if stored else ABSENT
            raise

    async def records(self, since_s: float) -> list[UseRecord]:
        """Return the records of all periods that end after a time.

        :raises StoreError: the service did not answer
        """
        stored = await self.store.scan(self.prefix)
        first = int(since_s) - PERIOD_S
        return [
            record
            for record in map(decode_record, stored)
            if record.period > first
        ]

    async def totals(self, since_s: float) -> dict[UseKey, UseRow]:
        """Return the use of all periods that end after a time."""
        return sum_rows(await self.records(since_s))

    def key_of(self, period: int, incarnation: str) -> str:
        """Return the key of a record."""
        return f'{self.prefix}{period:012d}/{incarnation}'


def decode_record(stored: StoredValue) -> UseRecord:
    """Read a stored record.

    :raises StoreError: the value is not a record
    """
    try:
        return _DECODER.decode(stored.payload)
    except msgspec.DecodeError as error:
        raise StoreError(str(error), step='use', peer=stored.key) from error
