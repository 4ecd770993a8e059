"""Cumulative usage per account, service and period.

Each incarnation of a router has its own counters, which only increase, so a
record that is written twice or late is merged by taking the larger copy.
"""

import hashlib
from collections.abc import Iterable

import msgspec

DIGEST_BYTES = 16
HEX_BASE = 16
MAX_SEGMENT_ROWS = 200
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)


class UsageKey(msgspec.Struct, frozen=True, array_like=True):
    """Period, account and service of a usage row.

    :param period: start of the period, Unix time in seconds
    """

    period: int
    account: str
    service: str


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """Usage of one service by one account in one period.

    :param calls: number of charged responses, one receipt each
    :param cost: sum of the charges, in weighted units
    :param receipts: sum of the receipts' digests, modulo 2**128, as hex
    """

    key: UsageKey
    calls: int
    input_tokens: int
    output_tokens: int
    cost: float
    receipts: str


class UsageRecord(msgspec.Struct, frozen=True):
    """Usage counted by one incarnation in one segment of a period.

    :param incarnation: the incarnation and the number of the segment
    """

    incarnation: str
    period: int
    rows: tuple[UsageRow, ...]


class Receipt(msgspec.Struct, frozen=True):
    """The charge for one response, as reported to the caller."""

    id: str
    account: str
    service: str
    cost: float
    input_tokens: int = 0
    output_tokens: int = 0

    @property
    def digest(self) -> int:
        """Digest of the receipt's id, account, service and cost."""
        text = f'{self.id}|{self.account}|{self.service}|{self.cost:.6f}'
        raw = hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]
        return int.from_bytes(raw, 'big')


class UsageSegment:
    """A part of a period's rows that is written as one record."""

    def __init__(self, name: str, period: int) -> None:
        """Hold the rows of a segment by key."""
        self.name = name
        self.period = period
        self.rows: dict[UsageKey, UsageRow] = {}

    def add(self, key: UsageKey, receipt: Receipt) -> None:
        """Add a receipt to the row of its key."""
        row = self.rows.get(key) or UsageRow(key, 0, 0, 0, 0, '0')
        self.rows[key] = UsageRow(
            key,
            row.calls + 1,
            row.input_tokens + receipt.input_tokens,
            row.output_tokens + receipt.output_tokens,
            row.cost + receipt.cost,
            add_digest(row.receipts, receipt.digest),
        )

    def to_record(self) -> UsageRecord:
        """Return the record to write."""
        return UsageRecord(self.name, self.period, tuple(self.rows.values()))


class UsageLedger:
    """Counts the usage of one incarnation.

    A period's rows are split into segments of bounded size. Only the latest
    segment of a period still changes, so a flush writes little even if an
    entry serves thousands of accounts.
    """

    def __init__(
        self,
        incarnation: str,
        period_s: int,
        max_segment_rows: int = MAX_SEGMENT_ROWS,
    ) -> None:
        """Hold the latest segment of each period and the unwritten segments.

        :param period_s: length of a period
        :param max_segment_rows: maximum number of rows of a segment
        """
        self.incarnation = incarnation
        self.period_s = period_s
        self.max_segment_rows = max_segment_rows
        self.latest_segments: dict[int, UsageSegment] = {}
        self.dirty_segments: dict[str, UsageSegment] = {}
        self.segment_count = 0

    def record_receipt(self, receipt: Receipt, at_s: float) -> None:
        """Add the usage of a receipt.

        :param at_s: Unix time at which the response ended
        """
        period = int(at_s) // self.period_s * self.period_s
        key = UsageKey(period, receipt.account, receipt.service)
        segment = self.latest_segments.get(period)
        if segment is None or self._is_full(segment, key):
            segment = self._start_segment(period)
        segment.add(key, receipt)
        self.dirty_segments[segment.name] = segment

    def take_dirty(self) -> list[UsageRecord]:
        """Return the records to write and mark all segments as written."""
        changed = list(self.dirty_segments.values())
        self.dirty_segments.clear()
        return [segment.to_record() for segment in changed]

    def requeue(self, record: UsageRecord) -> None:
        """Mark a record whose write failed as unwritten.

        If its segment has changed since, the newer rows are written.
        """
        latest = self.latest_segments.get(record.period)
        if latest is not None and latest.name == record.incarnation:
            self.dirty_segments[latest.name] = latest
            return
        segment = UsageSegment(record.incarnation, record.period)
        segment.rows = {row.key: row for row in record.rows}
        self.dirty_segments.setdefault(segment.name, segment)

    def delete_before(self, period: int) -> None:
        """Drop the latest segments of periods that no longer change."""
        self.latest_segments = {
            start: segment
            for start, segment in self.latest_segments.items()
            if start >= period
        }

    def _is_full(self, segment: UsageSegment, key: UsageKey) -> bool:
        """Return whether a segment is full and has no row of the key."""
        return key not in segment.rows and (
            len(segment.rows) >= self.max_segment_rows
        )

    def _start_segment(self, period: int) -> UsageSegment:
        """Start a new segment of a period."""
        segment = UsageSegment(
            f'{self.incarnation}.{self.segment_count}', period
        )
        self.segment_count += 1
        self.latest_segments[period] = segment
        return segment


def add_digest(total: str, digest: int) -> str:
    """Add a digest to a sum of digests."""
    return f'{(int(total, HEX_BASE) + digest) % DIGEST_MODULUS:x}'


def sum_rows(records: Iterable[UsageRecord]) -> dict[UsageKey, UsageRow]:
    """Add up the rows of all records, by key."""
    totals: dict[UsageKey, UsageRow] = {}
    for record in records:
        for row in record.rows:
            totals[row.key] = add_rows(totals.get(row.key), row)
    return totals


def add_rows(left: UsageRow | None, right: UsageRow) -> UsageRow:
    """Add two rows of the same key."""
    if left is None:
        return right
    return UsageRow(
        left.key,
        left.calls + right.calls,
        left.input_tokens + right.input_tokens,
        left.output_tokens + right.output_tokens,
        left.cost + right.cost,
        add_digest(left.receipts, int(right.receipts, HEX_BASE)),
    )
