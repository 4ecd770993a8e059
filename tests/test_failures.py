"""Failures that the users' page names, each brought about under load."""

import asyncio
import dataclasses
import signal

from bench.callers import chat
from bench.deposits import Deposits
from bench.load import CallerGroup, Load
from bench.scenarios import sum_metric
from tests.fixtures import PLAN, eventually, with_fleet

WITH_LINKS = dataclasses.replace(
    PLAN,
    link_delay_s=0.0005,
    settings={'callers': {'progress_timeout_s': 1.0}},
)
GROUPS = (
    CallerGroup('small', (0, 1), 20, workers=8),
    CallerGroup('middle', (1, 2), 20, workers=8),
    CallerGroup('large', (0, 2), 200, workers=8),
)
DEPOSIT_ACCOUNT = 'small'


async def check_promises(fleet, disturb, seconds):
    """Run load and deposits through a failure and check every promise."""
    load = Load(fleet, GROUPS, seed=1)
    deposits = Deposits(fleet, 'booking', 1, DEPOSIT_ACCOUNT)
    taking = asyncio.create_task(deposits.run())
    loading = asyncio.create_task(load.run(seconds))
    await asyncio.sleep(1)
    await disturb()
    await loading
    taking.cancel()
    counts = await deposits.judge()
    outcomes = [outcome for _, outcome in load.outcomes]
    assert not any(outcome.wrong for outcome in outcomes)
    for outcome in outcomes:
        assert outcome.whole or outcome.refusal, outcome
    assert counts['double_runs'] == 0
    assert counts['false_not_run'] == 0
    assert not await sum_metric(fleet, 'invariant_violations_total')
    after = await chat(fleet.session, fleet.routers[0].url, 'small', 'x', 5)
    assert after.whole
    return outcomes


async def dispatcher_of(fleet):
    """Return the router that dispatches the assistant's pool."""
    pools = (await fleet.run_statement('SHOW POOLS'))['rows']
    name = next(row[3] for row in pools if row[1] == 'assistant')
    return next(each for each in fleet.routers if each.id == name)


async def all_alive(fleet):
    """Tell whether every router sees all as alive."""
    for number in range(len(fleet.routers)):
        table = await fleet.run_statement('SHOW INSTANCES', number)
        alive = [row for row in table['rows'] if row[2] == 'alive']
        if len(alive) < len(fleet.routers):
            return False
    return True


@with_fleet(WITH_LINKS)
async def test_partition_and_rejoin_twice(fleet):
    """Sides that were apart keep their promises and find each other."""

    async def disturb():
        for _ in range(2):
            fleet.network.cut(fleet.routers[:1], fleet.routers[1:])
            await asyncio.sleep(2)
            fleet.network.join()
            await eventually(lambda: all_alive(fleet))

    outcomes = await check_promises(fleet, disturb, 9)
    assert all(outcome.whole for outcome in outcomes)


@with_fleet(WITH_LINKS)
async def test_dispatcher_restarts_empty(fleet):
    """A dispatcher that forgot everything learns it from the entries."""

    async def disturb():
        victim = await dispatcher_of(fleet)
        victim.process.kill()
        await victim.process.wait()
        await fleet.start_router(victim)
        await fleet.wait_ready(victim)
        await eventually(lambda: all_alive(fleet))

    await check_promises(fleet, disturb, 8)


@with_fleet(WITH_LINKS)
async def test_frozen_dispatcher_wakes_up(fleet):
    """A router that was paused wakes with an old view and does no harm."""

    async def disturb():
        victim = await dispatcher_of(fleet)
        victim.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(3)
        victim.process.send_signal(signal.SIGCONT)
        await eventually(lambda: all_alive(fleet))

    await check_promises(fleet, disturb, 8)


@with_fleet(WITH_LINKS)
async def test_silent_streams_are_resumed(fleet):
    """Connections to a target that fall silent for good are replaced."""

    async def disturb():
        for target in fleet.targets['assistant']:
            await fleet.set_faults(target, silent=True)
        await asyncio.sleep(2.5)
        for target in fleet.targets['assistant']:
            await fleet.set_faults(target)

    outcomes = await check_promises(fleet, disturb, 8)
    assert all(outcome.whole for outcome in outcomes)
    assert await sum_metric(fleet, 'resumes_total')


@with_fleet(WITH_LINKS)
async def test_slow_store_and_killed_router_together(fleet):
    """Two failures at once: a slow store that loses answers, and a crash."""

    async def disturb():
        await fleet.set_faults(fleet.store_url, delay_s=0.3, lose_answers=0.2)
        fleet.routers[1].process.kill()
        await asyncio.sleep(3)
        await fleet.set_faults(fleet.store_url)

    await check_promises(fleet, disturb, 7)
