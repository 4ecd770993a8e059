"""Usage records, closed periods and statements."""

import asyncio
import contextlib
import tempfile
import time
from pathlib import Path

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bench.callers import chat
from bench.fleet import FleetPlan
from dandelionplank.commands.check import app as check_app
from dandelionplank.errors import StoreConflictError
from dandelionplank.ledger.closing import (
    build_statement,
    close_period,
    compare_receipts,
    find_faults,
)
from dandelionplank.ledger.repository import UsageRepository
from dandelionplank.ledger.usage import (
    Receipt,
    UsageLedger,
    add_digest,
    sum_rows,
)
from dandelionplank.platform.etcd import EtcdStore
from tests.fixtures import (
    ACCOUNTS,
    ASSISTANT,
    BOOKING,
    eventually,
    key_value_store,
    run_async,
    with_fleet,
)

PERIOD_S = 600
receipts = st.lists(
    st.builds(
        Receipt,
        st.uuids().map(str),
        st.sampled_from(['small', 'large']),
        st.sampled_from(['assistant', 'booking']),
        st.integers(1, 1000).map(float),
    ),
    unique_by=lambda receipt: receipt.id,
    max_size=30,
)
SHORT_PERIODS = FleetPlan(
    3,
    (ASSISTANT, BOOKING),
    ACCOUNTS,
    settings={
        'ledger': {
            'period_s': 2,
            'close_after_s': 3,
            'flush_period_s': 0.5,
            'retention_s': 600,
        }
    },
)


def records_of(receipts_by_incarnation, at_s=PERIOD_S):
    """Return the records of several incarnations for one period."""
    records = []
    for incarnation, issued in receipts_by_incarnation.items():
        ledger = UsageLedger(incarnation, PERIOD_S)
        for receipt in issued:
            ledger.record_receipt(receipt, at_s)
        records.extend(ledger.take_dirty())
    return records


@given(first=receipts, second=receipts)
def test_totals_are_summed_over_incarnations(first, second):
    """The totals of several incarnations equal the sums of all receipts."""
    records = records_of({'r0-1': first, 'r0-2': second})
    totals = sum_rows(records)
    cost = sum(receipt.cost for receipt in (*first, *second))
    assert sum(row.cost for row in totals.values()) == cost
    calls = sum(row.calls for row in totals.values())
    assert calls == len(first) + len(second)


@given(issued=receipts, flushes=st.lists(st.booleans(), max_size=30))
def test_segments_neither_lose_nor_duplicate_receipts(issued, flushes):
    """Totals stay exact when writes fail and their records are put back."""
    ledger = UsageLedger('r0-1', PERIOD_S, max_segment_rows=1)
    written = {}
    for number, receipt in enumerate(issued):
        ledger.record_receipt(receipt, PERIOD_S)
        for record in ledger.take_dirty() if number % 3 else ():
            if number < len(flushes) and flushes[number]:
                ledger.requeue(record)
            else:
                written[record.incarnation] = record
    written.update(
        {record.incarnation: record for record in ledger.take_dirty()}
    )
    totals = sum_rows(written.values())
    calls = sum(row.calls for row in totals.values())
    assert calls == len(issued)
    cost = sum(row.cost for row in totals.values())
    assert cost == sum(receipt.cost for receipt in issued)
    assert all(len(record.rows) <= 1 for record in written.values())


def test_a_record_put_back_late_does_not_replace_later_rows():
    """A write may fail after its segment has filled up; no receipt is lost."""
    ledger = UsageLedger('r0-1', PERIOD_S, max_segment_rows=1)
    ledger.record_receipt(Receipt('a', 'small', 'booking', 10), PERIOD_S)
    early = ledger.take_dirty()[0]
    ledger.record_receipt(Receipt('b', 'small', 'booking', 10), PERIOD_S)
    ledger.record_receipt(Receipt('c', 'large', 'booking', 10), PERIOD_S)
    ledger.requeue(early)
    totals = sum_rows(ledger.take_dirty())
    assert sum(row.calls for row in totals.values()) == 3


def sample_statement():
    """Return a statement over two closed periods and its owner's receipts."""
    issued = [
        Receipt(f'id-{number}', 'small', 'assistant', 10.0 + number)
        for number in range(6)
    ]
    early = records_of({'a-1': issued[:2], 'b-1': issued[2:3]}, PERIOD_S)
    late = records_of({'a-1': issued[3:5], 'c-1': issued[5:]}, 2 * PERIOD_S)
    first = close_period(PERIOD_S, early, None)
    second = close_period(2 * PERIOD_S, late, first)
    statement = build_statement(
        'dobrescu', ['small'], [first, second], [*early, *late]
    )
    return statement, issued


def test_unmodified_statement_matches_its_records_and_receipts():
    """No fault is found, and a missing receipt is reported by service."""
    statement, issued = sample_statement()
    assert not find_faults(statement)
    assert sum(line.cost for line in statement.lines) == 75
    digests = '0'
    for receipt in issued:
        digests = add_digest(digests, receipt.digest)
    held = {('small', 'assistant'): (6, digests)}
    assert not compare_receipts(statement, held)
    fewer = {('small', 'assistant'): (5, digests)}
    assert compare_receipts(statement, fewer) == [
        'small/assistant: 6 calls stated, 5 receipts'
    ]


def run_check(*arguments):
    """Run the check command and return its exit status."""
    try:
        check_app(list(map(str, arguments)), exit_on_error=False)
    except SystemExit as error:
        return error.code
    return 0


def test_check_command_rejects_a_changed_statement_or_missing_receipt():
    """The command checks exported files without access to the fleet."""
    statement, issued = sample_statement()
    directory = Path(tempfile.mkdtemp())
    intact, altered = directory / 'intact.json', directory / 'altered.json'
    held = directory / 'receipts.jsonl'
    intact.write_bytes(msgspec.json.encode(statement))
    altered.write_bytes(intact.read_bytes().replace(b'21.0', b'22.0'))
    held.write_bytes(b'\n'.join(map(msgspec.json.encode, issued)))
    assert run_check('statement', intact, '--receipts', held) == 0
    assert run_check('statement', altered) == 2
    held.write_bytes(b'\n'.join(map(msgspec.json.encode, issued[1:])))
    assert run_check('statement', intact, '--receipts', held) == 2


def with_changed_records(statement, change):
    """Return a copy of a statement after a change to its records."""
    records = change(list(statement.records))
    return msgspec.structs.replace(statement, records=tuple(records))


def test_changed_missing_duplicate_and_added_records_are_named():
    """Each fault names the period and the record."""
    statement, _ = sample_statement()
    first = statement.records[0]
    changed_row = msgspec.structs.replace(first.rows[0], cost=1.0)
    changed = msgspec.structs.replace(first, rows=(changed_row,))
    added = msgspec.structs.replace(first, incarnation='z-9')
    cases = {
        'record a-1.0 was changed': lambda kept: [changed, *kept[1:]],
        'record a-1.0 is missing': lambda kept: kept[1:],
        'record a-1.0 is doubled': lambda kept: [first, *kept],
        'record z-9 was added': lambda kept: [*kept, added],
    }
    for fault, change in cases.items():
        found = find_faults(with_changed_records(statement, change))
        assert f'period {PERIOD_S}: {fault}' in found


def test_chain_fault_is_found_when_a_period_is_closed_again():
    """The next period still contains the digest of the first closure."""
    statement, _ = sample_statement()
    first, second = statement.closures
    reclosed = close_period(PERIOD_S, statement.records[:1], None)
    closures = (reclosed, second)
    changed = msgspec.structs.replace(statement, closures=closures)
    faults = find_faults(changed)
    assert first.digest != reclosed.digest
    assert any('does not follow' in fault for fault in faults)


@run_async
async def test_delayed_write_does_not_replace_a_later_one():
    """A write of an older record conflicts with the stored newer one."""
    async with key_value_store() as (_, store):
        repository = UsageRepository(store, 'test/', PERIOD_S)
        ledger = UsageLedger('r0-1', PERIOD_S)
        ledger.record_receipt(Receipt('a', 'small', 'booking', 10), PERIOD_S)
        early = ledger.take_dirty()[0]
        await repository.write(early)
        ledger.record_receipt(Receipt('b', 'small', 'booking', 10), PERIOD_S)
        await repository.write(ledger.take_dirty()[0])
        late = UsageRepository(store, 'test/', PERIOD_S)
        with contextlib.suppress(StoreConflictError):
            await late.write(early)
            raise AssertionError('the older record was written')
        totals = await repository.totals(0)
        assert [row.calls for row in totals.values()] == [2]


@with_fleet(SHORT_PERIODS)
async def test_verify_statement_names_a_record_changed_in_the_store(fleet):
    """VERIFY STATEMENT reports no fault until a stored record is changed."""
    url = fleet.routers[0].url
    for number in range(5):
        outcome = await chat(fleet.session, url, 'small', f'{number}', 10)
        assert outcome.is_complete
        await asyncio.sleep(0.5)

    async def closed():
        table = await fleet.run_statement('PRINT STATEMENT FOR OWNER dobrescu')
        states = [row[-1] for row in table['rows']]
        return states and set(states) == {'closed'}

    await eventually(closed, 20)
    verify = 'VERIFY STATEMENT FOR OWNER dobrescu'
    assert not (await fleet.run_statement(verify))['rows']
    async with store_client(fleet) as store:
        stored = (await store.scan('dandelionplank/use/'))[0]
        forged = stored.payload.replace(b'"small"', b'"large"')
        await store.put(stored.key, forged)
    rows = (await fleet.run_statement(verify))['rows']
    assert any('was changed' in row[0] for row in rows)


@contextlib.asynccontextmanager
async def store_client(fleet):
    """Yield a client of the fleet's key-value stand-in."""
    store = EtcdStore.from_url(fleet.store_url, 2)
    yield store
    await store.close()


@with_fleet(SHORT_PERIODS)
async def test_killed_router_loses_only_unflushed_usage(fleet):
    """Charges of the last 2 s before the kill may be missing from the ledger.

    No receipt is charged twice; at most the 8 calls in flight at the kill
    are charged without a complete response.
    """
    completed = []

    async def send_chats(worker):
        number = 0
        while time.monotonic() < stop_at_s:
            number += 1
            router = fleet.routers[(worker + number) % 3]
            outcome = await chat(
                fleet.session, router.url, 'small', f'{worker} {number}', 10
            )
            if outcome.is_complete:
                completed.append((time.monotonic(), outcome.charge))

    stop_at_s = time.monotonic() + 6
    workers = [asyncio.create_task(send_chats(worker)) for worker in range(8)]
    await asyncio.sleep(4)
    killed_at_s = time.monotonic()
    fleet.routers[2].process.kill()
    await asyncio.gather(*workers)
    await asyncio.sleep(2)
    table = await fleet.run_statement('SHOW USE FOR ACCOUNT small SINCE 1h')
    calls = table['rows'][0][1]
    unflushed = sum(
        killed_at_s - 2 < at_s <= killed_at_s for at_s, _ in completed
    )
    in_flight = 8
    assert len(completed) - unflushed <= calls <= len(completed) + in_flight
