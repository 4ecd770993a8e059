"""Closed periods of usage, chained by digests.

A closed period stores the digest of each of its records and the digest of
the previous period. Anyone who has the records can recompute these, so a
record that is changed, removed or duplicated afterwards is identified.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from dandelionplank.ledger.usage import (
    DIGEST_MODULUS,
    HEX_BASE,
    Receipt,
    UsageRecord,
    UsageRow,
    add_digest,
    sum_rows,
)

_ENCODER = msgspec.json.Encoder(order='deterministic')


class RecordDigest(msgspec.Struct, frozen=True):
    """The digest of a record at the time its period was closed."""

    incarnation: str
    digest: str


class ClosedPeriod(msgspec.Struct, frozen=True):
    """One closed period.

    :param period: start of the period, Unix time in seconds
    :param previous: digest of the previous period, empty for the first
    :param totals: usage by account and service, summed over all records
    """

    period: int
    previous: str
    entries: tuple[RecordDigest, ...]
    totals: tuple[UsageRow, ...]

    @property
    def digest(self) -> str:
        """Digest of the period, including the digest of the previous one."""
        return hashlib.sha256(_ENCODER.encode(self)).hexdigest()


class StatementLine(msgspec.Struct, frozen=True):
    """Amount due from an account for one service in one period."""

    period: int
    account: str
    service: str
    calls: int
    input_tokens: int
    output_tokens: int
    cost: float
    receipts: str
    is_closed: bool


class UsageStatement(msgspec.Struct, frozen=True):
    """An owner's usage, with everything needed to recompute it.

    :param head: digest of the last closed period
    :param accounts: the owner's accounts
    """

    owner: str
    accounts: tuple[str, ...]
    lines: tuple[StatementLine, ...]
    head: str
    closures: tuple[ClosedPeriod, ...]
    records: tuple[UsageRecord, ...]


def record_digest(record: UsageRecord) -> str:
    """Return the digest of a record, independent of the order of its rows."""
    rows = sorted(record.rows, key=lambda row: msgspec.to_builtins(row.key))
    ordered = msgspec.structs.replace(record, rows=tuple(rows))
    return hashlib.sha256(_ENCODER.encode(ordered)).hexdigest()


def close_period(
    period: int,
    records: Iterable[UsageRecord],
    previous: ClosedPeriod | None,
) -> ClosedPeriod:
    """Build the closed period of some records.

    :param previous: the previously closed period, if any
    """
    ordered = sorted(records, key=lambda record: record.incarnation)
    totals = sum_rows(ordered)
    return ClosedPeriod(
        period,
        previous.digest if previous else '',
        tuple(
            RecordDigest(record.incarnation, record_digest(record))
            for record in ordered
        ),
        tuple(totals[key] for key in sorted(totals, key=msgspec.to_builtins)),
    )


def build_statement(
    owner: str,
    accounts: Iterable[str],
    closures: Sequence[ClosedPeriod],
    records: Sequence[UsageRecord],
) -> UsageStatement:
    """Build an owner's statement from closed periods and usage records."""
    names = tuple(sorted(accounts))
    closed = {closure.period for closure in closures}
    open_records = [each for each in records if each.period not in closed]
    rows = [(row, True) for closure in closures for row in closure.totals]
    rows.extend((row, False) for row in sum_rows(open_records).values())
    lines = [
        _statement_line(row, is_closed=is_closed)
        for row, is_closed in rows
        if row.key.account in names
    ]
    lines.sort(key=lambda line: (line.period, line.account, line.service))
    head = closures[-1].digest if closures else ''
    return UsageStatement(
        owner,
        names,
        tuple(lines),
        head,
        tuple(closures),
        tuple(records),
    )


def find_faults(statement: UsageStatement) -> list[str]:
    """Recompute a statement from its records and describe each discrepancy."""
    faults = _chain_faults(statement.closures)
    by_period: dict[int, list[UsageRecord]] = {}
    for record in statement.records:
        by_period.setdefault(record.period, []).append(record)
    for closure in statement.closures:
        found = by_period.get(closure.period, [])
        faults.extend(_record_faults(closure, found))
        if not faults:
            faults.extend(_total_faults(closure, found))
    recomputed = build_statement(
        statement.owner,
        statement.accounts,
        statement.closures,
        statement.records,
    )
    if recomputed.lines != statement.lines:
        faults.append('the lines do not follow from the closed periods')
    return faults


def compare_receipts(
    statement: UsageStatement,
    receipts: Mapping[tuple[str, str], tuple[int, str]],
) -> list[str]:
    """Compare the receipts that an owner holds with the statement.

    :param receipts: by account and service, the number of receipts and the
        sum of their digests
    """
    stated: dict[tuple[str, str], tuple[int, int]] = {}
    for line in statement.lines:
        key = (line.account, line.service)
        calls, digest = stated.get(key, (0, 0))
        stated[key] = (
            calls + line.calls,
            digest + int(line.receipts, HEX_BASE),
        )
    faults = []
    for key in sorted(stated.keys() | receipts.keys()):
        calls, digest = stated.get(key, (0, 0))
        receipt_count, total = receipts.get(key, (0, '0'))
        name = '/'.join(key)
        if calls != receipt_count:
            faults.append(
                f'{name}: {calls} calls stated, {receipt_count} receipts'
            )
        elif digest % DIGEST_MODULUS != int(total, HEX_BASE):
            faults.append(f'{name}: the receipts are not those charged')
    return faults


def sum_receipts(lines: bytes) -> dict[tuple[str, str], tuple[int, str]]:
    """Count receipts and add up their digests, by account and service.

    :param lines: one JSON receipt a line
    :raises msgspec.DecodeError: a line is not a receipt
    """
    sums: dict[tuple[str, str], tuple[int, str]] = {}
    decoder = msgspec.json.Decoder(Receipt)
    for receipt in decoder.decode_lines(lines):
        key = (receipt.account, receipt.service)
        count, digest = sums.get(key, (0, '0'))
        sums[key] = (count + 1, add_digest(digest, receipt.digest))
    return sums


def _statement_line(row: UsageRow, *, is_closed: bool) -> StatementLine:
    """Return the statement line of a usage row."""
    return StatementLine(
        row.key.period,
        row.key.account,
        row.key.service,
        row.calls,
        row.input_tokens,
        row.output_tokens,
        row.cost,
        row.receipts,
        is_closed,
    )


def _chain_faults(closures: Sequence[ClosedPeriod]) -> list[str]:
    """Check that each period contains the digest of the previous one."""
    return [
        f'period {later.period}: does not follow period {earlier.period}'
        for earlier, later in zip(closures, closures[1:], strict=False)
        if later.previous != earlier.digest
    ]


def _record_faults(
    closure: ClosedPeriod,
    records: Sequence[UsageRecord],
) -> list[str]:
    """Compare the records of a period with the digests of its closure."""
    faults = []
    digests_by_incarnation: dict[str, list[str]] = {}
    for record in records:
        digests_by_incarnation.setdefault(record.incarnation, []).append(
            record_digest(record)
        )
    where = f'period {closure.period}'
    for entry in closure.entries:
        digests = digests_by_incarnation.pop(entry.incarnation, [])
        if not digests:
            faults.append(f'{where}: record {entry.incarnation} is missing')
        elif len(digests) > 1:
            faults.append(f'{where}: record {entry.incarnation} is doubled')
        elif digests[0] != entry.digest:
            faults.append(f'{where}: record {entry.incarnation} was changed')
    faults.extend(
        f'{where}: record {name} was added'
        for name in sorted(digests_by_incarnation)
    )
    return faults


def _total_faults(
    closure: ClosedPeriod,
    records: Sequence[UsageRecord],
) -> list[str]:
    """Recompute the totals of a period and compare them."""
    recomputed = close_period(closure.period, records, None)
    if recomputed.totals == closure.totals:
        return []
    return [f'period {closure.period}: totals do not follow from the records']
