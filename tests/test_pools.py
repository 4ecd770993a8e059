"""Several pools of one service: totals, late binding, and fallback."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from bench.callers import chat
from bench.fleet import FleetPlan, ServicePlan
from dandelionplank.fairness.totals import ForeignCharges, ServiceTotals
from dandelionplank.messages import AccountCounter, PoolTotals
from tests.fixtures import ACCOUNTS, BOOKING, eventually, metric, with_fleet

SERVICE = 'assistant'
CONTRACT = {
    'models': ['standin'],
    'target_limit': 2,
    'target_limit_max': 2,
    'pool_size': 1,
}
ENGINES = ('--token-ms', '5', '--batch', '2')
MANY_POOLS = FleetPlan(
    3, (ServicePlan(SERVICE, 'model', 4, CONTRACT, ENGINES), BOOKING), ACCOUNTS
)
WITH_LINKS = FleetPlan(
    3,
    (
        ServicePlan(SERVICE, 'model', 2, {**CONTRACT, 'pool_size': 9}, ENGINES),
        BOOKING,
    ),
    ACCOUNTS,
    link_delay_s=0.0005,
)


def report(pool, epoch, **levels):
    """Return a pool's report."""
    counters = tuple(AccountCounter(*pair) for pair in levels.items())
    return PoolTotals(SERVICE, pool, epoch, counters)


@given(
    rises=st.lists(
        st.tuples(st.sampled_from(['p0', 'p1', 'p2']), st.integers(1, 100)),
        max_size=30,
    ),
    repeated=st.booleans(),
    forgets_at=st.integers(0, 30),
)
def test_other_pools_charges_arrive_once(rises, repeated, forgets_at):
    """What one pool charges, each other pool charges once.

    It may hear less when the aggregator begins anew, never more.
    """
    totals = ServiceTotals()
    charged = {'p0': 0, 'p1': 0, 'p2': 0}
    heard = dict.fromkeys(charged, 0.0)
    foreign = {pool: ForeignCharges() for pool in charged}
    lost = False
    for step, (pool, rise) in enumerate(rises):
        if step == forgets_at:
            totals = ServiceTotals()
            lost = True
        charged[pool] += rise
        for _ in range(1 + repeated):
            news = totals.report(report(pool, 'e', small=charged[pool]), 0)
            heard[pool] += sum(
                each.virtual for each in foreign[pool].take(news)
            )
    for pool in charged:
        for each in foreign[pool].take(
            totals.report(report(pool, 'e', small=charged[pool]), 0)
        ):
            heard[pool] += each.virtual
        others = sum(charged.values()) - charged[pool]
        if lost:
            assert heard[pool] <= others
        else:
            assert heard[pool] == others


def test_a_new_dispatcher_of_a_pool_adds_to_the_old_one():
    """A pool that changes hands keeps what it had charged."""
    totals = ServiceTotals()
    totals.report(report('p0', 'first', small=10), 0)
    totals.report(report('p0', 'second', small=5), 1)
    news = totals.report(report('p1', 'e'), 1)
    assert news == (AccountCounter('small', 15),)


@with_fleet(MANY_POOLS)
async def test_waiting_tickets_find_idle_pools(fleet):
    """Four pools of two slots serve eight streams at once."""
    chats = [
        chat(fleet.session, fleet.routers[0].url, 'small', f'c{n}', 100)
        for n in range(8)
    ]
    outcomes = await asyncio.gather(*chats)
    assert all(each.whole and not each.wrong for each in outcomes)
    peaks = [
        (await fleet.get(f'{url}/load'))['peak']
        for url in fleet.targets[SERVICE]
    ]
    assert peaks == [2, 2, 2, 2]
    pools = (await fleet.run_statement('SHOW POOLS'))['rows']
    assert len(pools) == 1 + 4


@with_fleet(MANY_POOLS)
async def test_shares_hold_across_pools(fleet):
    """Shares hold although each pool orders its own queue."""
    counts = dict.fromkeys(('small', 'middle', 'large'), 0)
    until = asyncio.Event()

    async def ask(account, router):
        number = 0
        while not until.is_set():
            number += 1
            outcome = await chat(
                fleet.session, router.url, account, f'{number}', 20
            )
            if not until.is_set():
                counts[account] += outcome.tokens

    tasks = [
        asyncio.create_task(ask(account.name, fleet.routers[n % 3]))
        for n, account in enumerate(ACCOUNTS)
        for _ in range(16)
    ]
    await asyncio.sleep(8)
    until.set()
    await asyncio.gather(*tasks)
    total = sum(counts.values())
    for account in ACCOUNTS:
        due = total * account.share / 7
        assert abs(counts[account.name] - due) < 0.15 * total


@with_fleet(WITH_LINKS)
async def test_entry_that_cannot_reach_its_dispatcher_serves_a_little(fleet):
    """One link cut, all alive: the entry grants itself a few slots."""
    pools = (await fleet.run_statement('SHOW POOLS'))['rows']
    name = next(row[3] for row in pools if row[1] == SERVICE)
    dispatcher = next(each for each in fleet.routers if each.id == name)
    entry, helper = [each for each in fleet.routers if each.id != name]
    assert helper
    fleet.network.cut([entry], [dispatcher])
    outcome = await chat(fleet.session, entry.url, 'small', 'alone', 20)
    assert outcome.whole
    fleet.network.join()

    async def back():
        outcome = await chat(fleet.session, entry.url, 'small', 'again', 5)
        assert outcome.whole
        waiting = await metric(fleet, entry, 'pool_waiting')
        return not waiting

    await eventually(back)
