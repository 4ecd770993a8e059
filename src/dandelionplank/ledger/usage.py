"""Cumulative use per account, service and period.

Every incarnation of a router counts for itself and its counters only rise,
so a copy that is written twice or late is merged by taking the larger one.
"""

import hashlib
from collections.abc import Iterable

import msgspec

DIGEST_BYTES = 16
HEX_BASE = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


class UseKey(msgspec.Struct, frozen=True, array_like=True):
    """What a row of use is about.

    :param period: start of the period, Unix time in seconds
    """

    period: int
    account: str
    service: str


class UseRow(msgspec.Struct, frozen=True, array_like=True):
    """Use of one account at one service in one period.

    :param calls: answers that were charged, one receipt each
    :param cost: sum of the charges, in weighted units
    :param receipts: sum of the receipts' digests, modulo 2**128, as hex
    """

    key: UseKey
    calls: int
    input_tokens: int
    output_tokens: int
    cost: float
    receipts: str


class UseRecord(msgspec.Struct, frozen=True):
    """All use that one incarnation has counted in one period."""

    incarnation: str
    period: int
    rows: tuple[UseRow, ...]


class Receipt(msgspec.Struct, frozen=True):
    """What a caller is told of the charge for one answer."""

    id: str
    account: str
    service: str
    cost: float
    input_tokens: int = 0
    output_tokens: int = 0

    @property
    def digest(self) -> int:
        """Fingerprint of the receipt's facts."""
        text = f'{self.id}|{self.account}|{self.service}|{self.cost:.6f}'
        raw = hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]
        return int.from_bytes(raw, 'big')


class UseLedger:
    """Counts the use of one incarnation."""

    def __init__(self, incarnation: str, period_s: int) -> None:
        """Start with nothing counted.

        :param period_s: length of a period
        """
        self.incarnation = incarnation
        self.period_s = period_s
        self.rows: dict[UseKey, UseRow] = {}
        self.dirty: set[int] = set()

    def record(self, receipt: Receipt, at_s: float) -> None:
        """Add the use that a receipt states.

        :param at_s: Unix time at which the answer ended
        """
        period = int(at_s) // self.period_s * self.period_s
        key = UseKey(period, receipt.account, receipt.service)
        row = self.rows.get(key) or UseRow(key, 0, 0, 0, 0, '0')
        self.rows[key] = UseRow(
            key,
            row.calls + 1,
            row.input_tokens + receipt.input_tokens,
            row.output_tokens + receipt.output_tokens,
            row.cost + receipt.cost,
            add_digest(row.receipts, receipt.digest),
        )
        self.dirty.add(period)

    def take_dirty(self) -> list[UseRecord]:
        """Return the records of all periods that have changed."""
        periods = sorted(self.dirty)
        self.dirty.clear()
        return [self.record_of(period) for period in periods]

    def record_of(self, period: int) -> UseRecord:
        """Return everything counted in a period."""
        rows = tuple(
            row for key, row in self.rows.items() if key.period == period
        )
        return UseRecord(self.incarnation, period, rows)

    def forget_before(self, period: int) -> None:
        """Drop periods that are written and closed."""
        self.rows = {
            key: row for key, row in self.rows.items() if key.period >= period
        }


def add_digest(total: str, digest: int) -> str:
    """Add a receipt's digest to a sum."""
    return f'{(int(total, HEX_BASE) + digest) % DIGEST_MODULUS:x}'


def sum_rows(records: Iterable[UseRecord]) -> dict[UseKey, UseRow]:
    """Add up the rows of different incarnations."""
    totals: dict[UseKey, UseRow] = {}
    for record in records:
        for row in record.rows:
            totals[row.key] = add_rows(totals.get(row.key), row)
    return totals


def add_rows(left: UseRow | None, right: UseRow) -> UseRow:
    """Add two rows of the same key."""
    if left is None:
        return right
    return UseRow(
        left.key,
        left.calls + right.calls,
        left.input_tokens + right.input_tokens,
        left.output_tokens + right.output_tokens,
        left.cost + right.cost,
        add_digest(left.receipts, int(right.receipts, HEX_BASE)),
    )
