"""Scenarios: the fleet, load, faults and measurements of each bench run."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable, Sequence

import psutil

from bench.callers import chat
from bench.deposits import Deposits
from bench.fleet import AccountPlan, Fleet, FleetPlan, ServicePlan
from bench.load import (
    CallerGroup,
    Load,
    longest_starvation,
    percentile,
    service_gap,
)

CHAT_TOKENS = 20
FILE_TOKENS = 500
TOKEN_MS = 10
ENGINE_SLOTS = 8
RUN_S = 10.0
CHANGE_AT_S = 5.0
WARM_UP_S = 1.0
INPUT_WEIGHT = 0.25
LARGE_ACCOUNTS = 3
ACCOUNTS = tuple(
    AccountPlan(f'large-{n}', 'dobrescu', 4 if n == 0 else 2)
    for n in range(LARGE_ACCOUNTS)
) + tuple(
    AccountPlan(f'small-{n}', 'rota-limpa', 1)
    for n in range(16 - LARGE_ACCOUNTS)
)
SHARES = {account.name: account.share for account in ACCOUNTS}
Figures = dict[str, float]
Hook = Callable[[Fleet, Load, Figures], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class DeploymentSize:
    """The number of routers and targets of a deployment, and its speed.

    :param delay_s: one-way delay between routers
    """

    routers: int
    engines: int
    plain: int
    delay_s: float
    token_ms: int = TOKEN_MS
    pool_size: int = 32


SIZES = {
    'ro-centru': DeploymentSize(4, 5, 3, 0.0005),
    'nordeste': DeploymentSize(5, 9, 4, 0.001),
    'four-pools': DeploymentSize(8, 24, 3, 0.001, 40, 6),
}


def deployment(region: str, policy: str) -> FleetPlan:
    """Return the fleet plan of a deployment of SIZES."""
    size = SIZES[region]
    return FleetPlan(
        size.routers,
        (
            ServicePlan(
                'assistant',
                'model',
                size.engines,
                {
                    'models': ['standin'],
                    'target_limit': ENGINE_SLOTS,
                    'target_limit_max': ENGINE_SLOTS + 1,
                    'inter_token_target_ms': size.token_ms * 1.2,
                    'pool_size': size.pool_size,
                    'short_overdraft': 2,
                    'short_cost': 200,
                },
                (
                    '--token-ms',
                    str(size.token_ms),
                    '--batch',
                    str(ENGINE_SLOTS),
                ),
            ),
            ServicePlan('booking', 'plain', size.plain),
        ),
        ACCOUNTS,
        dispatch={'policy': policy},
        link_delay_s=size.delay_s,
    )


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One scenario of the bench.

    :param groups: builds the load for a number of routers and engines
    :param hook: brings about faults or changes during the run
    :param deposits: whether deposits are sent during the run
    """

    name: str
    groups: Callable[[int, int], Sequence[CallerGroup]]
    hook: Hook | None = None
    seconds: float = RUN_S
    deposits: bool = False
    region: str = 'ro-centru'


async def run_scenario(
    scenario: Scenario,
    policy: str,
    seed: int,
) -> tuple[Figures, Load]:
    """Run a scenario under a policy and return its figures."""
    plan = deployment(scenario.region, policy)
    async with Fleet(plan) as fleet:
        groups = scenario.groups(plan.routers, plan.services[0].targets)
        load = Load(fleet, groups, seed)
        figures: Figures = {}
        if not scenario.deposits:
            await measure_idle(fleet, figures)
        links = await control_bytes(fleet)
        deposits = Deposits(fleet, 'booking', seed)
        tasks = [asyncio.create_task(load.run(scenario.seconds))]
        if scenario.deposits:
            tasks.append(asyncio.create_task(deposits.run()))
        if scenario.hook:
            tasks.append(
                asyncio.create_task(scenario.hook(fleet, load, figures)),
            )
        await asyncio.sleep(WARM_UP_S)
        before = await slot_seconds(fleet)
        await asyncio.sleep(scenario.seconds - WARM_UP_S)
        used = await slot_seconds(fleet) - before
        sent = await control_bytes(fleet) - links
        await asyncio.gather(
            *tasks[:1], *tasks[2 if scenario.deposits else 1 :]
        )
        if scenario.deposits:
            tasks[1].cancel()
            figures.update(await deposits.count_violations())
        engines = plan.services[0].targets
        figures['utilisation'] = used / (
            (scenario.seconds - WARM_UP_S) * engines * ENGINE_SLOTS
        )
        per_router = sent / scenario.seconds / plan.routers
        figures['control_bytes_per_second'] = per_router
        measure_load(load, scenario, engines, figures)
        figures['invariant_violations'] = await sum_metric(
            fleet, 'invariant_violations_total'
        )
        return figures, load


def measure_load(
    load: Load,
    scenario: Scenario,
    engines: int,
    figures: Figures,
) -> None:
    """Add the figures that follow from the callers' outcomes."""
    backlogged = {
        group.account: SHARES[group.account]
        for group in load.groups
        if group.workers >= 20 and group.start_s == 0
    }
    largest = max(
        group.tokens + INPUT_WEIGHT * group.prompt_bytes / 4
        for group in load.groups
    )
    if len(backlogged) > 1:
        since_s, until_s = 1.0, scenario.seconds
        gap = service_gap(load.samples, backlogged, since_s, until_s)
        in_flight = largest_in_flight(load, engines)
        figures['fairness_gap_ratio'] = gap / (2 * in_flight)
        figures['fairness_gap_requests'] = gap / largest
        figures['starvation_seconds'] = longest_starvation(
            load.samples, list(backlogged), since_s, until_s
        )
    outcomes = [outcome for _, outcome in load.outcomes]
    figures['answers'] = sum(each.is_complete for each in outcomes)
    figures['wrong_answers'] = sum(each.has_mismatch for each in outcomes)
    figures['cut_answers'] = sum(
        each.status == 200 and not each.is_complete and not each.refusal
        for each in outcomes
    )


def largest_in_flight(load: Load, engines: int) -> float:
    """Return the largest total cost that can be in flight in all slots."""
    costs = sorted(
        (
            group.tokens + INPUT_WEIGHT * group.prompt_bytes / 4
            for group in load.groups
            for _ in range(max(group.workers, 1))
        ),
        reverse=True,
    )
    return sum(costs[: engines * ENGINE_SLOTS])


async def slot_seconds(fleet: Fleet) -> float:
    """Return the slot time used by all engines so far."""
    total = 0.0
    for url in fleet.targets['assistant']:
        total += (await fleet.get(f'{url}/load'))['slot_seconds']
    return total


async def sum_metric(fleet: Fleet, *names: str) -> float:
    """Return the sum of metrics over all running routers."""
    assert fleet.session is not None
    total = 0.0
    for router in fleet.routers:
        if router.process is None or router.process.returncode is not None:
            continue
        async with fleet.session.get(f'{router.url}/metrics') as response:
            text = await response.text()
        for line in text.splitlines():
            name, _, figure = line.rpartition(' ')
            if name.removeprefix('dandelionplank_') in names:
                total += float(figure)
    return total


async def control_bytes(fleet: Fleet) -> float:
    """Return the bytes that routers have sent to each other so far."""
    return await sum_metric(
        fleet, 'link_bytes_sent_total', 'probe_bytes_sent_total'
    )


async def measure_idle(fleet: Fleet, figures: Figures) -> None:
    """Measure processor time and memory of a router without callers."""
    processes = [
        psutil.Process(router.process.pid)
        for router in fleet.routers
        if router.process
    ]
    before = [process.cpu_times() for process in processes]
    await asyncio.sleep(3)
    after = [process.cpu_times() for process in processes]
    used = sum(
        late.user + late.system - early.user - early.system
        for early, late in zip(before, after, strict=True)
    )
    figures['control_core_share'] = used / 3 / len(processes)
    figures['control_rss_mb'] = max(
        process.memory_info().rss / 1_048_576 for process in processes
    )


def assigned_routers(number: int, routers: int) -> Sequence[int]:
    """Return the few, unevenly chosen routers that an account's callers use."""
    return (
        tuple(range(number % routers + 1)) if number < LARGE_ACCOUNTS else (0,)
    )


def backlog_groups(routers: int, engines: int) -> list[CallerGroup]:
    """Return the three large accounts, backlogged throughout the run."""
    return [
        CallerGroup(
            f'large-{n}',
            assigned_routers(n, routers),
            CHAT_TOKENS,
            workers=engines * ENGINE_SLOTS,
            kind='large',
        )
        for n in range(LARGE_ACCOUNTS)
    ]


def small_groups(
    routers: int,
    engines: int,
    fraction: float,
    tokens: int = CHAT_TOKENS,
) -> list[CallerGroup]:
    """Return small accounts that request a fraction of the total capacity."""
    capacity = engines * ENGINE_SLOTS / (tokens * TOKEN_MS / 1000)
    count = 16 - LARGE_ACCOUNTS
    return [
        CallerGroup(
            f'small-{n}',
            (n % routers,),
            tokens,
            rate=fraction * capacity / count,
            kind='small',
        )
        for n in range(count)
    ]


def steady(routers: int, engines: int) -> list[CallerGroup]:
    """Return backlogged large accounts and small ones with a light load."""
    return backlog_groups(routers, engines) + small_groups(
        routers, engines, 0.25
    )


def steady_in_pools(routers: int, engines: int) -> list[CallerGroup]:
    """Return the steady load for engines with a quarter of the speed."""
    return backlog_groups(routers, engines) + small_groups(
        routers, engines, 0.25 * TOKEN_MS / SIZES['four-pools'].token_ms
    )


def swing(routers: int, engines: int) -> list[CallerGroup]:
    """Return large accounts whose demand rises fivefold within two seconds."""
    peak = [
        dataclasses.replace(group, start_s=CHANGE_AT_S, ramp_s=2)
        for group in backlog_groups(routers, engines)
    ]
    baseline = [
        dataclasses.replace(group, workers=engines * ENGINE_SLOTS // 10)
        for group in backlog_groups(routers, engines)
    ]
    return peak + baseline + small_groups(routers, engines, 0.25)


def flood(routers: int, engines: int) -> list[CallerGroup]:
    """Return one account that sends ten times the capacity, and small ones."""
    flooder = CallerGroup(
        'large-1',
        tuple(range(routers)),
        CHAT_TOKENS,
        workers=engines * ENGINE_SLOTS * 6,
        start_s=CHANGE_AT_S,
        ramp_s=1,
        kind='flood',
    )
    return [flooder, *small_groups(routers, engines, 0.4)]


def files(routers: int, engines: int) -> list[CallerGroup]:
    """Return whole-file requests, fifty times a chat's cost, among chats."""
    long = [
        CallerGroup(
            f'large-{n}',
            assigned_routers(n, routers),
            FILE_TOKENS,
            prompt_bytes=8000,
            workers=engines * ENGINE_SLOTS,
            start_s=CHANGE_AT_S,
            kind='file',
        )
        for n in range(2)
    ]
    return long + small_groups(routers, engines, 0.2)


def half_load(routers: int, engines: int) -> list[CallerGroup]:
    """Return random arrivals of small accounts for half of the capacity."""
    return small_groups(routers, engines, 0.5)


async def slow_one_target(fleet: Fleet, load: Load, figures: Figures) -> None:
    """Slow one target tenfold at intervals in the second half."""
    del figures
    await asyncio.sleep(CHANGE_AT_S)
    victim = fleet.targets['assistant'][0]
    while load.elapsed_s < RUN_S - 0.5:
        await fleet.set_faults(victim, slowdown=10.0)
        await asyncio.sleep(1.5)
        await fleet.set_faults(victim)
        await asyncio.sleep(1.0)


async def kill_dispatcher(fleet: Fleet, load: Load, figures: Figures) -> None:
    """Kill the dispatcher of the model's pool; time the next first token."""
    del load
    await asyncio.sleep(CHANGE_AT_S)
    pools = (await fleet.run_statement('SHOW POOLS', 1))['rows']
    name = next(row[3] for row in pools if row[1] == 'assistant')
    victim = next(each for each in fleet.routers if each.id == name)
    survivor = next(each for each in fleet.routers if each is not victim)
    assert victim.process is not None
    assert fleet.session is not None
    victim.process.kill()
    killed_at_s = time.monotonic()
    while True:
        outcome = await chat(
            fleet.session, survivor.url, 'small-12', f'{killed_at_s}', 1
        )
        if outcome.is_complete:
            break
    figures['regrant_seconds'] = outcome.first_token_at_s - killed_at_s


async def partition_and_heal(
    fleet: Fleet, load: Load, figures: Figures
) -> None:
    """Partition the routers into two halves, then heal the partition."""
    assert fleet.network is not None
    half = len(fleet.routers) // 2
    await asyncio.sleep(CHANGE_AT_S / 2)
    fleet.network.partition(fleet.routers[:half], fleet.routers[half:])
    await asyncio.sleep(CHANGE_AT_S)
    fleet.network.heal()
    figures['joined_at_s'] = load.elapsed_s


async def change_configuration(
    fleet: Fleet,
    load: Load,
    figures: Figures,
) -> None:
    """Drain a target and change a share; time until both take effect."""
    del load
    await asyncio.sleep(1)
    victim = fleet.targets['assistant'][1]
    started_s = time.monotonic()
    await fleet.run_statement('DRAIN TARGET assistant-1')
    last_run_at_s, runs = started_s, -1
    while time.monotonic() - started_s < 3:
        run_count = (await fleet.get(f'{victim}/load'))['runs']
        if run_count != runs:
            last_run_at_s, runs = time.monotonic(), run_count
        await asyncio.sleep(0.01)
    figures['drain_seconds'] = last_run_at_s - started_s
    started_s = time.monotonic()
    await fleet.run_statement('SET ACCOUNT small-0 SHARE 3')
    pending = set(range(len(fleet.routers)))
    while pending:
        for number in tuple(pending):
            rows = (await fleet.run_statement('SHOW ACCOUNTS', number))['rows']
            if any(row[0] == 'small-0' and row[2] == 3 for row in rows):
                pending.discard(number)
    figures['configuration_seconds'] = time.monotonic() - started_s


async def stop_store(fleet: Fleet, load: Load, figures: Figures) -> None:
    """Stop the key-value service for most of the run."""
    del load, figures
    await asyncio.sleep(1)
    await fleet.set_faults(fleet.store_url, down=True)
    await asyncio.sleep(RUN_S - 3)
    await fleet.set_faults(fleet.store_url)


def percentile_ratio(
    load: Load,
    kind: str,
    percent: int,
    *,
    complete: bool,
) -> float:
    """Return a percentile after CHANGE_AT_S divided by the one before.

    :param complete: compare complete durations, not times to first token
    """
    select_times = load.durations if complete else load.first_tokens
    before = percentile(select_times(kind, 0.5, CHANGE_AT_S - 0.5), percent)
    after = percentile(select_times(kind, CHANGE_AT_S, RUN_S), percent)
    return after / before


SCENARIOS = (
    Scenario('steady', steady),
    Scenario('steady_nordeste', steady, region='nordeste'),
    Scenario('four_pools', steady_in_pools, region='four-pools'),
    Scenario('swing', swing),
    Scenario('flood', flood),
    Scenario('files', files),
    Scenario('slowed', half_load, slow_one_target),
    Scenario('killed', steady, kill_dispatcher, deposits=True),
    Scenario('parted', steady, partition_and_heal, seconds=16, deposits=True),
    Scenario('changed', steady, change_configuration),
    Scenario('store_out', steady, stop_store, deposits=True),
)


def add_ratios(scenario: Scenario, load: Load, figures: Figures) -> None:
    """Add the figures that compare parts of a run."""
    if scenario.name in {'swing', 'flood'}:
        figures['crest_first_token_ratio'] = percentile_ratio(
            load, 'small', 99, complete=False
        )
    if scenario.name == 'files':
        figures['short_tail_ratio'] = percentile_ratio(
            load, 'small', 99, complete=True
        )
    if scenario.name == 'slowed':
        figures['slowed_tail_ratio'] = percentile_ratio(
            load, 'small', 99, complete=True
        )
    if 'joined_at_s' in figures:
        backlogged = {
            group.account: SHARES[group.account]
            for group in load.groups
            if group.workers
        }
        since_s = figures.pop('joined_at_s') + 5
        gap = service_gap(load.samples, backlogged, since_s, scenario.seconds)
        figures['gap_ratio_after_join'] = gap / (
            2 * largest_in_flight(load, len(load.fleet.targets['assistant']))
        )
