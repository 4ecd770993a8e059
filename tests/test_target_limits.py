"""Tests of targets that state how many requests a second they take."""

import asyncio
import contextlib
import itertools
from unittest import mock

from bench.platform import MODEL_HEADERS
from dandelionplank.fleet import owners
from tests.fixtures import run_async
from tests.platformfleet import platform_fleet

GATEWAYS = 3
# Bounds that the platform states, counted from the first statement.
IN_FORCE_AFTER_S = 3.0
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
# Share of its limit that a target must get while there is enough demand.
USED_SHARE = 0.6
CALL_PERIOD_S = 0.05
PLAYED_S = IN_FORCE_AFTER_S + 2 * WINDOW_S


def most_in_window(arrivals_s):
    """Return the largest number of arrivals within one window."""
    return max(
        (
            sum(start_s <= at_s < start_s + WINDOW_S for at_s in arrivals_s)
            for start_s in arrivals_s
        ),
        default=0,
    )


def arrivals_after_contact(target):
    """Return when requests arrived after the limit had to be in force."""
    arrivals_s = [run.started_at_s for run in target.runs]
    in_force_s = arrivals_s[0] + IN_FORCE_AFTER_S
    return [at_s for at_s in arrivals_s if at_s >= in_force_s]


async def call_all_gateways(fleet, path, for_s=PLAYED_S):
    """Call the gateways in turn, faster than a limited target allows."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + for_s
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if loop.time() >= end_s:
                return
            gateway = number % len(fleet.gateways)
            group.create_task(
                fleet.call(path, gateway=gateway, headers=MODEL_HEADERS)
            )
            await asyncio.sleep(CALL_PERIOD_S)


def check_limit(target, limit):
    """Check that a target got about as much as its limit allows."""
    arrivals_s = arrivals_after_contact(target)
    allowed = EXCESS_FACTOR * limit * WINDOW_S + EXCESS_REQUESTS
    assert most_in_window(arrivals_s) <= allowed, most_in_window(arrivals_s)
    rate = len(arrivals_s) / (PLAYED_S - IN_FORCE_AFTER_S)
    assert rate >= limit * USED_SHARE, rate


@contextlib.contextmanager
def pools_in_small_fleets():
    """Let owners assign the targets of pools in fleets of any size."""
    with mock.patch.object(owners, 'MIN_POOLED_FLEET', 1):
        yield


@run_async
async def test_a_fleet_keeps_the_limit_that_an_engine_states():
    """Instances that decide alone keep the limit together."""
    async with platform_fleet(gateways=GATEWAYS, engines=1) as fleet:
        engine = fleet.targets['llm-0']
        engine.faults.stated_limit = '3.5'
        await call_all_gateways(fleet, '/chat/x')
        check_limit(engine, 3.5)


@run_async
async def test_the_owners_of_pools_keep_the_limit_that_an_engine_states():
    """An owner learns of a limit from the instances that get responses."""
    with pools_in_small_fleets():
        async with platform_fleet(gateways=GATEWAYS, engines=1) as fleet:
            engine = fleet.targets['llm-0']
            engine.faults.stated_limit = '3.5'
            await call_all_gateways(fleet, '/chat/x')
            check_limit(engine, 3.5)


@run_async
async def test_pooled_fleets_keep_the_limit_of_a_plain_target():
    """Requests without a prompt are counted against a limit as well."""
    with pools_in_small_fleets():
        async with platform_fleet(gateways=GATEWAYS, engines=1) as fleet:
            target = fleet.targets['plain-0']
            target.faults.stated_limit = '3.5'
            await call_all_gateways(fleet, '/look/x')
            check_limit(target, 3.5)
