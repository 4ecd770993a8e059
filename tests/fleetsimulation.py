"""Simulates a fleet, its engines and its callers in virtual time."""

import asyncio
import collections
import dataclasses
import itertools
import random
import time
from unittest import mock

from dandelionplank.errors import RefusalError
from dandelionplank.fairness.precedence import AccountPrecedence
from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet.peers import PeerReport
from dandelionplank.ingress.loopdelay import SAMPLE_PERIOD_S, DelayListener
from dandelionplank.ingress.overload import OverloadControl
from dandelionplank.routing.admission import is_repeatable
from dandelionplank.routing.refusals import RepeatedRefusals
from dandelionplank.routing.work import PromptPart, TokenWork
from dandelionplank.settings import Address
from dandelionplank.targets import Target
from tests.fixtures import running
from tests.test_pool_owners import pooled_fleet

ENGINE_SLOTS = 16
TOKENS_PER_S = 45_000.0
FIRST_EVENT_S = 0.03
STREAM_S = 1.0
OBJECTIVE_S = 0.8
TIMEOUT_S = 3.0
REPORT_PERIOD_S = 0.5
MAX_TRIES = 8
SHARED_TOKENS = 6000
OWN_TOKENS = 2000
OUTPUT_TOKENS = 200
CONNECT_S = 0.001
# Parts of the processor time of a request: reading it, asking for a target,
# passing on the request, and passing on its response.
PROCESSOR_SHARES = (0.25, 0.25, 0.25, 0.25)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer when it is idle."""

    def __init__(self):
        """Start at an arbitrary time."""
        super().__init__()
        self.virtual_s = 1000.0

    def time(self):
        """Return the virtual time."""
        return self.virtual_s

    def _run_once(self):
        """Advance the clock if nothing is ready."""
        if not self._ready and self._scheduled:
            next_s = self._scheduled[0].when()
            self.virtual_s = max(self.virtual_s, next_s)
        super()._run_once()


def run_in_virtual_time(coroutine, seed):
    """Run a coroutine with a seeded random generator and a virtual clock."""
    loop = VirtualLoop()
    random.seed(seed)
    with mock.patch.object(time, 'monotonic', loop.time):
        try:
            return loop.run_until_complete(coroutine)
        finally:
            loop.close()


@dataclasses.dataclass
class SimulatedEngine:
    """Prefills prompts one after the other, then streams."""

    target: Target
    busy_until_s: float = 0
    is_alive: bool = True
    lost: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    async def run(self, uncached_tokens):
        """Prefill a prompt; return whether the engine lived so long."""
        now_s = time.monotonic()
        begin_s = max(now_s, self.busy_until_s)
        self.busy_until_s = begin_s + uncached_tokens / TOKENS_PER_S
        return await self.lasts(self.busy_until_s + FIRST_EVENT_S - now_s)

    async def lasts(self, seconds):
        """Wait; return whether the engine is alive afterwards."""
        try:
            async with asyncio.timeout(max(0.001, seconds)):
                await self.lost.wait()
        except TimeoutError:
            return True
        return False

    def crash(self):
        """Break off all responses and refuse connections."""
        self.is_alive = False
        self.lost.set()


@dataclasses.dataclass
class SimulatedProcessor:
    """Does the work of one instance in the order in which it arrives.

    :param request_s: processor time of a request
    :param listeners: learn by how much new work is late
    """

    request_s: float = 0
    busy_until_s: float = 0
    listeners: tuple[DelayListener, ...] = ()
    overload: OverloadControl = dataclasses.field(
        default_factory=OverloadControl
    )
    refusals: RepeatedRefusals = dataclasses.field(
        default_factory=RepeatedRefusals
    )

    async def measure_delay(self):
        """Record by how much new work is late, until cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_PERIOD_S)
            now_s = time.monotonic()
            delay_s = max(0, self.busy_until_s - now_s)
            for listener in (self.overload, *self.listeners):
                listener.record_delay(delay_s, now_s)

    def stall(self, seconds):
        """Do no work for a time."""
        now_s = time.monotonic()
        self.busy_until_s = max(now_s, self.busy_until_s) + seconds

    def admit(self, account, cost, levels):
        """Return whether the gateway would take a request."""
        if self.overload.is_late:
            precedence = AccountPrecedence.from_levels(account, levels)
            retry_after_s = self.refusals.repeat(
                (account, 'llm'),
                cost,
                time.monotonic(),
                is_behind=precedence.is_behind,
            )
            if retry_after_s is not None:
                return False
        return self.overload.admit(account, levels)

    async def run(self, share):
        """Do a part of the work of a request."""
        if not self.request_s:
            return
        now_s = time.monotonic()
        begin_s = max(now_s, self.busy_until_s)
        self.busy_until_s = begin_s + share * self.request_s
        await asyncio.sleep(self.busy_until_s - now_s)


@dataclasses.dataclass
class RequestRecord:
    """What became of one request.

    :param began_s: time at which a run of it began, None if none did
    :param refused_s: time at which it was refused, None if it was not
    """

    account: str
    tokens: float
    arrived_s: float
    began_s: float | None = None
    refused_s: float | None = None

    def is_impaired_in(self, second):
        """Return whether it is refused, or waits past its aim, in a second."""
        if self.refused_s is not None and int(self.refused_s) == second:
            return True
        late_s = self.arrived_s + OBJECTIVE_S
        ends = (self.began_s, self.refused_s)
        end_s = min((each for each in ends if each is not None), default=1e9)
        return late_s < end_s and int(late_s) <= second <= int(end_s)


class FleetSimulation:
    """Engines that crash, and accounts that send through given entries."""

    def __init__(self, network, engine_count, request_processor_s=0):
        """Add engines to the views of all instances.

        :param request_processor_s: processor time of a request at its entry
        """
        self.network = network
        self.instances = list(network.instances.values())
        self.processors = {
            instance.name: SimulatedProcessor(
                request_processor_s, listeners=(instance.client.health,)
            )
            for instance in self.instances
        }
        self.engines = {}
        self.records = []
        self.numbers = itertools.count()
        self.start_s = time.monotonic()
        self.tasks = set()
        for instance in self.instances:
            for name in list(instance.view.registry.targets):
                instance.view.registry.remove(name)
        for _ in range(engine_count):
            self.add_engine()

    @property
    def now_s(self):
        """Time since the start."""
        return time.monotonic() - self.start_s

    def add_engine(self):
        """Start an engine that all instances know of at once."""
        name = f'engine-{len(self.engines)}'
        target = Target(
            name, 'llm', Address('127.0.0.1', 9000), 'a', limit=ENGINE_SLOTS
        )
        self.engines[name] = SimulatedEngine(target)
        for instance in self.instances:
            instance.view.registry.put(target)

    def crash_engines(self, count):
        """Crash some of the engines that are alive."""
        alive = [each for each in self.engines.values() if each.is_alive]
        for engine in random.sample(alive, count):
            engine.crash()

    async def report(self):
        """Exchange the reports of the instances until cancelled."""
        for sequence in itertools.count(2):
            await asyncio.sleep(REPORT_PERIOD_S / len(self.instances))
            sender = self.instances[sequence % len(self.instances)]
            now_s = time.monotonic()
            levels = sender.scheduler.local_service_levels.decay_to(now_s)
            report = PeerReport(
                sender.name,
                1,
                sequence,
                REPORT_PERIOD_S,
                1,
                0,
                False,
                sender.scheduler.shares(),
                {account: round(level) for account, level in levels.items()},
            )
            for instance in self.instances:
                if instance is not sender:
                    instance.peer_loads.receive(report, now_s)

    async def send(self, account, entries, subjects, rate, seconds):
        """Send requests of an account at a rate for some seconds.

        :param entries: numbers of the instances that its callers use
        :param subjects: number of different shared prefixes
        """
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            entry = self.instances[random.choice(entries)]
            subject = f'{account}-{random.randrange(subjects)}'
            task = asyncio.ensure_future(self._call(entry, account, subject))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(random.expovariate(rate))

    def shortfalls(self, seconds, window_s):
        """Return the accounts that got less than half of their share.

        Their share in a second is what they asked for, or what the account
        got that received most, whichever is less. Only windows count in which
        the account has a refused or late request in each second.

        :param seconds: length of the simulation
        :return: account, first second, share and tokens received
        """
        accounts = sorted({record.account for record in self.records})
        asked = self._by_second(lambda record: record.arrived_s)
        got = self._by_second(lambda record: record.began_s)
        found = []
        for start, account in itertools.product(
            range(seconds - window_s + 1), accounts
        ):
            window = range(start, start + window_s)
            share = sum(
                min(
                    asked[account, each],
                    max(got[other, each] for other in accounts),
                )
                for each in window
            )
            received = sum(got[account, each] for each in window)
            is_short = received < share / 2 - self._spared(account)
            if is_short and all(
                self._is_impaired(account, each) for each in window
            ):
                found.append((account, start, share, received))
        return found

    async def _call(self, entry, account, subject):
        """Send one request, to other engines if one is lost."""
        own = f'own-{next(self.numbers)}'
        work = TokenWork(
            'm',
            SHARED_TOKENS + OWN_TOKENS,
            OUTPUT_TOKENS,
            (PromptPart(subject, SHARED_TOKENS), PromptPart(own, OWN_TOKENS)),
        )
        record = RequestRecord(account, work.cost, self.now_s)
        self.records.append(record)
        processor = self.processors[entry.name]
        read, ask, pass_on, respond = PROCESSOR_SHARES
        await processor.run(read)
        levels = entry.client.service_levels()
        if not processor.admit(account, work.cost, levels):
            record.refused_s = self.now_s
            return
        arrived_s = time.monotonic()
        avoided = ()
        for _ in range(MAX_TRIES):
            waiting = WaitingRequest(
                own,
                account,
                OBJECTIVE_S,
                'llm',
                work,
                arrived_s,
                arrived_s + TIMEOUT_S,
                work.cost,
                avoided=avoided,
            )
            await processor.run(ask)
            try:
                grant = await entry.client.acquire(waiting)
            except RefusalError as error:
                record.refused_s = self.now_s
                now_s = time.monotonic()
                if not avoided and is_repeatable(
                    error.reason, now_s - arrived_s, OBJECTIVE_S
                ):
                    processor.refusals.record_refusal(
                        (account, 'llm'), work.cost, error.retry_after_s, now_s
                    )
                return
            processor.refusals.record_grant((account, 'llm'))
            avoided = (*avoided, grant.load.target.name)
            await processor.run(pass_on)
            try:
                if await self._run(entry, grant, record):
                    await processor.run(respond)
                    return
            finally:
                entry.client.release(grant)
        record.refused_s = self.now_s

    async def _run(self, entry, grant, record):
        """Run a request at its engine; return whether it began."""
        engine = self.engines[grant.load.target.name]
        await asyncio.sleep(CONNECT_S)
        if not engine.is_alive:
            entry.client.record_unreachable(grant)
            return False
        if not await engine.run(grant.sent.uncached_tokens):
            entry.client.record_outcome(grant, is_success=False)
            return False
        record.began_s = self.now_s
        entry.client.record_first_event(grant)
        if await engine.lasts(STREAM_S):
            entry.client.record_outcome(grant, is_success=True)
        return True

    def _spared(self, account):
        """Return the tokens of the three largest requests of an account."""
        sizes = sorted(
            each.tokens for each in self.records if each.account == account
        )
        return sum(sizes[-3:])

    def _is_impaired(self, account, second):
        """Return whether a request is refused or late in a second."""
        return any(
            record.is_impaired_in(second)
            for record in self.records
            if record.account == account
        )

    def _by_second(self, time_of):
        """Return the tokens of all requests by account and second."""
        totals = collections.Counter()
        for record in self.records:
            at_s = time_of(record)
            if at_s is not None:
                totals[record.account, int(at_s)] += record.tokens
        return totals


async def simulate(plan, engine_count, instance_count, request_processor_s=0):
    """Run a plan against a fleet and return the simulation afterwards.

    :param plan: coroutine function that takes the simulation
    :param request_processor_s: processor time of a request at its entry
    """
    async with pooled_fleet(instance_count) as network:
        simulation = FleetSimulation(network, engine_count, request_processor_s)
        processors = simulation.processors.values()
        async with running(
            simulation.report(), *(each.measure_delay() for each in processors)
        ):
            await plan(simulation)
            await asyncio.gather(*simulation.tasks)
        return simulation
