"""Simulates instances of unequal size in a storm of requests, in virtual time.

An account sends many times its usual load. All of its callers reach the
smallest instance, because the balancer spreads them by a hash of the account.
"""

import asyncio
import collections
import contextlib
import random
import time

from dandelionplank.fleet.rotation import SMALL_CORES
from dandelionplank.ingress.readiness import LoadReadiness
from dandelionplank.routing.refusals import RepeatedRefusals
from dandelionplank.routing.rendezvous import rank_instances
from tests.fixtures import running
from tests.fleetsimulation import SimulatedProcessor

# Cores of the instances of a data centre; the first one gets the storm.
CORES = (0.387, 2.15, 1.61, 1.61, 1.07, 1.07, 2.15, 1.61)
# Processor time of a request on one core, in seconds. The smallest instance
# handles 39 requests a second.
REQUEST_CORE_S = 0.01
# Parts of it: accepting a connection and reading a request, asking for a
# target, passing on the request, and passing on its response.
READ, ASK, PASS_ON, RESPOND = 0.15, 0.35, 0.25, 0.25
STORM_PER_S = 120
USUAL_PER_S = 12
# Times at which the storm begins and ends.
STORM_S = (2, 14)
SECONDS = 18
# What the account's pool serves, and how long a request may wait for it.
POOL_PER_S = 100
POOL_WAIT_S = 0.65
TARGET_S = 0.1
TIMEOUT_S = 3.0
# Callers leave an instance that has not read their request by then.
READ_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.1
CHECK_PERIOD_S = 1.0
FAILED_CHECKS = 2
READINESS_PERIOD_S = 0.1
KEY = ('storm', 'llm')
COST = 1000.0


class StormInstance:
    """An instance with a small part of a processor."""

    def __init__(self, number, *, has_controls):
        """Hold an idle instance.

        :param has_controls: it withdraws, and repeats refusals
        """
        self.name = f'instance-{number}'
        self.has_controls = has_controls
        self.is_withdrawable = has_controls and CORES[number] < SMALL_CORES
        self.processor = SimulatedProcessor(REQUEST_CORE_S / CORES[number])
        self.readiness = LoadReadiness(self.name)
        self.refusals = RepeatedRefusals()
        self.failed_checks = 0
        self.was_withdrawn_s = 0.0

    @property
    def state(self):
        """What it reports to the others."""
        return self.readiness.state

    def update(self, others):
        """Measure the load and decide on readiness."""
        if not self.is_withdrawable:
            return
        overload = self.processor.overload
        readiness = self.readiness
        now_s = time.monotonic()
        delay_s = max(0, self.processor.busy_until_s - now_s)
        readiness.record_delay(delay_s, now_s)
        readiness.figures.refused_share = overload.refused_share
        readiness.update(others, now_s)
        self.was_withdrawn_s += READINESS_PERIOD_S * readiness.is_withdrawn

    async def read(self):
        """Accept a connection and read a request."""
        await self.processor.run(READ)

    async def serve(self, account, pool):
        """Handle a request that was read; return whether it is served."""
        overload = self.processor.overload
        key = (account, KEY[1])
        now_s = time.monotonic()
        if self.has_controls and overload.is_late:
            retry_s = self.refusals.repeat(key, COST, now_s, is_behind=False)
            if retry_s is not None:
                return False
        if not overload.admit(account):
            return False
        await self.processor.run(ASK)
        now_s = time.monotonic()
        if not pool.take(account):
            self.refusals.record_refusal(key, COST, POOL_WAIT_S, now_s)
            return False
        self.refusals.record_grant(key)
        await self.processor.run(PASS_ON)
        await asyncio.sleep(TARGET_S)
        await self.processor.run(RESPOND)
        return True


class StormPool:
    """The targets of each account, which take requests in order."""

    def __init__(self):
        """Hold idle targets."""
        self.busy_until_s = collections.defaultdict(float)

    def take(self, account):
        """Queue a request unless it would wait too long."""
        now_s = time.monotonic()
        begin_s = max(now_s, self.busy_until_s[account])
        if begin_s - now_s > POOL_WAIT_S:
            return False
        self.busy_until_s[account] = begin_s + 1 / POOL_PER_S
        return True


class StormSimulation:
    """A data centre, its balancer and its callers."""

    def __init__(self, *, has_controls):
        """Hold instances that are all in rotation."""
        self.instances = [
            StormInstance(number, has_controls=has_controls)
            for number in range(len(CORES))
        ]
        self.pool = StormPool()
        self.start_s = time.monotonic()
        self.idle = collections.defaultdict(list)
        self.asked = collections.Counter()
        self.served = collections.Counter()
        self.most_withdrawn = 0
        self.calls = set()

    @property
    def second(self):
        """Seconds since the start, rounded down."""
        return int(time.monotonic() - self.start_s)

    def choose(self, account):
        """Return the instance that a new connection of an account reaches."""
        listed = [
            each
            for each in self.instances
            if each.failed_checks < FAILED_CHECKS
        ]
        if 2 * len(listed) < len(self.instances):
            listed = self.instances
        if account == KEY[0] and self.instances[0] in listed:
            return self.instances[0]
        names = {each.name: each for each in listed}
        return names[rank_instances(account, list(names))[0]]

    async def check_readiness(self):
        """Check the instances like the balancer until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            for each in self.instances:
                failed = each.failed_checks + 1
                is_withdrawn = each.readiness.is_withdrawn
                each.failed_checks = failed if is_withdrawn else 0

    async def decide_readiness(self):
        """Let all instances decide until cancelled."""
        while True:
            await asyncio.sleep(READINESS_PERIOD_S)
            states = [each.state for each in self.instances]
            for each in self.instances:
                each.update([it for it in states if it.name != each.name])
            withdrawn = sum(
                each.readiness.is_withdrawn for each in self.instances
            )
            self.most_withdrawn = max(self.most_withdrawn, withdrawn)

    async def call(self, account):
        """Send one request until it is served or its time is over."""
        second = self.second
        self.asked[account, second] += 1
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                idle = self.idle[account]
                instance = idle.pop() if idle else self.choose(account)
                while not await self.try_at(instance, account):
                    instance = self.choose(account)
                self.served[account, second] += 1
                idle.append(instance)

    async def try_at(self, instance, account):
        """Make one attempt; return whether it was served."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await instance.read()
        except TimeoutError:
            return False
        if await instance.serve(account, self.pool):
            return True
        await asyncio.sleep(RETRY_AFTER_S * (1 + random.random()))
        return False

    async def send(self):
        """Send the requests of all accounts."""
        begin_s, end_s = STORM_S
        accounts = [KEY[0], *(f'account-{each}' for each in range(8))]
        rates = dict.fromkeys(accounts, USUAL_PER_S)
        while self.second < SECONDS:
            is_storm = begin_s <= self.second < end_s
            rates[KEY[0]] = STORM_PER_S if is_storm else USUAL_PER_S
            await asyncio.sleep(random.expovariate(sum(rates.values())))
            account = random.choices(accounts, list(rates.values()))[0]
            task = asyncio.ensure_future(self.call(account))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
        await asyncio.gather(*self.calls)

    def served_share(self, account, seconds):
        """Return the share of an account's requests that were served."""
        asked = sum(self.asked[account, each] for each in seconds)
        return sum(self.served[account, each] for each in seconds) / asked


async def simulate_storm(*, has_controls):
    """Run a storm and return the simulation afterwards."""
    simulation = StormSimulation(has_controls=has_controls)
    measuring = [
        each.processor.measure_delay() for each in simulation.instances
    ]
    async with running(
        simulation.check_readiness(),
        simulation.decide_readiness(),
        *measuring,
    ):
        await simulation.send()
    return simulation
