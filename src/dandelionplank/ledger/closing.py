"""Closed periods: what was used, bound together by digests.

Closing a period writes down the digest of every record in it and the digest
of the period before. Whoever holds the records can recompute all of it, so a
record that is changed, missing or doubled afterwards is found and named.
"""

import hashlib
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from dandelionplank.ledger.usage import (
    DIGEST_MODULUS,
    HEX_BASE,
    Receipt,
    UseRecord,
    UseRow,
    add_digest,
    sum_rows,
)

_ENCODER = msgspec.json.Encoder(order='deterministic')


class RecordEntry(msgspec.Struct, frozen=True):
    """A record as it stood when its period was closed."""

    incarnation: str
    digest: str


class ClosedPeriod(msgspec.Struct, frozen=True):
    """One closed period.

    :param period: start of the period, Unix time in seconds
    :param previous: digest of the period closed before, empty for the first
    :param totals: use by account and service, summed over all records
    """

    period: int
    previous: str
    entries: tuple[RecordEntry, ...]
    totals: tuple[UseRow, ...]

    @property
    def digest(self) -> str:
        """Digest of everything in the period, the one before included."""
        return hashlib.sha256(_ENCODER.encode(self)).hexdigest()


class StatementLine(msgspec.Struct, frozen=True):
    """What an account owes for one service in one period."""

    period: int
    account: str
    service: str
    calls: int
    input_tokens: int
    output_tokens: int
    cost: float
    receipts: str
    is_closed: bool


class Statement(msgspec.Struct, frozen=True):
    """An owner's use, with everything needed to recompute it.

    :param head: digest of the last closed period
    :param accounts: the owner's accounts
    """

    owner: str
    accounts: tuple[str, ...]
    lines: tuple[StatementLine, ...]
    head: str
    closures: tuple[ClosedPeriod, ...]
    records: tuple[UseRecord, ...]


def record_digest(record: UseRecord) -> str:
    """Return the digest of a record, whatever the order of its rows."""
    rows = sorted(record.rows, key=lambda row: msgspec.to_builtins(row.key))
    ordered = msgspec.structs.replace(record, rows=tuple(rows))
    return hashlib.sha256(_ENCODER.encode(ordered)).hexdigest()


def close_period(
    period: int,
    records: Iterable[UseRecord],
    previous: ClosedPeriod | None,
) -> ClosedPeriod:
    """Close a period over its records.

    :param previous: the period closed before
    """
    ordered = sorted(records, key=lambda record: record.incarnation)
    totals = sum_rows(ordered)
    return ClosedPeriod(
        period,
        previous.digest if previous else '',
        tuple(
            RecordEntry(record.incarnation, record_digest(record))
            for record in ordered
        ),
        tuple(totals[key] for key in sorted(totals, key=msgspec.to_builtins)),
    )


def build_statement(
    owner: str,
    accounts: Iterable[str],
    closures: Sequence[ClosedPeriod],
    records: Sequence[UseRecord],
) -> Statement:
    """Build an owner's statement from closed periods and open records."""
    names = tuple(sorted(accounts))
    closed = {closure.period for closure in closures}
    still_open = [each for each in records if each.period not in closed]
    rows = [(row, True) for closure in closures for row in closure.totals]
    rows.extend((row, False) for row in sum_rows(still_open).values())
    lines = [
        _line(row, is_closed=is_closed)
        for row, is_closed in rows
        if row.key.account in names
    ]
    lines.sort(key=lambda line: (line.period, line.account, line.service))
    head = closures[-1].digest if closures else ''
    return Statement(
        owner,
        names,
        tuple(lines),
        head,
        tuple(closures),
        tuple(records),
    )


def find_faults(statement: Statement) -> list[str]:
    """Recompute a statement from its records and describe each fault."""
    faults = _chain_faults(statement.closures)
    by_period: dict[int, list[UseRecord]] = {}
    for record in statement.records:
        by_period.setdefault(record.period, []).append(record)
    for closure in statement.closures:
        found = by_period.get(closure.period, [])
        faults.extend(_record_faults(closure, found))
        if not faults:
            faults.extend(_total_faults(closure, found))
    again = build_statement(
        statement.owner,
        statement.accounts,
        statement.closures,
        statement.records,
    )
    if again.lines != statement.lines:
        faults.append('the lines do not follow from the closed periods')
    return faults


def compare_receipts(
    statement: Statement,
    receipts: Mapping[tuple[str, str], tuple[int, str]],
) -> list[str]:
    """Compare an owner's own receipts with the statement.

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
        held, total = receipts.get(key, (0, '0'))
        name = '/'.join(key)
        if calls != held:
            faults.append(f'{name}: {calls} calls stated, {held} receipts')
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


def _line(row: UseRow, *, is_closed: bool) -> StatementLine:
    """Return the line of a row."""
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
    """Check that each period names the digest of the one before."""
    return [
        f'period {late.period}: does not follow period {early.period}'
        for early, late in zip(closures, closures[1:], strict=False)
        if late.previous != early.digest
    ]


def _record_faults(
    closure: ClosedPeriod,
    records: Sequence[UseRecord],
) -> list[str]:
    """Compare the records of a period with its closure."""
    faults = []
    held: dict[str, list[str]] = {}
    for record in records:
        held.setdefault(record.incarnation, []).append(record_digest(record))
    where = f'period {closure.period}'
    for entry in closure.entries:
        digests = held.pop(entry.incarnation, [])
        if not digests:
            faults.append(f'{where}: record {entry.incarnation} is missing')
        elif len(digests) > 1:
            faults.append(f'{where}: record {entry.incarnation} is doubled')
        elif digests[0] != entry.digest:
            faults.append(f'{where}: record {entry.incarnation} was changed')
    faults.extend(f'{where}: record {name} was added' for name in sorted(held))
    return faults


def _total_faults(
    closure: ClosedPeriod,
    records: Sequence[UseRecord],
) -> list[str]:
    """Recompute the totals of a period."""
    again = close_period(closure.period, records, None)
    if again.totals == closure.totals:
        return []
    return [f'period {closure.period}: totals do not follow from the records']
