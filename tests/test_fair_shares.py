"""Tests of the accounts' shares while engines crash under a high load."""

import asyncio
import math
import random

from nose2.tools import params

from dandelionplank.fairness.demand import MAX_REPORTED_ACCOUNTS, DemandMeter
from dandelionplank.fleet.replytimes import (
    LONGEST_TIMEOUT_S,
    MAX_UNANSWERED,
    SHORTEST_TIMEOUT_S,
    ReplyTimes,
)
from tests.fixtures import run_async
from tests.fleetsimulation import run_in_virtual_time, simulate
from tests.test_pool_owners import (
    entry_other_than,
    make_waiting,
    make_work,
    owner_of,
    pooled_fleet,
)

ENGINES = 28
INSTANCES = 16
CRASHED = 7
SECONDS = 11
BUSY_INSTANCE = 1
FEW_ENGINES = 6
FEW_INSTANCES = 8
# Processor time of a request at the instance of its caller.
PROCESSOR_S = 0.016
SHORT_PROCESSOR_S = 0.005
MANY_ENGINES = 24
SMALL_FLEET = 5
SMALL_FLEET_ENGINES = 9
# Separates the sequence of the accounts from that of their requests.
SEED_STRIDE = 7919
# Shares are guaranteed over this many seconds.
WINDOW_S = 6
SEED = 2


def delay_messages(network, name, delay_s):
    """Delay the messages to an instance, as its busy event loop does."""
    deliver_later = network.deliver_later

    def deliver_delayed(source, receiver, message):
        if receiver != name:
            deliver_later(source, receiver, message)
            return
        asyncio.get_running_loop().call_later(
            delay_s * random.uniform(0.5, 1.5),
            deliver_later,
            source,
            receiver,
            message,
        )

    network.deliver_later = deliver_delayed


async def crash_twice(fleet):
    """Crash a quarter of the engines, and as many again three seconds later."""
    await asyncio.sleep(2)
    fleet.crash_engines(CRASHED)
    await asyncio.sleep(3)
    fleet.crash_engines(CRASHED)


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


@params(0.06, 0.1)
def test_a_busy_entry_takes_no_service_from_other_accounts(delay_s):
    """An account got less than half of its share beside a large one.

    The large account's entry took the late replies of owners for silence, and
    sent its requests to other owners, which did not know those that waited.
    """

    async def call(fleet):
        await asyncio.sleep(1)
        delay_messages(fleet.network, f'i{BUSY_INSTANCE}', delay_s)

    async def plan(fleet):
        others = [
            fleet.send(f'small{number}', (4 + number,), 4, 4, SECONDS)
            for number in range(6)
        ]
        await asyncio.gather(
            call(fleet),
            crash_twice(fleet),
            fleet.send('large', (BUSY_INSTANCE,), 40, 450, SECONDS),
            fleet.send('middle', (2, 5), 10, 90, SECONDS),
            fleet.send('light', (3, 9), 6, 20, SECONDS),
            *others,
        )

    fleet = run_in_virtual_time(simulate(plan, ENGINES, INSTANCES), SEED)
    assert not fleet.shortfalls(SECONDS, WINDOW_S)


@params(1, 2, 3)
def test_an_account_gets_its_share_at_an_overloaded_entry(seed):
    """An account whose callers use one instance got less than half its share.

    The instance took more requests than its processor could handle.
    """

    async def plan(fleet):
        await asyncio.gather(
            fleet.send('large', (BUSY_INSTANCE,), 10, 150, SECONDS),
            fleet.send('middle', (2, 4, 6), 5, 75, SECONDS),
            fleet.send('light', (BUSY_INSTANCE, 7), 2, 6, SECONDS),
        )

    fleet = run_in_virtual_time(
        simulate(plan, FEW_ENGINES, FEW_INSTANCES, PROCESSOR_S), seed
    )
    assert not fleet.shortfalls(SECONDS, WINDOW_S)


@params(1, 2)
def test_an_account_bound_to_one_pool_gets_its_share_of_all(seed):
    """An account with one shared prefix got a third of what another one got.

    Its pool was full, and the others served accounts ahead of it.
    """

    async def plan(fleet):
        await asyncio.gather(
            fleet.send('narrow', (1, 2, 3, 4, 5, 6), 1, 300, WINDOW_S + 1),
            fleet.send('wide', range(INSTANCES), 100, 500, WINDOW_S + 1),
        )

    fleet = run_in_virtual_time(simulate(plan, ENGINES, INSTANCES), seed)
    assert not fleet.shortfalls(WINDOW_S + 1, WINDOW_S)


@params(1, 2)
def test_an_account_with_one_prefix_is_not_refused_beside_idle_engines(seed):
    """An account got a quarter of what another one got, and engines were idle.

    Its prompts were placed at the engines that cached their prefix, and
    refused for the wait there.
    """

    async def plan(fleet):
        await asyncio.gather(
            fleet.send('narrow', (1,), 1, 600, WINDOW_S + 1),
            fleet.send('wide', range(INSTANCES), 100, 200, WINDOW_S + 1),
        )

    fleet = run_in_virtual_time(simulate(plan, ENGINES, INSTANCES), seed)
    assert not fleet.shortfalls(WINDOW_S + 1, WINDOW_S)


def draw_accounts(seed, instances):
    """Return accounts of random size, prefixes and entries."""
    source = random.Random(seed * SEED_STRIDE)
    return [
        (
            f'account{number}',
            source.sample(
                range(instances), source.choice((1, 1, 2, instances))
            ),
            source.choice((1, 2, 10, 60)),
            source.choice((20, 60, 150, 250)),
        )
        for number in range(source.randint(3, 6))
    ]


def simulate_random_accounts(seed, engines, instances, processor_s=0):
    """Return a fleet after accounts of random shape have sent to it."""

    async def plan(fleet):
        await asyncio.gather(
            *(
                fleet.send(*account, WINDOW_S + 2)
                for account in draw_accounts(seed, instances)
            )
        )

    return run_in_virtual_time(
        simulate(plan, engines, instances, processor_s), seed
    )


@params(1, 3, 4, 5)
def test_random_accounts_get_their_shares(seed):
    """Accounts of any shape got 0.55 to 0.62 of what was due.

    Their prompts share few prefixes, or their callers use one instance.
    """
    fleet = simulate_random_accounts(
        seed, MANY_ENGINES, FEW_INSTANCES, SHORT_PROCESSOR_S
    )
    assert not fleet.shortfalls(WINDOW_S + 2, WINDOW_S)


@params(1, 3, 6, 10)
def test_accounts_get_their_shares_of_a_small_fleet(seed):
    """Accounts whose callers use one of five instances got 0.27 to 0.98.

    Each instance decided alone, and served its own callers.
    """
    fleet = simulate_random_accounts(seed, SMALL_FLEET_ENGINES, SMALL_FLEET)
    assert not fleet.shortfalls(WINDOW_S + 2, WINDOW_S)


def test_the_time_out_follows_the_replies():
    """It is short on an idle instance and never longer than its limit."""
    times = ReplyTimes()
    for _ in range(50):
        times.record('near', 0.001)
        times.record('late', 0.1)
        times.record('frozen', 10)
    for owner, timeout_s in (
        ('near', SHORTEST_TIMEOUT_S),
        ('unknown', SHORTEST_TIMEOUT_S),
        ('frozen', LONGEST_TIMEOUT_S),
    ):
        assert math.isclose(times.timeout_s(owner), timeout_s), owner
    late_s = times.timeout_s('late')
    assert SHORTEST_TIMEOUT_S * 4 < late_s < LONGEST_TIMEOUT_S
    for _ in range(50):
        times.record('late', 0.001)
    assert math.isclose(times.timeout_s('late'), SHORTEST_TIMEOUT_S)


def test_the_tickets_whose_replies_may_be_late_are_bounded():
    """An owner that never replies costs no memory without limit."""
    times = ReplyTimes()
    for number in range(2 * MAX_UNANSWERED):
        times.record_unanswered('owner', number, 0)
    assert len(times.unanswered) == MAX_UNANSWERED
    assert not times.record_late(0, 1)
    assert times.record_late(2 * MAX_UNANSWERED - 1, 1) == 'owner'


@run_async
async def test_a_late_reply_shows_that_its_owner_is_alive():
    """The owner is asked again at once, with a longer time-out."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        await entry.client.acquire(make_waiting(work))
        delay_messages(network, entry.name, 0.1)
        await entry.client.acquire(make_waiting(work))
        await asyncio.sleep(0.3)
        assert not entry.directory.suspicions
        grant = await entry.client.acquire(make_waiting(work))
        assert grant.load.target.name in {
            each.grant.load.target.name for each in owner.owner.tickets.values()
        }
        timeout_s = entry.client.reply_times.timeout_s(owner.name)
        assert timeout_s > SHORTEST_TIMEOUT_S


def test_a_report_names_the_accounts_that_are_furthest_behind():
    """One account's lack of service does not show in the fleet's totals."""
    meter = DemandMeter()
    for number in range(50):
        account = f'a{number}'
        meter.record_arrival(account, 1000)
        meter.record_begin(account, 1000, is_late=number == 1)
    for _ in range(3):
        meter.record_arrival('behind', 1000)
        meter.record_refusal('behind')
    meter.record_arrival('best', 9000)
    meter.record_begin('best', 9000, is_late=False)
    report = meter.take_report()
    assert [each.account for each in report] == ['behind', 'a1', 'best']
    assert (report[0].missing, report[0].refused) == (3000, 3)
    assert not meter.take_report()


def test_a_report_of_many_accounts_is_bounded():
    """The log line does not grow with the number of accounts."""
    meter = DemandMeter()
    for number in range(1000):
        meter.record_arrival(f'a{number}', number)
        meter.record_refusal(f'a{number}')
    assert len(meter.take_report()) == MAX_REPORTED_ACCOUNTS
