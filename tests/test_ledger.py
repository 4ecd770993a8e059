"""Use, charges and statements."""

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
from dandelionplank.ledger.repository import UseRepository
from dandelionplank.ledger.usage import (
    Receipt,
    UseLedger,
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
    for incarnation, held in receipts_by_incarnation.items():
        ledger = UseLedger(incarnation, PERIOD_S)
        for receipt in held:
            ledger.record(receipt, at_s)
        records.extend(ledger.take_dirty())
    return records


@given(first=receipts, second=receipts)
def test_incarnations_add_up(first, second):
    """Sums over incarnations are the sums of all receipts."""
    records = records_of({'r0-1': first, 'r0-2': second})
    totals = sum_rows(records)
    cost = sum(receipt.cost for receipt in (*first, *second))
    assert sum(row.cost for row in totals.values()) == cost
    calls = sum(row.calls for row in totals.values())
    assert calls == len(first) + len(second)


@given(issued=receipts, flushes=st.lists(st.booleans(), max_size=30))
def test_segments_lose_and_double_nothing(issued, flushes):
    """However often records are written or put back, the sums are right."""
    ledger = UseLedger('r0-1', PERIOD_S, segment_rows=1)
    written = {}
    for number, receipt in enumerate(issued):
        ledger.record(receipt, PERIOD_S)
        for record in ledger.take_dirty() if number % 3 else ():
            if number < len(flushes) and flushes[number]:
                ledger.put_back(record)
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
    """A write that fails while its segment is filled up loses nothing."""
    ledger = UseLedger('r0-1', PERIOD_S, segment_rows=1)
    ledger.record(Receipt('a', 'small', 'booking', 10), PERIOD_S)
    early = ledger.take_dirty()[0]
    ledger.record(Receipt('b', 'small', 'booking', 10), PERIOD_S)
    ledger.record(Receipt('c', 'large', 'booking', 10), PERIOD_S)
    ledger.put_back(early)
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


def test_an_honest_statement_verifies():
    """A statement follows from its records, and receipts agree with it."""
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
    """Run the checking command and return its exit status."""
    try:
        check_app(list(map(str, arguments)), exit_on_error=False)
    except SystemExit as error:
        return error.code
    return 0


def test_exported_statement_is_checked_outside_the_fleet():
    """The owner's own check accepts honest files and refuses others."""
    statement, issued = sample_statement()
    directory = Path(tempfile.mkdtemp())
    honest, forged = directory / 'honest.json', directory / 'forged.json'
    held = directory / 'receipts.jsonl'
    honest.write_bytes(msgspec.json.encode(statement))
    forged.write_bytes(honest.read_bytes().replace(b'21.0', b'22.0'))
    held.write_bytes(b'\n'.join(map(msgspec.json.encode, issued)))
    assert run_check('statement', honest, '--receipts', held) == 0
    assert run_check('statement', forged) == 2
    held.write_bytes(b'\n'.join(map(msgspec.json.encode, issued[1:])))
    assert run_check('statement', honest, '--receipts', held) == 2


def tampered(statement, change):
    """Return a statement with its records changed."""
    records = change(list(statement.records))
    return msgspec.structs.replace(statement, records=tuple(records))


def test_changed_missing_doubled_and_added_records_are_named():
    """Each kind of tampering is found, with period and record."""
    statement, _ = sample_statement()
    first = statement.records[0]
    dearer = msgspec.structs.replace(first.rows[0], cost=1.0)
    changed = msgspec.structs.replace(first, rows=(dearer,))
    added = msgspec.structs.replace(first, incarnation='z-9')
    cases = {
        'record a-1.0 was changed': lambda kept: [changed, *kept[1:]],
        'record a-1.0 is missing': lambda kept: kept[1:],
        'record a-1.0 is doubled': lambda kept: [first, *kept],
        'record z-9 was added': lambda kept: [*kept, added],
    }
    for fault, change in cases.items():
        found = find_faults(tampered(statement, change))
        assert f'period {PERIOD_S}: {fault}' in found


def test_a_changed_closure_breaks_the_chain():
    """Closing a period anew, over changed records, does not go unnoticed."""
    statement, _ = sample_statement()
    first, second = statement.closures
    again = close_period(PERIOD_S, statement.records[:1], None)
    closures = (again, second)
    changed = msgspec.structs.replace(statement, closures=closures)
    faults = find_faults(changed)
    assert first.digest != again.digest
    assert any('does not follow' in fault for fault in faults)


@run_async
async def test_a_delayed_write_does_not_replace_a_later_one():
    """An older record that arrives late is refused."""
    async with key_value_store() as (_, store):
        repository = UseRepository(store, 'test/', PERIOD_S)
        ledger = UseLedger('r0-1', PERIOD_S)
        ledger.record(Receipt('a', 'small', 'booking', 10), PERIOD_S)
        early = ledger.take_dirty()[0]
        await repository.write(early)
        ledger.record(Receipt('b', 'small', 'booking', 10), PERIOD_S)
        await repository.write(ledger.take_dirty()[0])
        late = UseRepository(store, 'test/', PERIOD_S)
        with contextlib.suppress(StoreConflictError):
            await late.write(early)
            raise AssertionError('the older record was written')
        totals = await repository.totals(0)
        assert [row.calls for row in totals.values()] == [2]


@with_fleet(SHORT_PERIODS)
async def test_statements_verify_and_tampering_is_found(fleet):
    """A changed record in the store is named by VERIFY STATEMENT."""
    url = fleet.routers[0].url
    for number in range(5):
        outcome = await chat(fleet.session, url, 'small', f'{number}', 10)
        assert outcome.whole
        await asyncio.sleep(0.5)

    async def closed():
        table = await fleet.run_statement('PRINT STATEMENT FOR OWNER dobrescu')
        states = [row[-1] for row in table['rows']]
        return states and set(states) == {'closed'}

    await eventually(closed, 20)
    verify = 'VERIFY STATEMENT FOR OWNER dobrescu'
    assert not (await fleet.run_statement(verify))['rows']
    async with key_value_at(fleet) as store:
        stored = (await store.scan('dandelionplank/use/'))[0]
        forged = stored.payload.replace(b'"small"', b'"large"')
        await store.put(stored.key, forged)
    rows = (await fleet.run_statement(verify))['rows']
    assert any('was changed' in row[0] for row in rows)


@contextlib.asynccontextmanager
async def key_value_at(fleet):
    """Yield a client of a fleet's key-value stand-in."""
    store = EtcdStore.from_url(fleet.store_url, 2)
    yield store
    await store.close()


@with_fleet(SHORT_PERIODS)
async def test_a_killed_router_loses_seconds_and_charges_nothing_twice(fleet):
    """Receipts are charged at most once; only the last seconds are lost."""
    seen = []

    async def ask(worker):
        number = 0
        while time.monotonic() < ends_at_s:
            number += 1
            router = fleet.routers[(worker + number) % 3]
            outcome = await chat(
                fleet.session, router.url, 'small', f'{worker} {number}', 10
            )
            if outcome.whole:
                seen.append((time.monotonic(), outcome.charge))

    ends_at_s = time.monotonic() + 6
    workers = [asyncio.create_task(ask(worker)) for worker in range(8)]
    await asyncio.sleep(4)
    killed_at_s = time.monotonic()
    fleet.routers[2].process.kill()
    await asyncio.gather(*workers)
    await asyncio.sleep(2)
    table = await fleet.run_statement('SHOW USE FOR ACCOUNT small SINCE 1h')
    calls = table['rows'][0][1]
    unflushed = sum(killed_at_s - 2 < at_s <= killed_at_s for at_s, _ in seen)
    in_flight = 8
    assert len(seen) - unflushed <= calls <= len(seen) + in_flight
