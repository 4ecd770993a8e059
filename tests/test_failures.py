"""Tests of the failures on the users' page, each injected under load."""

import asyncio
import dataclasses
import signal

from bench.callers import chat
from bench.deposits import Deposits
from bench.load import CallerGroup, Load
from bench.scenarios import sum_metric
from tests.fixtures import PLAN, eventually, with_fleet

PLAN_WITH_LINKS = dataclasses.replace(
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


async def check_guarantees(fleet, inject_failure, seconds):
    """Run load and deposits during a failure and check every guarantee."""
    load = Load(fleet, GROUPS, seed=1)
    deposits = Deposits(fleet, 'booking', 1, DEPOSIT_ACCOUNT)
    deposit_task = asyncio.create_task(deposits.run())
    load_task = asyncio.create_task(load.run(seconds))
    await asyncio.sleep(1)
    await inject_failure()
    await load_task
    deposit_task.cancel()
    counts = await deposits.count_violations()
    outcomes = [outcome for _, outcome in load.outcomes]
    assert not any(outcome.has_mismatch for outcome in outcomes)
    for outcome in outcomes:
        assert outcome.is_complete or outcome.refusal, outcome
    assert counts['double_runs'] == 0
    assert counts['false_not_run'] == 0
    assert not await sum_metric(fleet, 'invariant_violations_total')
    final_outcome = await chat(
        fleet.session, fleet.routers[0].url, 'small', 'x', 5
    )
    assert final_outcome.is_complete
    return outcomes


async def dispatcher_of(fleet):
    """Return the router that dispatches the assistant's pool."""
    pools = (await fleet.run_statement('SHOW POOLS'))['rows']
    name = next(row[3] for row in pools if row[1] == 'assistant')
    return next(each for each in fleet.routers if each.id == name)


async def are_all_alive(fleet):
    """Return whether every router sees all routers as alive."""
    for number in range(len(fleet.routers)):
        table = await fleet.run_statement('SHOW INSTANCES', number)
        alive = [row for row in table['rows'] if row[2] == 'alive']
        if len(alive) < len(fleet.routers):
            return False
    return True


@with_fleet(PLAN_WITH_LINKS)
async def test_calls_complete_when_the_network_is_partitioned_twice(fleet):
    """Guarantees hold on both sides of a partition, and the routers rejoin."""

    async def inject_failure():
        for _ in range(2):
            fleet.network.partition(fleet.routers[:1], fleet.routers[1:])
            await asyncio.sleep(2)
            fleet.network.heal()
            await eventually(lambda: are_all_alive(fleet))

    outcomes = await check_guarantees(fleet, inject_failure, 9)
    assert all(outcome.is_complete for outcome in outcomes)


@with_fleet(PLAN_WITH_LINKS)
async def test_guarantees_hold_when_a_dispatcher_loses_its_state(fleet):
    """A restarted dispatcher restores its state from the entries."""

    async def inject_failure():
        dispatcher = await dispatcher_of(fleet)
        dispatcher.process.kill()
        await dispatcher.process.wait()
        await fleet.start_router(dispatcher)
        await fleet.wait_ready(dispatcher)
        await eventually(lambda: are_all_alive(fleet))

    await check_guarantees(fleet, inject_failure, 8)


@with_fleet(PLAN_WITH_LINKS)
async def test_guarantees_hold_when_a_suspended_dispatcher_resumes(fleet):
    """A router that resumes with an outdated view breaks no guarantee."""

    async def inject_failure():
        dispatcher = await dispatcher_of(fleet)
        dispatcher.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(3)
        dispatcher.process.send_signal(signal.SIGCONT)
        await eventually(lambda: are_all_alive(fleet))

    await check_guarantees(fleet, inject_failure, 8)


@with_fleet(PLAN_WITH_LINKS)
async def test_streams_are_resumed_when_their_connections_stay_silent(fleet):
    """Connections on which a target sends nothing more are replaced."""

    async def inject_failure():
        for target in fleet.targets['assistant']:
            await fleet.set_faults(target, silent=True)
        await asyncio.sleep(2.5)
        for target in fleet.targets['assistant']:
            await fleet.set_faults(target)

    outcomes = await check_guarantees(fleet, inject_failure, 8)
    assert all(outcome.is_complete for outcome in outcomes)
    assert await sum_metric(fleet, 'resumes_total')


@with_fleet(PLAN_WITH_LINKS)
async def test_guarantees_hold_when_store_is_slow_and_router_crashes(fleet):
    """The store is slow and loses responses while a router is killed."""

    async def inject_failure():
        await fleet.set_faults(fleet.store_url, delay_s=0.3, lose_answers=0.2)
        fleet.routers[1].process.kill()
        await asyncio.sleep(3)
        await fleet.set_faults(fleet.store_url)

    await check_guarantees(fleet, inject_failure, 7)
