"""Tests of evacuated data centres, whose targets may be sent nothing.

Guards against requests that reach a target there after the order is in force:
new and waiting ones, retries, hedges and resumed streams, also at instances
that the store turns away and at those that start meanwhile.
"""

import asyncio
import contextlib
import itertools
import time
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bench.platform import MODEL_HEADERS, configuration, target_entry
from dandelionplank.errors import RefusalError, StoreError
from dandelionplank.fleet.changes import StoreRevision
from dandelionplank.fleet.confirmation import ViewQuery
from dandelionplank.fleet.evacuations import Evacuations
from dandelionplank.fleet.view import MAX_FORMER_PEERS, FleetView
from dandelionplank.fleet.warmup import CacheWarmup
from dandelionplank.metrics import METRICS
from dandelionplank.settings import Address
from dandelionplank.targets import Target
from tests.fixtures import only, run_async, wait_until
from tests.platformfleet import platform_fleet
from tests.test_gateway import shared_watch_fleet
from tests.test_pool_owners import (
    entry_other_than,
    make_waiting,
    make_work,
    owner_of,
    pooled_fleet,
)

# Bound after the acknowledgement of the store from which an order is in force.
BOUND_S = 5.0
# A deadline that does not end a wait within the bound, and a time for which a
# target is busy that does not either.
LONG_MS = 30_000
LONG_S = 12.0
# Events of a stream that lasts longer than it takes until an order is in force.
EVENTS = 200
KEY = 'op/evacuate/a'
CHAT = {'headers': MODEL_HEADERS}
NO_PREFIX = make_work('shared', 'own', 0, 9000)
ORDERS = st.lists(
    st.tuples(
        st.sampled_from(('order', 'end', 'list')),
        st.frozensets(st.sampled_from('abc'), min_size=1),
    ),
    max_size=20,
)


async def within_bound(condition):
    """Wait until a condition holds, for the bound at most."""
    async with asyncio.timeout(BOUND_S):
        while not condition():
            await asyncio.sleep(0.01)


def is_evacuated(gateway, data_center='a'):
    """Return whether a gateway knows the order for a data centre."""
    return data_center in gateway.view.evacuations.orders


async def evacuate(fleet, data_center='a'):
    """Write an order and wait until it is in force at all gateways."""
    fleet.store.put(f'op/evacuate/{data_center}', {})
    await within_bound(
        lambda: all(is_evacuated(each, data_center) for each in fleet.gateways)
    )


async def restored(fleet, data_center='a'):
    """Wait until a data centre is restored at all gateways."""
    await within_bound(
        lambda: (
            not any(is_evacuated(each, data_center) for each in fleet.gateways)
        )
    )


@contextlib.asynccontextmanager
async def two_data_centers(gateways=1, others=1):
    """Run a fleet with two targets a service in "a", the others in "b"."""
    async with platform_fleet(gateways=gateways) as fleet:
        for number in range(others):
            await fleet.start_target(f'plain-b{number}', 'plain', Zone='b')
            await fleet.start_target(f'llm-b{number}', 'llm', Zone='b')
        await within_bound(
            lambda: all(
                len(gateway.view.registry.targets) == 4 + 2 * others
                for gateway in fleet.gateways
            )
        )
        yield fleet


def runs_in(fleet, data_center):
    """Return the requests that targets of a data centre executed."""
    listed = fleet.gateways[0].view.registry.targets
    return [
        run
        for name, target in fleet.targets.items()
        if listed[name].data_center == data_center
        for run in target.runs
    ]


def prompt(number):
    """Return the headers of a prompt that shares no prefix with others."""
    parts = f'first{number}:200,second{number}:100'
    return {**MODEL_HEADERS, 'Dandelionplank-Prefix-Hash': parts}


async def send_to_all(fleet, count=10):
    """Send requests to all services at all gateways; return the statuses."""
    calls = itertools.product(
        ('/look/x', '/book/x', '/chat/x', '/draft/x'),
        range(len(fleet.gateways)),
        range(count),
    )
    answers = await asyncio.gather(
        *(
            fleet.call(path, gateway=gateway, headers=prompt(number))
            for path, gateway, number in calls
        )
    )
    return {status for status, _, _ in answers}


async def use_long_deadlines(fleet):
    """Let requests wait for longer than the bound."""
    limits = {'TimeoutMs': LONG_MS, 'GoalMs': LONG_MS}
    document = configuration(2, unsafe=limits, stream=limits)
    fleet.store.put('op/config', document)
    await within_bound(
        lambda: all(each.view.table.version == 2 for each in fleet.gateways)
    )
    return {'Dandelionplank-Deadline-Ms': str(LONG_MS)}


@run_async
async def test_no_request_reaches_an_evacuated_data_center():
    """Its targets were used until their entries were removed."""
    async with two_data_centers(gateways=2) as fleet:
        assert await send_to_all(fleet) == {200}
        assert runs_in(fleet, 'a')
        await evacuate(fleet)
        known = len(runs_in(fleet, 'a'))
        assert await send_to_all(fleet) == {200}
        assert len(runs_in(fleet, 'a')) == known
        view = fleet.gateways[0].view
        assert len(view.registry.targets) == 6
        assert view.excluded_targets == 4
        fleet.gateways[0]._metrics()
        assert METRICS.gauges['excluded_targets', ()] == 4


@run_async
async def test_two_data_centers_are_evacuated_and_restored_independently():
    """The end of one order must not end the other."""
    async with two_data_centers() as fleet:
        await fleet.start_target('plain-c', 'plain', Zone='c')
        await fleet.start_target('llm-c', 'llm', Zone='c')
        await evacuate(fleet, 'a')
        await evacuate(fleet, 'b')
        assert await send_to_all(fleet) == {200}
        assert not runs_in(fleet, 'a') + runs_in(fleet, 'b')
        fleet.store.delete('op/evacuate/b')
        await restored(fleet, 'b')
        assert is_evacuated(fleet.gateways[0], 'a')
        assert await send_to_all(fleet) == {200}
        assert runs_in(fleet, 'b')
        assert not runs_in(fleet, 'a')


@run_async
async def test_a_running_stream_is_not_cut_by_an_evacuation():
    """Its target stays registered, and so does its connection."""
    async with two_data_centers() as fleet:
        for target in fleet.targets.values():
            target.events = EVENTS
        streams = [
            asyncio.ensure_future(fleet.call('/chat/x', headers=prompt(number)))
            for number in range(9)
        ]
        await within_bound(lambda: len(fleet.runs()) == len(streams))
        assert runs_in(fleet, 'a')
        await evacuate(fleet)
        assert not any(stream.done() for stream in streams)
        for status, body, _ in await asyncio.gather(*streams):
            assert status == 200
            assert body.count(b'data:') == EVENTS
        assert len(fleet.runs()) == len(streams)
        idle = fleet.gateways[0].pool.idle
        assert idle['llm-0'] or idle['llm-1']


async def keep_busy(fleet, path, headers, count):
    """Send requests that occupy targets; return them once they run."""
    known = len(fleet.runs())
    calls = [
        asyncio.ensure_future(
            fleet.call(path, headers={**prompt(number), **headers})
        )
        for number in range(count)
    ]
    await within_bound(lambda: len(fleet.runs()) == known + count)
    return calls


async def list_with_one_slot(fleet, *names):
    """List some targets with one slot, and no others of their service."""
    listed = fleet.gateways[0].view.registry.targets
    service = listed[names[0]].service
    for name in fleet.targets:
        target = listed[name]
        if name in names:
            entry = target_entry(
                name,
                service,
                target.address.text,
                Zone=target.data_center,
                Slots=1,
                born=1,
            )
            fleet.store.put(f'servers/{name}', entry)
        elif target.service == service:
            fleet.store.delete(f'servers/{name}')
    await within_bound(
        lambda: all(
            {each.name: each.limit for each in gateway.view.targets_of(service)}
            == dict.fromkeys(names, 1)
            for gateway in fleet.gateways
        )
    )


@run_async
async def test_a_request_that_waits_for_an_evacuated_target_moves():
    """It would be sent to the target there, which is free first."""
    async with two_data_centers() as fleet:
        headers = await use_long_deadlines(fleet)
        await list_with_one_slot(fleet, 'plain-0', 'plain-b0')
        fleet.targets['plain-0'].faults.delay_s = 4
        fleet.targets['plain-b0'].faults.delay_s = 6
        calls = await keep_busy(fleet, '/book/x', headers, 2)
        waiting = asyncio.ensure_future(fleet.call('/book/y', headers=headers))
        await asyncio.sleep(0.2)
        assert len(fleet.runs()) == 2
        fleet.store.put(KEY, {})
        assert (await waiting)[0] == 200
        assert [run.path for run in fleet.targets['plain-b0'].runs] == [
            '/book/x',
            '/book/y',
        ]
        assert len(fleet.targets['plain-0'].runs) == 1
        assert {(await call)[0] for call in calls} == {200}


@params('/book/x', '/chat/x')
def test_an_evacuated_service_refuses_at_once(path):
    """Waiting requests must not wait until their deadline, nor new ones."""

    @run_async
    async def check():
        async with platform_fleet(gateways=2) as fleet:
            deadline = await use_long_deadlines(fleet)
            headers = {**MODEL_HEADERS, **deadline}
            service = 'plain' if path == '/book/x' else 'llm'
            await list_with_one_slot(fleet, f'{service}-0')
            target = fleet.targets[f'{service}-0']
            target.faults.delay_s = LONG_S
            await within_bound(
                lambda: all(each.peer_loads.reports for each in fleet.gateways)
            )
            busy = await keep_busy(fleet, path, headers, 1)
            await asyncio.sleep(0.3)
            waiting = [
                asyncio.ensure_future(
                    fleet.call(path, headers=headers, gateway=gateway)
                )
                for gateway in (0, 1, 0, 1)
            ]
            await asyncio.sleep(0.3)
            ran = len(target.runs)
            assert ran < 5
            assert not any(each.done() for each in waiting)
            fleet.store.put(KEY, {})
            await within_bound(
                lambda: sum(each.done() for each in waiting) >= 5 - ran
            )
            await evacuate(fleet)
            waiting.append(
                asyncio.ensure_future(fleet.call(path, headers=headers))
            )
            await within_bound(waiting[-1].done)
            refused = [each.result() for each in waiting if each.done()]
            assert len(refused) == 6 - ran
            for status, _, answered in refused:
                assert status == 503
                assert float(answered['Retry-After']) > 0
            assert len(target.runs) == ran
            for call in (*busy, *waiting):
                call.cancel()

    check()


@run_async
async def test_a_broken_stream_is_not_resumed_in_an_evacuated_data_center():
    """The nearest other engine is there."""
    async with two_data_centers() as fleet:
        for target in fleet.targets.values():
            target.events = EVENTS
        streams = await keep_busy(fleet, '/draft/x', {}, 9)
        await evacuate(fleet)
        known = len(runs_in(fleet, 'a'))
        assert known
        for name in ('llm-0', 'llm-1'):
            fleet.targets[name].faults.truncate_after = 1
        await asyncio.sleep(0.1)
        for name in ('llm-0', 'llm-1'):
            fleet.targets[name].faults.truncate_after = 1
        for status, body, _ in await asyncio.gather(*streams):
            assert status == 200
            assert body.count(b'data:') == EVENTS
        assert len(runs_in(fleet, 'a')) == known
        assert len(fleet.runs()) > len(streams)


@run_async
async def test_retries_and_hedges_avoid_an_evacuated_data_center():
    """After an error or a slow response another target is tried."""
    async with two_data_centers(others=2) as fleet:
        await evacuate(fleet)
        for name in ('plain-b0', 'plain-b1'):
            fleet.targets[name].faults.server_errors = 2
            fleet.targets[name].faults.delay_s = 0.9
        statuses = await asyncio.gather(
            *(fleet.call('/look/x') for _ in range(6))
        )
        assert 200 in {status for status, _, _ in statuses}
        assert len(fleet.runs()) > 6
        assert not runs_in(fleet, 'a')


@run_async
async def test_a_reserved_target_that_was_evacuated_is_not_used():
    """An order may arrive between the reservation and the next attempt."""
    async with two_data_centers() as fleet:
        gateway = only(fleet.gateways)
        delivery = gateway.gateway.delivery
        assign = delivery.dispatcher.acquire
        granted = []

        async def acquire(waiting):
            grant = await assign(waiting)
            granted.append(grant)
            gateway.view.evacuate(grant.load.target.data_center, 1)
            return grant

        delivery.dispatcher.acquire = acquire
        status, _, answered = await fleet.call('/chat/x', **CHAT)
        assert status == 503
        assert float(answered['Retry-After']) > 0
        assert len(granted) == 2
        assert not fleet.runs()
        assert not any(
            load.running for load in gateway.scheduler.loads.values()
        )


@run_async
async def test_an_order_that_arrives_while_a_connection_opens_is_obeyed():
    """Nothing is written once it is known, and the request goes elsewhere."""
    async with two_data_centers() as fleet:
        gateway = only(fleet.gateways)
        open_connection = gateway.pool.open

        async def open_slowly(target):
            connection = await open_connection(target)
            if target.data_center == 'a':
                gateway.view.evacuate('a', 1)
            return connection

        gateway.pool.open = open_slowly
        assert (await fleet.call('/book/x'))[0] == 200
        assert is_evacuated(gateway)
        assert not runs_in(fleet, 'a')


def split_by_knowledge(fleet, queue):
    """Return the number of a queue's owner and of another gateway."""
    gateway = fleet.gateways[0]
    owner = gateway.pool_client.owners.owners_of(queue, time.monotonic())[0]
    names = [each.pool_client.name for each in fleet.gateways]
    number = names.index(owner)
    return number, 1 - number


@run_async
async def test_an_entry_rejects_the_grant_of_an_owner_without_the_order():
    """The owner of a pool may learn an order later than the entry."""
    async with two_data_centers(gateways=2) as fleet:
        await within_bound(
            lambda: all(each.peer_loads.reports for each in fleet.gateways)
        )
        owner, entry = split_by_knowledge(fleet, 'llm#0')
        fleet.gateways[owner].view.evacuate = mock.Mock()
        fleet.store.put(KEY, {})
        await within_bound(lambda: is_evacuated(fleet.gateways[entry]))
        answers = await asyncio.gather(
            *(
                fleet.call('/chat/x', gateway=entry, headers=prompt(number))
                for number in range(12)
            )
        )
        assert {status for status, _, _ in answers} == {200}
        assert not runs_in(fleet, 'a')
        avoided = fleet.gateways[entry].pool_client.avoided
        assert avoided.names
        fleet.store.delete(KEY)
        await restored(fleet)
        assert (await fleet.call('/chat/x', gateway=entry, **CHAT))[0] == 200
        assert not avoided.names


@params('tombstone', 'listing')
def test_a_data_center_is_restored(kind):
    """By the removal of the key, also if only a listing shows it."""

    @run_async
    async def check():
        async with platform_fleet() as fleet:
            restorations = []
            view = only(fleet.gateways).view
            view.data_center_restored_listeners.append(restorations.append)
            await evacuate(fleet)
            assert await send_to_all(fleet, 1) == {503}
            if kind == 'listing':
                fleet.store.faults.status = 503
                await asyncio.sleep(0.2)
            fleet.store.delete(KEY)
            if kind == 'listing':
                fleet.store.drop_history()
                fleet.store.faults.status = 0
            await restored(fleet)
            assert restorations == ['a']
            assert await send_to_all(fleet, 1) == {200}
            assert not view.excluded_targets

    check()


@run_async
async def test_a_listing_with_the_key_keeps_a_data_center_evacuated():
    """The order must not end for the time of the listing either."""
    async with two_data_centers() as fleet:
        view = only(fleet.gateways).view
        restorations = []
        view.data_center_restored_listeners.append(restorations.append)
        await evacuate(fleet)
        fleet.store.put('other/key', b'x')
        fleet.store.drop_history()
        revision = fleet.store.revision
        await within_bound(
            lambda: view.revision and view.revision.number >= revision
        )
        assert is_evacuated(only(fleet.gateways))
        assert not restorations
        assert await send_to_all(fleet) == {200}
        assert not runs_in(fleet, 'a')


def turn_away(gateway):
    """Let the store refuse the calls of one gateway."""
    refusal = StoreError('status 503', step='store')
    source = gateway.parts.source
    source.follow = mock.AsyncMock(side_effect=refusal)
    source.resync = mock.AsyncMock(side_effect=refusal)


@run_async
async def test_an_instance_that_the_store_turns_away_learns_from_its_peers():
    """In a small fleet, each instance watches the store for itself."""
    async with two_data_centers(gateways=3) as fleet:
        await within_bound(
            lambda: all(
                len(each.peer_loads.reports) == 2 for each in fleet.gateways
            )
        )
        turn_away(fleet.gateways[0])
        turn_away(fleet.gateways[1])
        await within_bound(
            lambda: all(each.follower.failures for each in fleet.gateways[:2])
        )
        await evacuate(fleet)
        assert await send_to_all(fleet) == {200}
        assert not runs_in(fleet, 'a')
        fleet.store.delete(KEY)
        await restored(fleet)


@run_async
async def test_an_instance_that_is_not_listed_any_more_learns_from_others():
    """Its lease ends while it is turned away, and nobody reports to it."""
    async with two_data_centers(gateways=2) as fleet:
        gateway = fleet.gateways[0]
        presence = gateway.parts.presence
        await within_bound(lambda: presence.key in fleet.store.entries)
        await within_bound(lambda: gateway.peer_loads.reports)
        turn_away(gateway)
        presence.renew = mock.AsyncMock(
            side_effect=StoreError('status 503', step='store')
        )
        fleet.store.delete(presence.key)
        await wait_until(lambda: not gateway.peer_loads.reports)
        await evacuate(fleet)
        assert await send_to_all(fleet) == {200}
        assert not runs_in(fleet, 'a')


@run_async
async def test_changes_are_sent_to_no_unlisted_address():
    """They contain the keys of callers, and anybody can send a datagram."""
    async with platform_fleet(gateways=2) as fleet:
        exchange, other = (each.exchange for each in fleet.gateways)
        await within_bound(lambda: other.name in exchange.view.peers)
        exchange.transport = mock.Mock()
        start = StoreRevision(0, 0)
        exchange._respond(ViewQuery('unknown', 1, start))
        assert not exchange.transport.sendto.called
        address = exchange.view.peers[other.name]
        exchange._respond(ViewQuery(other.name, 1, start))
        exchange.view.remove_peer(other.name)
        exchange._respond(ViewQuery(other.name, 1, start))
        sent = [call.args[1] for call in exchange.transport.sendto.mock_calls]
        assert [f'{ip}:{port}' for ip, port in sent] == [address, address]


def test_the_last_addresses_of_few_instances_are_remembered():
    """Instances that come and go must not fill the memory."""
    view = FleetView(5)
    for number in range(MAX_FORMER_PEERS + 10):
        view.peers[f'i{number}'] = '127.0.0.1:1'
        view.remove_peer(f'i{number}')
    view.remove_peer('unknown')
    assert len(view.former_peers) == MAX_FORMER_PEERS
    assert 'i0' not in view.former_peers


@run_async
async def test_an_order_reaches_all_if_the_only_watcher_is_turned_away():
    """The other instances rely on it, and it has to learn from them."""
    async with shared_watch_fleet() as fleet:
        watcher = only(
            [
                gateway
                for gateway in fleet.gateways
                if gateway.exchange.watcher_role.is_watcher
            ]
        )
        turn_away(watcher)
        await evacuate(fleet)
        fleet.store.delete(KEY)
        await restored(fleet)


@run_async
async def test_changes_of_peers_do_not_confirm_a_view():
    """An instance that is cut off from the store must not look current."""
    async with platform_fleet(gateways=2) as fleet:
        gateway = fleet.gateways[0]
        await within_bound(lambda: gateway.peer_loads.reports)
        turn_away(gateway)
        await within_bound(lambda: gateway.follower.failures)
        confirmed_s = gateway.view.confirmed_s
        await evacuate(fleet)
        assert gateway.view.confirmed_s == confirmed_s


@run_async
async def test_targets_that_lapsed_in_an_outage_stay_though_a_peer_passes_it():
    """An instance that reaches the store first passes their removal on."""
    async with platform_fleet(gateways=2) as fleet:
        gateway = fleet.gateways[0]
        await within_bound(lambda: gateway.peer_loads.reports)
        turn_away(gateway)
        await within_bound(lambda: gateway.follower.failures)
        gateway.follower.last_response_s -= gateway.follower.entry_lapse_s
        revision = fleet.store.revision
        fleet.store.delete('servers/plain-0')
        await within_bound(lambda: gateway.view.revision.number > revision)
        assert 'plain-0' in gateway.view.registry.targets


@run_async
async def test_an_instance_that_starts_during_an_order_obeys_it():
    """The first listing holds the key; before it, nothing is served."""
    async with two_data_centers() as fleet:
        await evacuate(fleet)
        fleet.store.faults.status = 503
        started = await fleet.start_gateway()
        assert not started._is_ready()
        assert (await fleet.call('/book/x', gateway=1))[0] == 503
        fleet.store.faults.status = 0
        await within_bound(lambda: started.view.is_loaded)
        assert is_evacuated(started)
        assert await send_to_all(fleet) == {200}
        assert not runs_in(fleet, 'a')


@params(True, False)
def test_the_state_of_a_restored_copy_holds(is_in_copy):
    """An order that the copy lacks ends; one that it holds is in force."""

    @run_async
    async def check():
        async with two_data_centers(gateways=2) as fleet:
            without = fleet.store.copy()
            await evacuate(fleet)
            if is_in_copy:
                older = fleet.store.copy()
                fleet.store.delete(KEY)
                await restored(fleet)
                fleet.store.restore(older)
                await within_bound(
                    lambda: all(map(is_evacuated, fleet.gateways))
                )
                assert await send_to_all(fleet) == {200}
                assert not runs_in(fleet, 'a')
            else:
                fleet.store.restore(without)
                await restored(fleet)
                assert await send_to_all(fleet) == {200}
                assert runs_in(fleet, 'a')

    check()


@run_async
async def test_keys_that_name_no_known_data_center_are_harmless():
    """They neither end the following of the store nor exclude a target."""
    async with platform_fleet() as fleet:
        for key in ('', 'unknown', 'a/b', '/', 'x' * 5000, '\u00e9 \n'):
            fleet.store.put(f'op/evacuate/{key}', b'\xff')
            fleet.store.put(f'op/evacuate/{key}', {})
        fleet.store.put('op/evacuated', {})
        fleet.store.delete('op/evacuate/unknown')
        fleet.store.delete('op/evacuate/x')
        fleet.store.put('op/config', configuration(2))
        view = only(fleet.gateways).view
        await within_bound(lambda: view.table.version == 2)
        assert not view.excluded_targets
        assert set(view.evacuations.orders) == {'a/b', '/', '\u00e9 \n'}
        assert await send_to_all(fleet, 1) == {200}


@run_async
async def test_an_order_is_in_force_whatever_its_value():
    """The key is the order; a value that nobody can read must not undo it."""
    async with platform_fleet() as fleet:
        fleet.store.put(KEY, b'\xff{')
        await within_bound(lambda: is_evacuated(only(fleet.gateways)))
        assert await send_to_all(fleet, 1) == {503}


@run_async
async def test_the_cache_query_leaves_evacuated_engines_out():
    """It would be a call to a target that may be sent nothing."""
    view = make_view('ab')
    view.table = mock.Mock()
    view.has_targets = True
    view.evacuate('a', 1)
    fetch = mock.AsyncMock(return_value=())
    await CacheWarmup(view, mock.MagicMock(), fetch).run()
    assert [call.args[0].name for call in fetch.call_args_list] == ['t-b']


def make_view(data_centers):
    """Return a view with one target in each of some data centres."""
    view = FleetView(5)
    for name in data_centers:
        view.registry.put(
            Target(f't-{name}', 'llm', Address('127.0.0.1', 9000), name)
        )
    return view


def test_targets_are_indexed_at_a_change_only():
    """Each request asks for the targets of its service several times."""
    view = make_view('ab')
    view.evacuate('a', 1)
    assert [each.name for each in view.targets_of('llm')] == ['t-b']
    assert view.targets_of('llm') is view.targets_of('llm')
    assert not view.registry.is_withdrawn('llm')
    view.evacuate('b', 2)
    assert not view.targets_of('llm')
    assert view.registry.is_withdrawn('llm')
    assert not view.registry.is_withdrawn('unknown')
    assert len(view.registry.targets) == 2


def test_a_target_that_moves_or_is_listed_late_follows_the_order():
    """The data centre of its latest entry counts, whatever was granted."""
    view = make_view('ab')
    view.evacuate('c', 1)
    old = view.registry.targets['t-a']
    moved = Target('t-a', 'llm', Address('127.0.0.1', 9000), 'c')
    view.registry.put(moved)
    assert [each.name for each in view.targets_of('llm')] == ['t-b']
    assert view.registry.is_excluded(old)
    view.registry.remove('t-a')
    assert not view.registry.is_excluded(old)
    assert view.registry.is_excluded(moved)
    view.registry.put(Target('t-n', 'llm', Address('127.0.0.1', 9000), 'c'))
    assert [each.name for each in view.targets_of('llm')] == ['t-b']


def test_listeners_hear_of_changes_alone():
    """A repeated order or an unknown key must not place requests again."""
    view = make_view('ab')
    changed = mock.Mock()
    restorations = mock.Mock()
    view.exclusion_listeners.append(changed)
    view.data_center_restored_listeners.append(restorations)
    view.restore('a', 'unknown')
    assert not changed.called
    view.evacuate('a', 1)
    view.evacuate('a', 2)
    assert changed.call_count == 1
    view.restore('a', 'removed')
    view.restore('a', 'removed')
    assert changed.call_count == 2
    restorations.assert_called_once_with('a')


@given(ORDERS)
def test_the_orders_in_force_are_those_of_the_last_state(steps):
    """Whatever the series of orders, removals and listings is."""
    evacuations = Evacuations()
    expected = set()
    for revision, (kind, names) in enumerate(steps):
        if kind == 'list':
            evacuations.begin_listing()
            assert expected <= evacuations.orders.keys()
        for name in sorted(names):
            if kind == 'end':
                assert evacuations.end(name) is (name in expected)
            else:
                assert evacuations.order(name, revision) is (
                    name not in expected
                )
        if kind == 'order':
            expected |= names
        elif kind == 'end':
            expected -= names
        else:
            unlisted = evacuations.take_unlisted()
            assert set(unlisted) == expected - names
            for name in unlisted:
                assert evacuations.end(name)
            expected = set(names)
        assert evacuations.orders.keys() == expected
        assert not evacuations.take_unlisted()


def list_half_in_another_data_center(network):
    """List the second half of the engines of a network in "b"."""
    for instance in network.instances.values():
        registry = instance.view.registry
        for number in range(8, 16):
            registry.put(
                Target(
                    f'e{number}',
                    'llm',
                    Address('127.0.0.1', 9000),
                    'b',
                    limit=16,
                )
            )


def prompts_for(instance, queue):
    """Yield prompts that share nothing and prefer a pool."""
    for number in itertools.count():
        work = make_work(f'shared{number}', f'own{number}', 0, 9000)
        if instance.pools.rank('llm', work)[0] == queue:
            yield work


def make_patient(work):
    """Return a request whose deadline does not end its wait in a test."""
    waiting = make_waiting(work, LONG_S)
    waiting.deadline_s += LONG_S
    return waiting


async def fill_pool(instance, queue, count):
    """Send prompts until some wait; return the grants and those."""
    grants = []
    waiting = []
    for work in prompts_for(instance, queue):
        call = asyncio.ensure_future(
            instance.client.acquire(make_patient(work))
        )
        await asyncio.sleep(0.02)
        (grants if call.done() else waiting).append(call)
        if len(waiting) == count:
            break
    return [call.result() for call in grants], waiting


async def fill_both_pools(instance, count):
    """Send prompts until some wait in each pool; return grants and those."""
    filled = [
        await fill_pool(instance, queue, count) for queue in ('llm#0', 'llm#1')
    ]
    grants = itertools.chain.from_iterable(each for each, _ in filled)
    waiting = itertools.chain.from_iterable(each for _, each in filled)
    return list(grants), list(waiting)


@run_async
async def test_requests_that_wait_for_a_dissolved_pool_move_to_another_one():
    """Half of the engines make one pool; the other one exists no more."""
    async with pooled_fleet(3) as network:
        list_half_in_another_data_center(network)
        entry = entry_other_than(network, owner_of(network, NO_PREFIX).name)
        grants, waiting = await fill_both_pools(entry, 2)
        for instance in network.instances.values():
            instance.view.evacuate('b', 1)
        assert list(entry.pools.pools_of('llm').by_queue) == ['llm#0']
        await asyncio.sleep(0.2)
        assert not any(call.done() for call in waiting)
        for grant in grants:
            entry.client.release(grant)
        await within_bound(lambda: all(call.done() for call in waiting))
        moved = await asyncio.gather(*waiting)
        assert {grant.load.target.data_center for grant in moved} == {'a'}


@run_async
async def test_tickets_of_a_withdrawn_service_are_rejected_at_once():
    """Their owner would let them wait until their deadlines."""
    async with pooled_fleet(3) as network:
        entry = entry_other_than(network, owner_of(network, NO_PREFIX).name)
        _, waiting = await fill_both_pools(entry, 2)
        for instance in network.instances.values():
            instance.view.evacuate('a', 1)
        await within_bound(lambda: all(call.done() for call in waiting))
        failures = await asyncio.gather(*waiting, return_exceptions=True)
        assert all(isinstance(each, RefusalError) for each in failures)
        assert {each.reason for each in failures} == {'no sound target'}
        assert all(each.retry_after_s > 0 for each in failures)
