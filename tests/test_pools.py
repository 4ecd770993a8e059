"""Several pools of one service: totals, tickets, shares and fallback."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from bench.callers import chat
from bench.fleet import FleetPlan, ServicePlan
from dandelionplank.fairness.totals import RemoteCharges, ServiceTotals
from dandelionplank.messages import AccountCounter, PoolTotals
from tests.fixtures import (
    ACCOUNTS,
    BOOKING,
    eventually,
    read_metric,
    with_fleet,
)

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
DELAYED_LINKS = FleetPlan(
    3,
    (
        ServicePlan(SERVICE, 'model', 2, {**CONTRACT, 'pool_size': 9}, ENGINES),
        BOOKING,
    ),
    ACCOUNTS,
    link_delay_s=0.0005,
)


def pool_totals(pool, epoch, **levels):
    """Return a pool's report of its cumulative charges."""
    counters = tuple(AccountCounter(*pair) for pair in levels.items())
    return PoolTotals(SERVICE, pool, epoch, counters)


@given(
    increases=st.lists(
        st.tuples(st.sampled_from(['p0', 'p1', 'p2']), st.integers(1, 100)),
        max_size=30,
    ),
    duplicated=st.booleans(),
    restart_step=st.integers(0, 30),
)
def test_pools_receive_charges_of_other_pools_once(
    increases, duplicated, restart_step
):
    """What one pool charges, each other pool charges once.

    After a restart of the aggregator it may be less, never more.
    """
    totals = ServiceTotals()
    charged = {'p0': 0, 'p1': 0, 'p2': 0}
    received = dict.fromkeys(charged, 0.0)
    remote_charges = {pool: RemoteCharges() for pool in charged}
    restarted = False
    for step, (pool, increase) in enumerate(increases):
        if step == restart_step:
            totals = ServiceTotals()
            restarted = True
        charged[pool] += increase
        for _ in range(1 + duplicated):
            updates = totals.report(
                pool_totals(pool, 'e', small=charged[pool]), 0
            )
            received[pool] += sum(
                each.virtual for each in remote_charges[pool].update(updates)
            )
    for pool in charged:
        for each in remote_charges[pool].update(
            totals.report(pool_totals(pool, 'e', small=charged[pool]), 0)
        ):
            received[pool] += each.virtual
        others = sum(charged.values()) - charged[pool]
        if restarted:
            assert received[pool] <= others
        else:
            assert received[pool] == others


def test_charges_of_a_former_dispatcher_are_kept_in_the_totals():
    """The charges of a pool's successive dispatchers are added up."""
    totals = ServiceTotals()
    totals.report(pool_totals('p0', 'first', small=10), 0)
    totals.report(pool_totals('p0', 'second', small=5), 1)
    updates = totals.report(pool_totals('p1', 'e'), 1)
    assert updates == (AccountCounter('small', 15),)


@with_fleet(MANY_POOLS)
async def test_tickets_use_the_capacity_of_all_pools(fleet):
    """Four pools of two slots serve eight streams at once."""
    chats = [
        chat(fleet.session, fleet.routers[0].url, 'small', f'c{n}', 100)
        for n in range(8)
    ]
    outcomes = await asyncio.gather(*chats)
    assert all(each.is_complete and not each.has_mismatch for each in outcomes)
    peaks = [
        (await fleet.get(f'{url}/load'))['peak']
        for url in fleet.targets[SERVICE]
    ]
    assert peaks == [2, 2, 2, 2]
    pools = (await fleet.run_statement('SHOW POOLS'))['rows']
    assert len(pools) == 1 + 4


@with_fleet(MANY_POOLS)
async def test_shares_hold_across_pools(fleet):
    """Accounts get their shares although each pool orders its own queue."""
    counts = dict.fromkeys(('small', 'middle', 'large'), 0)
    stopped = asyncio.Event()

    async def send_chats(account, router):
        number = 0
        while not stopped.is_set():
            number += 1
            outcome = await chat(
                fleet.session, router.url, account, f'{number}', 20
            )
            if not stopped.is_set():
                counts[account] += outcome.tokens

    tasks = [
        asyncio.create_task(send_chats(account.name, fleet.routers[n % 3]))
        for n, account in enumerate(ACCOUNTS)
        for _ in range(16)
    ]
    await asyncio.sleep(8)
    stopped.set()
    await asyncio.gather(*tasks)
    total = sum(counts.values())
    for account in ACCOUNTS:
        expected = total * account.share / 7
        assert abs(counts[account.name] - expected) < 0.15 * total


@with_fleet(DELAYED_LINKS)
async def test_entry_serves_a_request_without_a_link_to_the_dispatcher(fleet):
    """The entry grants itself a few slots.

    Only one link is cut; all instances are alive.
    """
    pools = (await fleet.run_statement('SHOW POOLS'))['rows']
    name = next(row[3] for row in pools if row[1] == SERVICE)
    dispatcher = next(each for each in fleet.routers if each.id == name)
    entry, other = [each for each in fleet.routers if each.id != name]
    assert other
    fleet.network.partition([entry], [dispatcher])
    outcome = await chat(fleet.session, entry.url, 'small', 'alone', 20)
    assert outcome.is_complete
    fleet.network.heal()

    async def is_recovered():
        outcome = await chat(fleet.session, entry.url, 'small', 'again', 5)
        assert outcome.is_complete
        waiting = await read_metric(fleet, entry, 'pool_waiting')
        return not waiting

    await eventually(is_recovered)
