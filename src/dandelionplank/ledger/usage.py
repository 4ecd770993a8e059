"""Cumulative use per account, service and period.

Every incarnation of a router counts for itself and its counters only rise,
so a copy that is written twice or late is merged by taking the larger one.
"""

import hashlib
from collections.abc import Iterable

import msgspec

DIGEST_BYTES = 16
HEX_BASE = 16
SEGMENT_ROWS = 200
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
    """Use that one incarnation has counted in one period, or a part of it.

    :param incarnation: the incarnation and the number of the part
    """

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


class UseSegment:
    """A part of a period's rows that is written as one record."""

    def __init__(self, name: str, period: int) -> None:
        """Start without rows."""
        self.name = name
        self.period = period
        self.rows: dict[UseKey, UseRow] = {}

    def add(self, key: UseKey, receipt: Receipt) -> None:
        """Add a receipt to its row."""
        row = self.rows.get(key) or UseRow(key, 0, 0, 0, 0, '0')
        self.rows[key] = UseRow(
            key,
            row.calls + 1,
            row.input_tokens + receipt.input_tokens,
            row.output_tokens + receipt.output_tokens,
            row.cost + receipt.cost,
            add_digest(row.receipts, receipt.digest),
        )

    def record(self) -> UseRecord:
        """Return the record to write."""
        return UseRecord(self.name, self.period, tuple(self.rows.values()))


class UseLedger:
    """Counts the use of one incarnation.

    A period's rows are cut into segments of bounded size. Only the latest
    segment of a period still changes, so a flush writes little even where
    an entry serves thousands of accounts.
    """

    def __init__(
        self,
        incarnation: str,
        period_s: int,
        segment_rows: int = SEGMENT_ROWS,
    ) -> None:
        """Start with nothing counted.

        :param period_s: length of a period
        :param segment_rows: rows of a segment at the most
        """
        self.incarnation = incarnation
        self.period_s = period_s
        self.segment_rows = segment_rows
        self.latest: dict[int, UseSegment] = {}
        self.dirty: dict[str, UseSegment] = {}
        self.count = 0

    def record(self, receipt: Receipt, at_s: float) -> None:
        """Add the use that a receipt states.

        :param at_s: Unix time at which the answer ended
        """
        period = int(at_s) // self.period_s * self.period_s
        key = UseKey(period, receipt.account, receipt.service)
        segment = self.latest.get(period)
        if segment is None or self._is_full(segment, key):
            segment = self._begin(period)
        segment.add(key, receipt)
        self.dirty[segment.name] = segment

    def take_dirty(self) -> list[UseRecord]:
        """Return the records of all segments that have changed."""
        changed = list(self.dirty.values())
        self.dirty.clear()
        return [segment.record() for segment in changed]

    def put_back(self, record: UseRecord) -> None:
        """Note that a record could not be written.

        A segment that has changed since is written in its later form.
        """
        latest = self.latest.get(record.period)
        if latest is not None and latest.name == record.incarnation:
            self.dirty[latest.name] = latest
            return
        segment = UseSegment(record.incarnation, record.period)
        segment.rows = {row.key: row for row in record.rows}
        self.dirty.setdefault(segment.name, segment)

    def forget_before(self, period: int) -> None:
        """Close the segments of periods that will not change any more."""
        self.latest = {
            start: segment
            for start, segment in self.latest.items()
            if start >= period
        }

    def _is_full(self, segment: UseSegment, key: UseKey) -> bool:
        """Tell whether a segment takes no further row."""
        return key not in segment.rows and (
            len(segment.rows) >= self.segment_rows
        )

    def _begin(self, period: int) -> UseSegment:
        """Begin a segment of a period."""
        segment = UseSegment(f'{self.incarnation}.{self.count}', period)
        self.count += 1
        self.latest[period] = segment
        return segment


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
