"""Tests of pools of engines and of their owners, over a simulated network.

Guards against the load pattern of large fleets: each instance sees a small
part of the load and learns the rest late, so that many instances send to the
same engines while others are idle.
"""

import asyncio
import collections
import contextlib
import time
from unittest import mock

import msgspec
from nose2.tools import params

from dandelionplank.delivery.dispatch import Dispatcher
from dandelionplank.errors import RefusalError
from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet import poolowner
from dandelionplank.fleet.owners import OwnerDirectory
from dandelionplank.fleet.peers import PeerLoadTable, PeerReport
from dandelionplank.fleet.poolclient import PoolClient
from dandelionplank.fleet.poolowner import PoolOwner
from dandelionplank.fleet.tickets import (
    OpenGrants,
    Ticket,
    TicketEvents,
    TicketMessage,
)
from dandelionplank.fleet.view import FleetView
from dandelionplank.routing.pools import ServicePools, TargetPools
from dandelionplank.routing.routes import ModelMemory
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.routing.work import PromptPart, TokenWork
from dandelionplank.settings import Address
from dandelionplank.targets import Target
from tests.fixtures import run_async, running, wait_until

ENGINE_COUNT = 16
INSTANCE_COUNT = 10
DELAY_S = 0.001
# Longest time that a request takes while its pool's owner is silent, and once
# that is known.
SILENT_OWNER_S = 0.2
SUSPECTED_OWNER_S = 0.02
# Largest deviation of a pool's prefixes per engine from the mean.
LARGEST_DEVIATION = 0.3
MEMORY = ModelMemory(16, 400_000)
DECODER = msgspec.msgpack.Decoder(TicketMessage)


def make_engine(name):
    """Return a model engine."""
    return Target(name, 'llm', Address('127.0.0.1', 9000), 'a', limit=16)


def make_work(subject, own, shared_tokens=6000, own_tokens=2000):
    """Return a prompt of a shared and an own part."""
    parts = (PromptPart(subject, shared_tokens), PromptPart(own, own_tokens))
    return TokenWork('m', shared_tokens + own_tokens, 10, parts)


def make_waiting(work, objective_s=0.8, account='x'):
    """Return a request that has just arrived."""
    now_s = time.monotonic()
    return WaitingRequest(
        'r', account, objective_s, 'llm', work, now_s, now_s + 3, work.cost
    )


class Instance:
    """One instance: its own decisions, and both sides of the pools."""

    def __init__(self, name, network):
        """Build the parts without sockets; peers are added later."""
        self.name = name
        self.view = FleetView(5)
        for number in range(ENGINE_COUNT):
            self.view.registry.put(make_engine(f'e{number}'))
        self.peer_loads = PeerLoadTable()
        self.pools = TargetPools(
            self.view.targets_of, self.view.registry.is_withdrawn
        )
        self.scheduler = Scheduler(
            'a',
            self.pools.targets_in,
            self.peer_loads,
            has_other_pools=self.pools.has_other_pools,
            is_withdrawn=self.pools.is_withdrawn,
        )
        self.scheduler.engine_memory = {'llm': MEMORY}
        self.dispatcher = Dispatcher(self.scheduler)
        self.view.exclusion_listeners.append(self.dispatcher.exclude_targets)
        self.owner = PoolOwner(name, self.dispatcher, network.sender(name))
        self.directory = OwnerDirectory(name, self.view, self.peer_loads)
        self.client = PoolClient(
            name,
            self.dispatcher,
            self.pools,
            self.directory,
            network.sender(name),
        )

    def receive(self, message):
        """Handle a message as the datagram socket does."""
        if isinstance(message, Ticket):
            self.owner.receive_ticket(message)
        elif isinstance(message, TicketEvents):
            self.owner.receive_events(message)
        elif isinstance(message, OpenGrants):
            self.owner.receive_open_grants(message)
        else:
            self.client.receive_reply(message)

    def count_running(self):
        """Return the requests that this instance counts at engines."""
        return sum(load.running for load in self.scheduler.loads.values())


class Network:
    """Delivers messages after a delay; loses those of silent instances."""

    def __init__(self):
        """Hold the instances by name, at first none."""
        self.instances = {}
        self.silent = set()
        self.lost_types = {}

    def sender(self, source):
        """Return the function with which an instance sends."""

        def send(name, message):
            block = msgspec.msgpack.encode(message)
            self.deliver_later(source, name, DECODER.decode(block))

        return send

    def deliver_later(self, source, name, message):
        """Deliver a message after the delay, unless it is lost."""
        kind = type(message)
        if self.lost_types.get(kind, 0):
            self.lost_types[kind] -= 1
            return
        if {source, name} & self.silent:
            return
        receive = self.instances[name].receive
        asyncio.get_running_loop().call_later(DELAY_S, receive, message)


@contextlib.asynccontextmanager
async def pooled_fleet(count=INSTANCE_COUNT):
    """Run instances that know each other, with all periodic tasks."""
    network = Network()
    names = [f'i{number}' for number in range(count)]
    for name in names:
        network.instances[name] = Instance(name, network)
    now_s = time.monotonic()
    for instance in network.instances.values():
        instance.view.peers.update(dict.fromkeys(names, '127.0.0.1:1'))
        for name in names:
            if name != instance.name:
                report = PeerReport(name, 1, 1, 60, 1, 0, False, {}, {})
                instance.peer_loads.receive(report, now_s)
    periodic = [
        coroutine
        for instance in network.instances.values()
        for coroutine in (
            instance.dispatcher.run(),
            instance.owner.run_expiry(),
            instance.client.run_listing(),
        )
    ]
    async with running(*periodic):
        yield network


def owner_of(network, work):
    """Return the instance that owns the preferred pool of a prompt."""
    entry = next(iter(network.instances.values()))
    queue = entry.pools.rank('llm', work)[0]
    name = entry.directory.owners_of(queue, time.monotonic())[0]
    return network.instances[name]


def entry_other_than(network, *names):
    """Return an instance that has none of the names."""
    return next(
        instance
        for name, instance in network.instances.items()
        if name not in names
    )


@run_async
async def test_a_burst_from_all_entries_spreads_over_the_engines_of_a_pool():
    """No engine gets a second prompt while another of its pool is idle."""
    async with pooled_fleet() as network:
        entries = list(network.instances.values())
        subject = make_work('subject', 'own')
        queue = entries[0].pools.rank('llm', subject)[0]
        pool = {each.name for each in entries[0].pools.targets_in(queue)}
        grants = await asyncio.gather(
            *(
                entries[number].client.acquire(
                    make_waiting(make_work('subject', f'o{number}', 0, 9000))
                )
                for number in range(len(entries))
            ),
        )
        used = collections.Counter(grant.load.target.name for grant in grants)
        assert max(used.values()) <= 2
        shared = await asyncio.gather(
            *(
                entry.client.acquire(make_waiting(make_work('subject', 'own')))
                for entry in entries[:4]
            ),
        )
        assert {grant.load.target.name for grant in shared} <= pool


@run_async
async def test_ended_requests_leave_no_load_at_the_owner():
    """Prefilled, ended and cancelled tickets are no longer counted."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        grant = await entry.client.acquire(make_waiting(work))
        assert owner.count_running() == 1
        entry.client.record_first_event(grant)
        load = owner.scheduler.loads[grant.load.target.name]
        await wait_until(lambda: not load.pending_prefill_tokens)
        entry.client.release(grant)
        await wait_until(lambda: not owner.count_running())
        cancelled = asyncio.ensure_future(
            entry.client.acquire(make_waiting(work))
        )
        await asyncio.sleep(0)
        cancelled.cancel()
        await wait_until(lambda: not owner.owner.tickets)
        assert not owner.count_running()


@run_async
async def test_a_silent_owner_delays_a_request_by_some_tens_of_milliseconds():
    """The next owner decides; the silent one is not asked again at once."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        network.silent.add(owner.name)
        start_s = time.monotonic()
        grant = await entry.client.acquire(make_waiting(work))
        assert time.monotonic() - start_s < SILENT_OWNER_S
        entry.client.release(grant)
        start_s = time.monotonic()
        await entry.client.acquire(make_waiting(work))
        assert time.monotonic() - start_s < SUSPECTED_OWNER_S


@run_async
async def test_an_entry_without_any_owner_decides_alone():
    """An entry that is cut off from all others still serves its callers."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        network.silent.update(set(network.instances) - {entry.name})
        grant = await entry.client.acquire(make_waiting(work))
        assert grant.ticket_number < 0
        assert entry.count_running() == 1


@run_async
async def test_lost_messages_leave_no_load_and_lose_no_request():
    """Tickets and grants are repeated; a lost end is found by the lists."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        network.lost_types = {Ticket: 1, TicketEvents: 1}
        grant = await entry.client.acquire(make_waiting(work))
        entry.client.release(grant)
        await asyncio.sleep(0.01)
        assert not entry.client.grants
        with mock.patch.object(poolowner, 'GRANT_MAX_AGE_S', 0.5):
            await wait_until(lambda: not owner.count_running())


@run_async
async def test_a_new_owner_counts_the_grants_of_the_one_before():
    """Entries list their open grants to whoever owns the pool now."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        grant = await entry.client.acquire(make_waiting(work))
        network.silent.add(owner.name)
        now_s = time.monotonic()
        for instance in network.instances.values():
            instance.directory.record_silent(owner.name, now_s, now_s)
        successor = owner_of(network, work)
        if successor is not entry:
            await wait_until(successor.count_running)
            load = successor.scheduler.loads[grant.load.target.name]
            assert load.pending_prefill_tokens == 8000
            entry.client.release(grant)


def test_prompts_with_a_long_shared_prefix_prefer_one_pool():
    """Short prefixes are spread, since any pool prefills them quickly."""
    engines = [make_engine(f'e{number}') for number in range(64)]
    pools = TargetPools(lambda service: engines)
    long_prompts = {
        pools.rank('llm', make_work('subject', f'o{number}'))[0]
        for number in range(20)
    }
    assert len(long_prompts) == 1
    short_prompts = {
        pools.rank('llm', make_work('subject', f'o{number}', 300))[0]
        for number in range(64)
    }
    assert len(short_prompts) == len(pools.pools_of('llm').by_queue) == 8


@params(8, 30, 78, 300)
def test_pools_are_shared_in_proportion_to_their_size(count):
    """Prefixes per engine differ little between pools of different sizes."""
    engines = tuple(make_engine(f'e{number}') for number in range(count))
    pools = ServicePools.from_targets('llm', engines)
    assert sum(len(each) for each in pools.by_queue.values()) == count
    homes = collections.Counter(
        pools.rank(f'p{number}')[0] for number in range(4000)
    )
    for queue, members in pools.by_queue.items():
        share = homes[queue] * count / (4000 * len(members))
        assert abs(share - 1) < LARGEST_DEVIATION


def test_few_engines_change_pools_when_others_are_replaced():
    """A target's pool depends on its name, not on the other targets."""
    before = ServicePools.from_targets(
        'llm', tuple(make_engine(f'e{number}') for number in range(78))
    )
    after = ServicePools.from_targets(
        'llm', tuple(make_engine(f'e{number}') for number in range(39, 117))
    )
    for queue, members in before.by_queue.items():
        kept = {each.name for each in members if int(each.name[1:]) >= 39}
        assert kept <= {each.name for each in after.by_queue[queue]}


@run_async
async def test_a_granted_target_that_is_gone_here_gets_no_request():
    """An entry that knows that a target is draining does not use it."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        for name in tuple(entry.view.registry.targets):
            entry.view.registry.remove(name)
        entry.pools.targets_of = owner.view.targets_of
        with contextlib.suppress(RefusalError):
            await entry.client.acquire(make_waiting(work))
            raise AssertionError('a target that is gone was used')
        await wait_until(lambda: not owner.count_running())
        assert not entry.client.grants


@run_async
async def test_work_beyond_a_pool_goes_to_an_idle_one_or_is_rejected():
    """The second pool takes only what an idle target can start at once."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        home, second = entry.pools.rank('llm', work)
        for queue in (home, second):
            queue_owner = network.instances[
                entry.directory.owners_of(queue, time.monotonic())[0]
            ]
            grant = await entry.client.acquire(make_waiting(work))
            assert grant.load.target in entry.pools.targets_in(queue)
            for target in entry.pools.targets_in(queue):
                load = queue_owner.scheduler.load_of(target)
                load.pending_prefill_tokens = 90_000
        with contextlib.suppress(RefusalError):
            await entry.client.acquire(make_waiting(work))
            raise AssertionError('no engine can start the prompt in time')


@run_async
async def test_grants_that_are_given_back_cost_an_account_nothing():
    """Those that a caller or a late entry gave back stayed charged."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        levels = owner.scheduler.local_service_levels
        for client in (entry.client, owner.client):
            grant = await client.acquire(make_waiting(work))
            client.release(grant)
            await asyncio.sleep(4 * DELAY_S)
            assert levels.levels.get('x', 0) < work.cost / 100
        grant = await owner.client.acquire(make_waiting(work))
        owner.client.record_first_event(grant)
        owner.client.release(grant)
        assert levels.levels['x'] > work.cost / 2


@run_async
async def test_grants_that_no_target_ran_cost_an_account_nothing():
    """Tries at lost engines moved an account back in the fair order."""
    async with pooled_fleet() as network:
        work = make_work('subject', 'own')
        owner = owner_of(network, work)
        entry = entry_other_than(network, owner.name)
        levels = owner.scheduler.local_service_levels
        for client in (entry.client, owner.client):
            for fail in (
                client.record_unreachable,
                lambda grant, client=client: client.record_not_executed(
                    grant, is_misdirected=False
                ),
            ):
                grant = await client.acquire(make_waiting(work))
                assert levels.levels['x'] > work.cost / 2
                fail(grant)
                client.release(grant)
                await asyncio.sleep(4 * DELAY_S)
                assert levels.levels.get('x', 0) < work.cost / 100
        assert not entry.scheduler.local_service_levels.levels
