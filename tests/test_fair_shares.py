"""Tests of the accounts' shares while engines crash under a high load."""

import asyncio

from nose2.tools import params

from tests.fleetsimulation import run_in_virtual_time, simulate
from tests.test_pool_owners import make_work

ENGINES = 28
INSTANCES = 16
CRASHED = 7
SECONDS = 11
BUSY_INSTANCE = 1
# Shares are guaranteed over this many seconds.
WINDOW_S = 6


def crash_pool(fleet, account, subject):
    """Crash the engines of the pool that serves a shared prefix."""
    entry = fleet.instances[0]
    work = make_work(f'{account}-{subject}', 'own')
    queue = entry.pools.rank('llm', work)[0]
    for target in entry.pools.targets_in(queue):
        fleet.engines[target.name].crash()


@params(1, 2, 3)
def test_an_account_whose_pool_is_lost_is_served_elsewhere(seed):
    """A small account was refused by its pool while others served a large one.

    Fair order existed within a pool alone.
    """

    async def crash(fleet):
        await asyncio.sleep(2)
        crash_pool(fleet, 'light', 0)
        fleet.crash_engines(CRASHED - 3)
        await asyncio.sleep(3)
        fleet.crash_engines(CRASHED)

    async def plan(fleet):
        await asyncio.gather(
            crash(fleet),
            fleet.send('large', (BUSY_INSTANCE,), 40, 300, SECONDS),
            fleet.send('light', (3, 9), 1, 20, SECONDS),
        )

    fleet = run_in_virtual_time(simulate(plan, ENGINES, INSTANCES), seed)
    assert not fleet.shortfalls(SECONDS, WINDOW_S)
