"""Tests of the gateways' guarantees under failure, with stand-in targets."""

import asyncio
import contextlib
import functools
import math
import socket
from unittest import mock

import aiohttp
import msgspec
import yaml
from aiohttp.client_exceptions import ClientConnectionResetError
from yarl import URL

from bench.fleet import reserve_ports
from bench.platform import (
    COMPLETE_STREAM,
    MODEL_HEADERS,
    configuration,
    request_headers,
    target_entry,
)
from dandelionplank.events import Event
from dandelionplank.fleet import confirmation
from dandelionplank.fleet import daemon as daemon_module
from dandelionplank.fleet.changes import StoreRevision
from dandelionplank.fleet.confirmation import (
    ViewQuery,
    ViewResponse,
    WatcherRole,
)
from dandelionplank.fleet.follower import StoreFollower
from dandelionplank.fleet.tickets import (
    OpenGrant,
    OpenGrants,
    Ticket,
    TicketEvent,
    TicketEvents,
    TicketGrant,
)
from dandelionplank.fleet.view import FleetView
from dandelionplank.ingress import server as server_module
from dandelionplank.ingress.sinks import StreamSink
from dandelionplank.metrics import METRICS
from dandelionplank.platform.follow import StoreChangeSource
from dandelionplank.router.idle import REQUEST_START_TURNS
from dandelionplank_standins.platformtarget import TargetFaults
from tests.fixtures import event_counter, only, run_async, wait_until
from tests.platformfleet import platform_fleet


@run_async
async def test_a_request_reaches_its_target_byte_for_byte():
    """Path, query, body and unknown headers are forwarded unchanged."""
    path = '/book/a%2Fb/../c?x=%20&y=1&y=1'
    async with platform_fleet() as fleet:
        status, body, headers = await fleet.call(
            path,
            data=b'\x00\xff body',
            headers={'X-Other': 'kept', 'Dandelionplank-Tenant': 'forged'},
        )
        run = only(fleet.runs())
    assert (status, body) == (200, b'\x00\xff body')
    assert headers['Dandelionplank-Server-Stamp'].endswith(run.request_id)
    assert run.path == path
    assert run.headers['X-Other'] == 'kept'
    assert 'Dandelionplank-Tenant' not in run.headers
    assert 'Dandelionplank-Key' not in run.headers
    assert int(run.headers['Dandelionplank-Deadline-Ms']) <= 3000


@run_async
async def test_a_stream_is_forwarded_completely_with_the_account():
    """All events arrive once, and the target gets the key's account."""
    async with platform_fleet() as fleet:
        status, body, _ = await fleet.call('/chat/x', headers=MODEL_HEADERS)
        run = only(fleet.runs())
    assert (status, body) == (200, COMPLETE_STREAM)
    assert run.headers['Dandelionplank-Tenant'] == 'account-a'


@run_async
async def test_unknown_routes_and_keys_are_denied():
    """While the view is current, they get a 404 or a 401."""
    async with platform_fleet() as fleet:
        assert (await fleet.call('/nowhere/'))[0] == 404
        keys = {'Dandelionplank-Key': 'other'}
        assert (await fleet.call('/mine/', headers=keys))[0] == 401
        assert not fleet.runs()


@run_async
async def test_bodies_beyond_the_limit_are_refused():
    """A body that is too large never reaches a target."""
    async with platform_fleet() as fleet:
        status, _, _ = await fleet.call('/book/x', data=b'x' * 20_000)
        assert status == 413
        assert not fleet.runs()


@run_async
async def test_an_unsafe_request_with_a_lost_response_is_executed_once():
    """The caller gets a 502 status, and an unsafe request isn't retried."""
    async with platform_fleet() as fleet:
        for target in fleet.targets.values():
            target.faults.lost_responses = 1
        status, _, headers = await fleet.call('/book/x', data=b'deposit')
        assert status == 502
        assert 'Retry-After' not in headers
        assert len(fleet.runs()) == 1


@run_async
async def test_a_request_that_was_not_executed_goes_to_another_target():
    """A request that a target rejects as not executed goes to another one."""
    async with platform_fleet() as fleet:
        fleet.targets['plain-0'].faults.rejected_requests = 1
        fleet.targets['plain-1'].faults.rejected_requests = 1
        status, _, headers = await fleet.call('/book/x', data=b'deposit')
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert not fleet.runs()
        fleet.targets['plain-0'].faults.rejected_requests = 1
        await asyncio.sleep(0.2)
        assert (await fleet.call('/book/x', data=b'deposit'))[0] == 200
        assert len(fleet.runs()) == 1


@run_async
async def test_a_failed_safe_request_is_retried_once():
    """A request to a safe route that failed is retried at another target."""
    async with platform_fleet() as fleet:
        for target in fleet.targets.values():
            target.faults.server_errors = 1
        assert (await fleet.call('/look/x'))[0] == 500
        assert len(fleet.runs()) == 2
        assert (await fleet.call('/look/x'))[0] == 200


@run_async
async def test_an_executed_request_is_not_reported_as_not_executed():
    """After a run without a response, a rejected retry leaves it unknown."""
    async with platform_fleet() as fleet:
        shared_faults = TargetFaults(lost_responses=1, runs_left=1)
        for target in fleet.targets.values():
            target.faults = shared_faults
        assert (await fleet.call('/look/x'))[0] == 502
        assert len(fleet.runs()) == 1


@run_async
async def test_a_targets_error_is_forwarded_if_the_retry_is_rejected():
    """A target's error response is not replaced by one of the gateway."""
    async with platform_fleet() as fleet:
        shared_faults = TargetFaults(server_errors=1, runs_left=1)
        for target in fleet.targets.values():
            target.faults = shared_faults
        status, _, headers = await fleet.call('/look/x')
        assert status == 500
        assert 'Dandelionplank-Server-Stamp' in headers


@run_async
async def test_a_mismatched_response_is_skipped():
    """A response to another request, ahead of the right one, is dropped."""
    async with platform_fleet(engines=1) as fleet:
        fleet.targets['plain-0'].faults.mismatched_responses = 1
        status, body, _ = await fleet.call('/book/x', data=b'mine')
        assert (status, body) == (200, b'mine')


@run_async
async def test_a_broken_resumable_stream_resumes_at_another_target():
    """Events arrive once and in order although the first stream broke."""
    async with platform_fleet() as fleet:
        shared_faults = TargetFaults(truncate_after=2)
        for target in fleet.targets.values():
            target.faults = shared_faults
        status, body, _ = await fleet.call('/draft/x', headers=MODEL_HEADERS)
        assert (status, body) == (200, COMPLETE_STREAM)
        assert len(fleet.runs()) == 2


@run_async
async def test_a_truncated_stream_does_not_look_complete():
    """If a stream cannot resume, its caller sees that it is incomplete."""
    async with platform_fleet() as fleet:
        for target in fleet.targets.values():
            target.faults.truncate_after = 2
        is_truncated = False
        try:
            await fleet.call('/chat/x', headers=MODEL_HEADERS)
        except aiohttp.ClientError:
            is_truncated = True
        assert is_truncated
        assert len(fleet.runs()) == 1


@run_async
async def test_a_revoked_key_is_refused_while_the_store_does_not_respond():
    """A view that cannot be confirmed as current admits no keyed request."""
    async with platform_fleet(revoked_after_s=1.0) as fleet:
        assert (await fleet.call('/mine/x'))[0] == 200
        fleet.store.faults.is_silent = True
        fleet.store.put('op/config', configuration(2, keys=()))
        await asyncio.sleep(1.0)
        assert (await fleet.call('/mine/x'))[0] == 503
        assert (await fleet.call('/look/x'))[0] == 200
        fleet.store.faults.is_silent = False
        await wait_until(lambda: fleet.gateways[0].view.table.version == 2)
        assert (await fleet.call('/mine/x', headers={}))[0] == 401


@run_async
async def test_a_newer_configuration_applies_and_an_older_one_is_ignored():
    """The version decides, not the order in which documents were written."""
    async with platform_fleet() as fleet:
        view = fleet.gateways[0].view
        fleet.store.put('op/config', configuration(7, keys=('key-b',)))
        await wait_until(lambda: view.table.version == 7)
        assert (await fleet.call('/mine/x'))[0] == 401
        fleet.store.put('op/config', configuration(5))
        fleet.store.put(
            'servers/late', target_entry('late', 'plain', '1.1.1.1:1')
        )
        await wait_until(lambda: 'late' in view.registry.targets)
        assert view.table.version == 7


@run_async
async def test_changes_are_found_after_the_store_dropped_its_history():
    """A watch from a dropped revision causes a resync."""
    async with platform_fleet() as fleet:
        view = fleet.gateways[0].view
        fleet.store.faults.status = 503
        await asyncio.sleep(0.1)
        fleet.store.delete('servers/plain-0')
        fleet.store.put('op/config', configuration(3))
        fleet.store.drop_history()
        fleet.store.faults.status = 0
        await wait_until(lambda: view.table.version == 3)
        await wait_until(lambda: 'plain-0' not in view.registry.targets)


@run_async
async def test_a_draining_target_gets_no_new_requests():
    """Draining is final for an incarnation, whatever later entries report."""
    async with platform_fleet() as fleet:
        view = fleet.gateways[0].view
        entry = view.registry.targets['plain-0']
        address = entry.address.text
        draining = target_entry('plain-0', 'plain', address, State='draining')
        fleet.store.put('servers/plain-0', draining)
        await wait_until(lambda: 'plain-0' not in view.registry.targets)
        ready = target_entry('plain-0', 'plain', address)
        fleet.store.put('servers/plain-0', ready)
        fleet.store.put('servers/junk', b'\xff not json')
        await asyncio.sleep(0.1)
        for _ in range(6):
            assert (await fleet.call('/book/x', data=b'd'))[0] == 200
        assert not fleet.targets['plain-0'].runs
        restarted = target_entry('plain-0', 'plain', address, born=17)
        fleet.store.put('servers/plain-0', restarted)
        await wait_until(lambda: 'plain-0' in view.registry.targets)


@run_async
async def test_a_request_ends_when_its_caller_disconnects():
    """The request and its load on the target end soon after."""
    async with platform_fleet() as fleet:
        for target in fleet.targets.values():
            target.events = 1000
        disconnects = event_counter(Event.CALLER_GONE)
        before = METRICS.counters[disconnects]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                await fleet.call('/chat/x', headers=MODEL_HEADERS)
        gateway = fleet.gateways[0].gateway
        await wait_until(lambda: gateway.open_requests == 0)
        assert METRICS.counters[disconnects] == before + 1
        loads = fleet.gateways[0].scheduler.loads.values()
        assert not any(load.running for load in loads)


@run_async
async def test_shutdown_completes_requests_in_flight():
    """Streams in flight are completed before new connections are refused."""
    async with platform_fleet(grace_s=6.0) as fleet:
        view = fleet.gateways[0].view
        long_timeout = configuration(2, stream={'TimeoutMs': 9000})
        fleet.store.put('op/config', long_timeout)
        await wait_until(lambda: view.table.version == 2)
        for target in fleet.targets.values():
            target.events = 350
        stream = asyncio.ensure_future(
            fleet.call(
                '/chat/x',
                headers={**MODEL_HEADERS, 'Dandelionplank-Deadline-Ms': '9000'},
            ),
        )
        await asyncio.sleep(0.1)
        shutdown = asyncio.ensure_future(fleet.gateways[0].shut_down())
        await asyncio.sleep(0.1)
        status, _, headers = await fleet.call('/look/x')
        assert (status, headers['Connection']) == (200, 'close')
        status, body, _ = await stream
        assert (status, body.count(b'id: ')) == (200, 350)
        await shutdown


@run_async
async def test_a_new_instance_reads_the_cached_parts_of_engines():
    """Warm-up skips an engine that returns no list of its cached parts."""
    async with platform_fleet() as fleet:
        engine = fleet.targets['llm-0']
        engine.cached_parts = {'ab': 200, 'ef': 70}
        fleet.targets['llm-1'].cached_parts = b'not a list'
        await fleet.gateways[0].warmup.run()
        loads = fleet.gateways[0].scheduler.loads
        assert loads['llm-0'].prefix_cache.parts == engine.cached_parts
        assert not loads['llm-1'].prefix_cache.parts


@run_async
async def test_instances_receive_the_load_of_their_peers():
    """Reports carry the requests and the cached prompt parts of targets."""
    async with platform_fleet(gateways=2) as fleet:
        for gateway in fleet.gateways:
            await wait_until(functools.partial(_has_reports, gateway))
        for target in fleet.targets.values():
            target.events = 60
        stream = asyncio.ensure_future(
            fleet.call('/chat/x', gateway=1, headers=MODEL_HEADERS),
        )
        await wait_until(lambda: any(map(_count_running, fleet.gateways)))
        # One of them owns the pool of the targets and counts the request.
        other, owner = sorted(fleet.gateways, key=_count_running)
        assert (_count_running(other), _count_running(owner)) == (0, 1)

        def is_reported():
            return any(
                other.peer_loads.share_of(name).running
                for name in fleet.targets
            )

        await wait_until(is_reported)
        cached = [
            load.prefix_cache.parts
            for load in other.scheduler.loads.values()
            if load.prefix_cache and load.prefix_cache.parts
        ]
        assert cached in ([], [{'ab': 200}])
        assert (await stream)[0] == 200
        assert other.exchange.instance_count == 2


def _has_reports(gateway):
    """Return whether a gateway has the report of another one."""
    return len(gateway.peer_loads.reports) == 1


def _count_running(gateway):
    """Return how many requests a gateway counts at targets itself."""
    return sum(load.running for load in gateway.scheduler.loads.values())


@run_async
async def test_a_write_to_a_closed_connection_cancels_the_request():
    """The caller's connection may close between two events of a stream."""
    sink = StreamSink(mock.Mock(), closes_connection=bool)
    sink.response = mock.Mock()
    sink.response.write = mock.AsyncMock(
        side_effect=ClientConnectionResetError('closing transport'),
    )
    with contextlib.suppress(asyncio.CancelledError):
        await sink.write(b'data: 1\n\n')
        raise AssertionError('the write did not cancel the request')


def write_settings(path, gateway, **bounds):
    """Write a gateway's settings file with changed bounds."""
    document = msgspec.to_builtins(gateway.settings)
    document['bounds'].update(bounds)
    path.write_text(yaml.safe_dump(document), encoding='utf-8')


@run_async
async def test_changed_settings_are_applied_without_a_signal():
    """A running process applies new bounds and rejects invalid settings."""
    async with platform_fleet(gateways=1) as fleet:
        gateway = only(fleet.gateways)
        path = gateway.settings_follower.path
        write_settings(path, gateway, revoked_after_s=7, repeat_extra=9)
        await wait_until(lambda: math.isclose(gateway.view.revoked_after_s, 7))
        assert math.isclose(gateway.budgets.limits.extra, 9)
        rejections = event_counter(Event.SETTINGS_REJECTED)
        before = METRICS.counters[rejections]
        path.write_text('bounds: [', encoding='utf-8')
        gateway.settings_follower.signalled.set()
        await wait_until(lambda: METRICS.counters[rejections] > before)
        assert math.isclose(gateway.view.revoked_after_s, 7)


@contextlib.asynccontextmanager
async def shared_watch_fleet():
    """Run three gateways of which one watches the store."""
    with (
        mock.patch.object(confirmation, 'MIN_SHARED_WATCH_FLEET', 3),
        mock.patch.object(confirmation, 'WATCHER_COUNT', 1),
    ):
        async with platform_fleet(gateways=3) as fleet:
            await wait_until(
                lambda: all(
                    len(gateway.peer_loads.reports) == 2
                    for gateway in fleet.gateways
                ),
            )
            yield fleet


@run_async
async def test_changes_reach_instances_that_do_not_watch_the_store():
    """One instance watches the store; all apply a new configuration."""
    async with shared_watch_fleet() as fleet:
        roles = [gateway.exchange.watcher_role for gateway in fleet.gateways]
        assert [role.is_watcher for role in roles].count(True) == 1
        fleet.store.put('op/config', configuration(2, keys=('key-b',)))
        await wait_until(
            lambda: all(
                gateway.view.table.version == 2 for gateway in fleet.gateways
            ),
        )


@run_async
async def test_a_confirmed_view_stays_current_without_store_calls():
    """Queries to the watcher replace calls to the store."""
    async with shared_watch_fleet() as fleet:
        await asyncio.sleep(1)
        with mock.patch.object(
            StoreChangeSource,
            'follow',
            autospec=True,
            side_effect=StoreChangeSource.follow,
        ) as follow:
            await asyncio.sleep(2)
        sources = [call.args[0] for call in follow.call_args_list]
        watchers = [
            gateway.parts.source
            for gateway in fleet.gateways
            if gateway.exchange.watcher_role.is_watcher
        ]
        assert set(sources) == set(watchers)
        for gateway in fleet.gateways:
            assert gateway.view.may_reject_unknown
            assert not gateway.view.is_stale


@run_async
async def test_an_instance_reads_the_store_if_watchers_do_not_respond():
    """Without confirmations, the view is kept current by store calls."""
    async with shared_watch_fleet() as fleet:
        for gateway in fleet.gateways:
            gateway.exchange.receivers[ViewQuery] = mock.Mock()
        fleet.store.put('op/config', configuration(2, keys=('key-b',)))
        await wait_until(
            lambda: all(
                gateway.view.table.version == 2 for gateway in fleet.gateways
            ),
        )


@run_async
async def test_a_change_costs_only_the_watcher_a_store_call():
    """The watcher passes changes on; targets and keys follow everywhere."""
    async with shared_watch_fleet() as fleet:
        await asyncio.sleep(1)
        with mock.patch.object(
            StoreChangeSource,
            'follow',
            autospec=True,
            side_effect=StoreChangeSource.follow,
        ) as follow:
            for number in range(6):
                name = f'added-{number}'
                entry = target_entry(name, 'plain', '127.0.0.1:9')
                fleet.store.put(f'servers/{name}', entry)
                await asyncio.sleep(0.1)
            fleet.store.delete('servers/added-0')
            fleet.store.put('op/config', configuration(2, keys=('key-b',)))
            await wait_until(
                lambda: all(
                    gateway.view.table.version == 2
                    for gateway in fleet.gateways
                ),
            )
            for gateway in fleet.gateways:
                targets = gateway.view.registry.targets
                assert 'added-5' in targets
                assert 'added-0' not in targets
        callers = {call.args[0] for call in follow.call_args_list}
        assert callers == {
            gateway.parts.source
            for gateway in fleet.gateways
            if gateway.exchange.watcher_role.is_watcher
        }


@run_async
async def test_an_unexpected_error_restarts_a_task_and_not_the_process():
    """Each task of the daemon survives one error inside it."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        failures = event_counter(Event.TASK_FAILED)
        before = METRICS.counters[failures]
        for owner, method in (
            (gateway.pool_owner, 'expire'),
            (gateway.pool_client, 'list_grants'),
            (gateway.pool, 'close_expired'),
            (gateway.exchange, 'send_report'),
            (gateway.follower.source, 'follow'),
            (gateway.view.registry, 'expire'),
            (gateway.parts.presence, 'renew'),
        ):
            with mock.patch.object(
                owner, method, side_effect=RuntimeError(method)
            ) as failing:
                await wait_until(functools.partial(getattr, failing, 'called'))
        await wait_until(lambda: METRICS.counters[failures] >= before + 6)
        assert not gateway.stopping.is_set()
        assert not any(task.done() for task in gateway.supervisor.tasks[:5])
        assert (await fleet.call('/mine/x'))[0] == 200


@run_async
async def test_a_message_that_cannot_be_handled_ends_nothing():
    """A peer's message with senseless values costs only itself."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        nan = math.nan
        for message in (
            Ticket(
                'i', 1, '#', '', '', nan, nan, nan, '', -1, -1, (), (), False
            ),
            Ticket('i', 2, 'llm#0', '', '', 1, 1, 1, 'm', 9, 9, (), (), False),
            TicketEvents('i', ((1, TicketEvent.ENDED), (9, TicketEvent.FULL))),
            OpenGrants('i', (OpenGrant(3, 'llm#0', 'llm-0', nan, False),)),
            TicketGrant('i', 1, 'x', nan, nan),
        ):
            block = msgspec.msgpack.encode(message)
            gateway.exchange.datagram_received(block, ('127.0.0.1', 1))
        gateway.exchange.datagram_received(b'\xff', ('127.0.0.1', 1))
        await asyncio.sleep(0.1)
        assert (await fleet.call('/mine/x'))[0] == 200
        status, body, _ = await fleet.call('/chat/x', headers=MODEL_HEADERS)
        assert (status, body) == (200, COMPLETE_STREAM)


class SlowConfirmer:
    """Responds after a delay, as over a slow link or after a suspension."""

    delay_s = 0.3
    watcher_role = WatcherRole('a', ('b',), is_shared=True)

    async def query(self, role):
        """Confirm the view after the delay."""
        await asyncio.sleep(self.delay_s)
        revision = StoreRevision(1, 7)
        return ViewResponse(1, revision, 0.1, revision)


@run_async
async def test_a_confirmation_is_dated_to_the_start_of_its_query():
    """A delayed response must not make the view look more recent."""
    view = FleetView(5.0)
    view.revision = StoreRevision(1, 7)
    follower = StoreFollower(
        view, None, 1.2, lambda names: None, SlowConfirmer()
    )
    assert await follower._confirm_with_watchers()
    assert view.age_s > SlowConfirmer.delay_s
    view.revision = StoreRevision(1, 8)
    confirmed_s = view.confirmed_s
    await follower._confirm_with_watchers()
    assert math.isclose(view.confirmed_s, confirmed_s)
    view.confirmed_s = -math.inf
    assert not await follower._confirm_with_watchers()


@run_async
async def test_refused_connections_spend_no_retry_budget():
    """After each refusal, the next target is tried until one accepts."""
    async with platform_fleet(engines=1, repeat_extra=0.1) as fleet:
        for port in reserve_ports(5):
            name = f'lost-{port}'
            address = f'127.0.0.1:{port}'
            fleet.store.put(
                f'servers/{name}',
                target_entry(name, 'plain', address),
            )
        gateway = only(fleet.gateways)
        await wait_until(lambda: len(gateway.view.targets_of('plain')) == 6)
        status, _, _ = await fleet.call('/book/x', method='POST')
        assert status == 200


async def keep_calling(fleet, caller, answered, is_stopped):
    """Book one thing after the other, and record what was answered."""
    number = 0
    while not is_stopped.is_set():
        number += 1
        body = b'%d.%d' % (caller, number)
        try:
            status, answer, _ = await fleet.call('/book/x', data=body)
        except aiohttp.ClientError:
            continue
        if status == 200:
            assert answer == body
            answered.append(body)


@run_async
async def test_a_planned_stop_under_load_leaves_no_executed_call_unanswered():
    """Callers go on using their connections until the gateway closes them."""
    async with platform_fleet(grace_s=6.0) as fleet:
        for target in fleet.targets.values():
            target.faults.delay_s = 0.03
        answered = []
        is_stopped = asyncio.Event()
        callers = [
            asyncio.ensure_future(
                keep_calling(fleet, caller, answered, is_stopped)
            )
            for caller in range(12)
        ]
        await asyncio.sleep(0.2)
        await fleet.gateways[0].shut_down()
        is_stopped.set()
        await asyncio.gather(*callers)
        assert len(answered) > 100
        assert sorted(run.body for run in fleet.runs()) == sorted(answered)


@run_async
async def test_a_request_whose_caller_has_left_is_not_passed_on():
    """A busy instance reads the request and the close at the same time."""
    async with platform_fleet(engines=1) as fleet:
        assert (await fleet.call('/look/x'))[0] == 200
        url = URL(fleet.urls[0])
        headers = request_headers('left', 'key-a')
        lines = [f'{name}: {text}' for name, text in headers.items()]
        head = '\r\n'.join(('GET /look/x HTTP/1.1', *lines, '', ''))
        for _ in range(20):
            _, writer = await asyncio.open_connection(url.host, url.port)
            await asyncio.sleep(0.01)
            writer.write(head.encode())
            writer.close()
        await asyncio.sleep(0.2)
        assert len(fleet.runs()) == 1


async def stop_when_requests_arrive(fleet, heads, arrive):
    """Stop a gateway; requests arrive when its idle connections close.

    :param arrive: called with the gateway's server, the callers' writers and
        the heads of their requests
    :return: the responses, read until the connections close
    """
    daemon = fleet.gateways[0]
    url = URL(fleet.urls[0])
    callers = [await asyncio.open_connection(url.host, url.port) for _ in heads]
    await wait_until(
        lambda: len(daemon.server.server.connections) == len(heads)
    )
    stop_accepting = daemon.server.stop_accepting

    def stop_accepting_late():
        arrive(daemon.server.server, [each[1] for each in callers], heads)
        stop_accepting()

    with (
        mock.patch.object(daemon_module, 'BALANCER_REMOVAL_S', 0.05),
        mock.patch.object(daemon.server, 'stop_accepting', stop_accepting_late),
    ):
        await daemon.shut_down()
    assert not daemon.gateway.open_requests
    async with asyncio.timeout(1):
        return [await reader.read() for reader, _ in callers]


def request_head(request_id, *extra):
    """Return the head of a request, without a body unless a line states it.

    :param extra: lines of further headers
    """
    headers = request_headers(request_id, 'key-a')
    lines = [f'{name}: {text}' for name, text in headers.items()]
    lines.extend(extra)
    return '\r\n'.join(('GET /look/x HTTP/1.1', *lines, '', '')).encode()


@run_async
async def test_the_process_does_not_end_before_a_request_that_it_has_read():
    """The request is parsed, but its handler has not started to count it."""

    def arrive(server, _, heads):
        for connection, head in zip(server.connections, heads, strict=True):
            connection.data_received(head)

    async with platform_fleet(grace_s=6.0) as fleet:
        for target in fleet.targets.values():
            target.faults.delay_s = 0.2
        heads = [request_head(f'read-{number}') for number in range(3)]
        responses = await stop_when_requests_arrive(fleet, heads, arrive)
        assert len(fleet.runs()) == len(heads)
        for response in responses:
            assert response.startswith(b'HTTP/1.1 200')


@run_async
async def test_a_request_in_the_socket_is_answered_at_a_planned_stop():
    """The request was sent before its idle connection is closed."""

    def arrive(_, writers, heads):
        for writer, head in zip(writers, heads, strict=True):
            writer.write(head)

    async with platform_fleet(grace_s=6.0) as fleet:
        for target in fleet.targets.values():
            target.faults.delay_s = 0.2
        heads = [request_head(f'sent-{number}') for number in range(3)]
        responses = await stop_when_requests_arrive(fleet, heads, arrive)
        for response in responses:
            assert response.startswith(b'HTTP/1.1 200')


@run_async
async def test_a_request_read_as_idle_connections_close_is_answered():
    """In each turn of the loop one connection reads a whole request."""
    read = []

    def arrive(server, _, heads):
        read.append(
            asyncio.ensure_future(receive_in_turns(server.connections, heads))
        )

    with mock.patch.object(server_module, 'REQUEST_ARRIVAL_S', 0):
        async with platform_fleet(grace_s=6.0) as fleet:
            heads = [request_head(f'turn-{number}') for number in range(16)]
            responses = await stop_when_requests_arrive(fleet, heads, arrive)
            served = [
                number
                for number, response in enumerate(responses)
                if response.startswith(b'HTTP/1.1 200')
            ]
            delivered = await only(read)
            assert served == delivered, (served, delivered)


@run_async
async def test_a_body_is_read_after_idle_connections_have_closed():
    """In each turn of the loop one connection reads the head of a request."""
    pieces = (b'in two', b' pieces')
    length = f'Content-Length: {sum(map(len, pieces))}'
    writing = []

    async def send(server, writers, heads):
        read = await receive_in_turns(server.connections, heads)
        for piece in pieces:
            await asyncio.sleep(0.15)
            for number in read:
                writers[number].write(piece)
        return read

    def arrive(server, writers, heads):
        writing.append(asyncio.ensure_future(send(server, writers, heads)))

    with mock.patch.object(server_module, 'REQUEST_ARRIVAL_S', 0):
        async with platform_fleet(grace_s=2.0) as fleet:
            heads = [
                request_head(f'turn-{number}', length) for number in range(16)
            ]
            responses = await stop_when_requests_arrive(fleet, heads, arrive)
            read = await only(writing)
            for number in read:
                assert responses[number].startswith(b'HTTP/1.1 200')
            assert len(read) > REQUEST_START_TURNS
            assert {run.body for run in fleet.runs()} == {b''.join(pieces)}


async def receive_in_turns(connections, heads):
    """Let one open connection a turn of the loop read a request.

    :return: the numbers of the connections that have read one
    """
    read = []
    for number, connection in enumerate(connections):
        if connection.connected and connection.transport.is_reading():
            connection.data_received(heads[number])
            read.append(number)
        await asyncio.sleep(0)
    return read


@run_async
async def test_a_connection_accepted_at_the_last_moment_is_served():
    """The connection has been accepted, but not yet added to the others."""
    for turns in range(6):
        async with platform_fleet(grace_s=3.0) as fleet:
            for target in fleet.targets.values():
                target.faults.delay_s = 0.2
            url = URL(fleet.urls[0])
            with (
                mock.patch.object(daemon_module, 'BALANCER_REMOVAL_S', 0),
                socket.create_connection((url.host, url.port)) as caller,
            ):
                caller.sendall(request_head(f'accepted-{turns}'))
                for _ in range(turns):
                    await asyncio.sleep(0)
                await fleet.gateways[0].shut_down()
                assert not fleet.gateways[0].gateway.open_requests
                caller.setblocking(False)
                if fleet.runs():
                    assert caller.recv(12) == b'HTTP/1.1 200'


@run_async
async def test_a_planned_stop_ends_within_a_short_grace():
    """The process would be killed before its open requests have ended."""
    grace_s = 2.0
    async with platform_fleet(grace_s=grace_s) as fleet:
        for target in fleet.targets.values():
            target.faults.delay_s = 1.0
        call = asyncio.ensure_future(fleet.call('/look/x'))
        await wait_until(fleet.runs)
        async with asyncio.timeout(grace_s):
            await fleet.gateways[0].shut_down()
        status, _, _ = await call
        assert status == 200
