"""Gateways on stand-ins of the platform: promises under failure."""

import asyncio
import contextlib
import math
from pathlib import Path
from unittest import mock

import aiohttp
import msgspec
import yaml
from aiohttp.client_exceptions import ClientConnectionResetError

from bench.fleet import reserve_ports
from bench.platform import (
    MODEL_HEADERS,
    WHOLE_STREAM,
    configuration,
    entry_of,
)
from dandelionplank.events import Event
from dandelionplank.fleet import vouching
from dandelionplank.fleet.follower import StoreFollower
from dandelionplank.fleet.settings import GatewaySettings
from dandelionplank.fleet.view import FleetView
from dandelionplank.fleet.vouching import ViewResponse, WatcherRole
from dandelionplank.ingress.sinks import StreamSink
from dandelionplank.metrics import METRICS
from dandelionplank.platform.follow import StoreChanges
from dandelionplank.settings import parse_yaml
from dandelionplank_standins.platformengine import TargetFaults
from tests.fixtures import eventually, only, run_async
from tests.platformfleet import platform_fleet

TEMPLATE = Path(__file__).parent.parent / 'deploy' / 'settings.yaml'
FIELDS = {
    'NodeName|json': '"front-a-1"',
    'Zone|json': '"a"',
    'Region|json': '"r"',
    'ListenAddrs.Front|json': '"10.1.0.33:8783"',
    'ListenAddrs.Ready|json': '"10.1.0.33:8780"',
    'BindIp': '10.1.0.33',
    'PortRange.0': '7400',
    'Provider.Addr|json': '"10.200.1.7:8781"',
    'HeartbeatMs': '1200',
    'Bounds.RevokeMs': '5000',
    'Bounds.GraceS': '8',
    'Bounds.BudgetRatio': '0.2',
    'Bounds.BudgetExtra': '56',
    'Bounds.BudgetWindowS': '10',
}


async def when(condition):
    """Wait until a plain condition holds."""

    async def check():
        return condition()

    await eventually(check, period_s=0.01)


def event_counter(event):
    """Return the key of the counter of an event's log lines."""
    return ('events_total', (('event', str(event.number)),))


def test_the_settings_template_gives_valid_settings():
    """The template, filled as the platform does, passes our own checks."""
    text = TEMPLATE.read_text(encoding='utf-8')
    for name, filled in FIELDS.items():
        text = text.replace(name.join(('{{', '}}')), filled)
    assert '{{' not in text
    settings = parse_yaml(text, GatewaySettings, origin='template')
    assert settings.listen.peers == '10.1.0.33:7400'
    assert math.isclose(settings.bounds.revoked_after_s, 5)
    assert math.isclose(settings.store.target_report_s, 1.2)


@run_async
async def test_a_request_reaches_its_target_byte_for_byte():
    """Path, query, body and unknown headers are passed on unchanged."""
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
async def test_a_stream_is_passed_on_whole_and_names_the_account():
    """All events arrive once, and the target learns the key's account."""
    async with platform_fleet() as fleet:
        status, body, _ = await fleet.call('/chat/x', headers=MODEL_HEADERS)
        run = only(fleet.runs())
    assert (status, body) == (200, WHOLE_STREAM)
    assert run.headers['Dandelionplank-Tenant'] == 'account-a'


@run_async
async def test_unknown_routes_and_keys_are_denied():
    """A current view answers 404 and 401."""
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
async def test_a_lost_answer_is_unknown_and_never_a_second_run():
    """A booking whose answer is lost ends as 502 and has run once."""
    async with platform_fleet() as fleet:
        for target in fleet.targets.values():
            target.faults.loses = 1
        status, _, headers = await fleet.call('/book/x', data=b'deposit')
        assert status == 502
        assert 'Retry-After' not in headers
        assert len(fleet.runs()) == 1


@run_async
async def test_a_target_that_sheds_is_replaced_by_another():
    """What a target says it did not run is tried elsewhere."""
    async with platform_fleet() as fleet:
        fleet.targets['plain-0'].faults.sheds = 1
        fleet.targets['plain-1'].faults.sheds = 1
        status, _, headers = await fleet.call('/book/x', data=b'deposit')
        assert status == 503
        assert float(headers['Retry-After']) > 0
        assert not fleet.runs()
        fleet.targets['plain-0'].faults.sheds = 1
        await asyncio.sleep(0.2)
        assert (await fleet.call('/book/x', data=b'deposit'))[0] == 200
        assert len(fleet.runs()) == 1


@run_async
async def test_a_failed_safe_request_is_repeated_once():
    """A target's error on a safe route is tried at another target."""
    async with platform_fleet() as fleet:
        for target in fleet.targets.values():
            target.faults.fails = 1
        assert (await fleet.call('/look/x'))[0] == 500
        assert len(fleet.runs()) == 2
        assert (await fleet.call('/look/x'))[0] == 200


@run_async
async def test_not_run_is_never_said_of_what_may_have_run():
    """After a run, a repeat that nobody takes leaves the outcome open."""
    async with platform_fleet() as fleet:
        once = TargetFaults(loses=1, runs_left=1)
        for target in fleet.targets.values():
            target.faults = once
        assert (await fleet.call('/look/x'))[0] == 502
        assert len(fleet.runs()) == 1


@run_async
async def test_a_targets_failure_is_passed_on_if_the_repeat_fails():
    """The answer that a target made is not replaced by our own."""
    async with platform_fleet() as fleet:
        once = TargetFaults(fails=1, runs_left=1)
        for target in fleet.targets.values():
            target.faults = once
        status, _, headers = await fleet.call('/look/x')
        assert status == 500
        assert 'Dandelionplank-Server-Stamp' in headers


@run_async
async def test_an_answer_to_another_request_is_skipped():
    """A stray answer in front of the own one reaches nobody."""
    async with platform_fleet(engines=1) as fleet:
        fleet.targets['plain-0'].faults.strays = 1
        status, body, _ = await fleet.call('/book/x', data=b'mine')
        assert (status, body) == (200, b'mine')


@run_async
async def test_a_resumable_stream_goes_on_at_another_target():
    """Events come once and in order though the first target broke off."""
    async with platform_fleet() as fleet:
        once = TargetFaults(breaks_after=2)
        for target in fleet.targets.values():
            target.faults = once
        status, body, _ = await fleet.call('/draft/x', headers=MODEL_HEADERS)
        assert (status, body) == (200, WHOLE_STREAM)
        assert len(fleet.runs()) == 2


@run_async
async def test_a_stream_that_breaks_off_does_not_look_complete():
    """Without resuming, the caller sees that the answer is cut."""
    async with platform_fleet() as fleet:
        for target in fleet.targets.values():
            target.faults.breaks_after = 2
        cut = False
        try:
            await fleet.call('/chat/x', headers=MODEL_HEADERS)
        except aiohttp.ClientError:
            cut = True
        assert cut
        assert len(fleet.runs()) == 1


@run_async
async def test_a_revoked_key_is_refused_while_the_store_is_silent():
    """A view that cannot be proven current admits no keyed request."""
    async with platform_fleet(revoked_after_s=1.0) as fleet:
        assert (await fleet.call('/mine/x'))[0] == 200
        fleet.store.faults.is_silent = True
        fleet.store.put('op/config', configuration(2, keys=()))
        await asyncio.sleep(1.0)
        assert (await fleet.call('/mine/x'))[0] == 503
        assert (await fleet.call('/look/x'))[0] == 200
        fleet.store.faults.is_silent = False
        await when(lambda: fleet.gateways[0].view.table.version == 2)
        assert (await fleet.call('/mine/x', headers={}))[0] in {200, 401}


@run_async
async def test_a_configuration_is_in_force_and_never_falls_back():
    """A newer version counts at once; an older one is ignored."""
    async with platform_fleet() as fleet:
        view = fleet.gateways[0].view
        fleet.store.put('op/config', configuration(7, keys=('key-b',)))
        await when(lambda: view.table.version == 7)
        assert (await fleet.call('/mine/x'))[0] == 401
        fleet.store.put('op/config', configuration(5))
        fleet.store.put('servers/late', entry_of('late', 'plain', '1.1.1.1:1'))
        await when(lambda: 'late' in view.registry.targets)
        assert view.table.version == 7


@run_async
async def test_changes_are_found_after_the_store_forgot_its_history():
    """A watch that comes too late reads everything again."""
    async with platform_fleet() as fleet:
        view = fleet.gateways[0].view
        fleet.store.faults.status = 503
        await asyncio.sleep(0.1)
        fleet.store.delete('servers/plain-0')
        fleet.store.put('op/config', configuration(3))
        fleet.store.drop_history()
        fleet.store.faults.status = 0
        await when(lambda: view.table.version == 3)
        await when(lambda: 'plain-0' not in view.registry.targets)


@run_async
async def test_a_draining_target_gets_no_more_work():
    """Draining is final, whatever a later entry says."""
    async with platform_fleet() as fleet:
        view = fleet.gateways[0].view
        entry = view.registry.targets['plain-0']
        address = entry.address.text
        draining = entry_of('plain-0', 'plain', address, State='draining')
        fleet.store.put('servers/plain-0', draining)
        await when(lambda: 'plain-0' not in view.registry.targets)
        ready = entry_of('plain-0', 'plain', address)
        fleet.store.put('servers/plain-0', ready)
        fleet.store.put('servers/junk', b'\xff not json')
        await asyncio.sleep(0.1)
        for _ in range(6):
            assert (await fleet.call('/book/x', data=b'd'))[0] == 200
        assert not fleet.targets['plain-0'].runs
        restarted = entry_of('plain-0', 'plain', address, born=17)
        fleet.store.put('servers/plain-0', restarted)
        await when(lambda: 'plain-0' in view.registry.targets)


@run_async
async def test_a_caller_that_leaves_ends_the_work():
    """A stream's target sees the connection close soon after."""
    async with platform_fleet() as fleet:
        for target in fleet.targets.values():
            target.events = 1000
        told = event_counter(Event.CALLER_GONE)
        before = METRICS.counters[told]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.3):
                await fleet.call('/chat/x', headers=MODEL_HEADERS)
        gateway = fleet.gateways[0].gateway
        await when(lambda: gateway.open_requests == 0)
        assert METRICS.counters[told] == before + 1
        loads = fleet.gateways[0].scheduler.loads.values()
        assert not any(load.running for load in loads)


@run_async
async def test_shutdown_cuts_off_no_request():
    """Streams in flight end whole; then new connections are refused."""
    async with platform_fleet(grace_s=6.0) as fleet:
        view = fleet.gateways[0].view
        longer = configuration(2, stream={'TimeoutMs': 9000})
        fleet.store.put('op/config', longer)
        await when(lambda: view.table.version == 2)
        for target in fleet.targets.values():
            target.events = 350
        stream = asyncio.ensure_future(
            fleet.call(
                '/chat/x',
                headers={**MODEL_HEADERS, 'Dandelionplank-Deadline-Ms': '9000'},
            ),
        )
        await asyncio.sleep(0.1)
        leaving = asyncio.ensure_future(fleet.gateways[0].shut_down())
        await asyncio.sleep(0.1)
        status, _, headers = await fleet.call('/look/x')
        assert (status, headers['Connection']) == (200, 'close')
        status, body, _ = await stream
        assert (status, body.count(b'id: ')) == (200, 350)
        await leaving


@run_async
async def test_a_new_instance_learns_what_the_engines_keep():
    """Engines are asked once at the start; one that is silent is skipped."""
    async with platform_fleet() as fleet:
        kept = fleet.targets['llm-0']
        kept.cached_parts = {'ab': 200, 'ef': 70}
        fleet.targets['llm-1'].cached_parts = None
        await fleet.gateways[0].warmup.run()
        loads = fleet.gateways[0].scheduler.loads
        assert loads['llm-0'].residency.parts == kept.cached_parts
        assert not loads['llm-1'].residency.parts


@run_async
async def test_instances_know_each_others_load():
    """Reports carry what is sent where, and what prompts are kept there."""
    async with platform_fleet(gateways=2) as fleet:
        first, second = fleet.gateways
        await when(lambda: len(first.peer_loads.reports) == 1)
        for target in fleet.targets.values():
            target.events = 60
        stream = asyncio.ensure_future(
            fleet.call('/chat/x', gateway=1, headers=MODEL_HEADERS),
        )

        def is_seen():
            return any(
                first.peer_loads.share_of(name).running
                for name in fleet.targets
            )

        await when(is_seen)
        kept = [
            load.residency.parts
            for load in first.scheduler.loads.values()
            if load.residency and load.residency.parts
        ]
        assert kept in ([], [{'ab': 200}])
        assert (await stream)[0] == 200
        assert second.exchange.instance_count == 2


@run_async
async def test_a_write_after_the_caller_left_ends_like_its_leaving():
    """The caller's connection may close between two events."""
    sink = StreamSink(mock.Mock(), closes_connection=False)
    sink.response = mock.Mock()
    sink.response.write = mock.AsyncMock(
        side_effect=ClientConnectionResetError('closing transport'),
    )
    with contextlib.suppress(asyncio.CancelledError):
        await sink.write(b'data: 1\n\n')
        raise AssertionError('the write did not end the request')


def write_settings(path, gateway, **bounds):
    """Write a gateway's settings file with other bounds."""
    document = msgspec.to_builtins(gateway.settings)
    document['bounds'].update(bounds)
    path.write_text(yaml.safe_dump(document), encoding='utf-8')


@run_async
async def test_changed_settings_are_applied_without_a_signal():
    """Bounds change in a running process; broken settings change nothing."""
    async with platform_fleet(gateways=1) as fleet:
        gateway = only(fleet.gateways)
        path = gateway.settings_follower.path
        write_settings(path, gateway, revoked_after_s=7, repeat_extra=9)
        await when(lambda: math.isclose(gateway.view.revoked_after_s, 7))
        assert math.isclose(gateway.budgets.limits.extra, 9)
        told = event_counter(Event.SETTINGS_REJECTED)
        rejected = METRICS.counters[told]
        path.write_text('bounds: [', encoding='utf-8')
        gateway.settings_follower.signalled.set()
        await when(lambda: METRICS.counters[told] > rejected)
        assert math.isclose(gateway.view.revoked_after_s, 7)


@contextlib.asynccontextmanager
async def vouching_fleet():
    """Run three gateways of which one watches the store."""
    with (
        mock.patch.object(vouching, 'MIN_SHARED_WATCH_FLEET', 3),
        mock.patch.object(vouching, 'WATCHER_COUNT', 1),
    ):
        async with platform_fleet(gateways=3) as fleet:
            await when(
                lambda: all(
                    len(gateway.peer_loads.reports) == 2
                    for gateway in fleet.gateways
                ),
            )
            yield fleet


@run_async
async def test_instances_that_do_not_watch_learn_of_changes():
    """One instance watches; a revoked key is refused by all in time."""
    async with vouching_fleet() as fleet:
        roles = [gateway.exchange.watcher_role for gateway in fleet.gateways]
        assert [role.is_watcher for role in roles].count(True) == 1
        fleet.store.put('op/config', configuration(2, keys=('key-b',)))
        await when(
            lambda: all(
                gateway.view.table.version == 2 for gateway in fleet.gateways
            ),
        )


@run_async
async def test_a_vouched_view_stays_current_without_own_calls():
    """Questions to the watcher take the place of calls to the store."""
    async with vouching_fleet() as fleet:
        await asyncio.sleep(1)
        with mock.patch.object(
            StoreChanges,
            'follow',
            autospec=True,
            side_effect=StoreChanges.follow,
        ) as followed:
            await asyncio.sleep(2)
        sources = [call.args[0] for call in followed.call_args_list]
        watchers = [
            gateway.parts.source
            for gateway in fleet.gateways
            if gateway.exchange.watcher_role.is_watcher
        ]
        assert set(sources) == set(watchers)
        for gateway in fleet.gateways:
            assert gateway.view.may_deny
            assert not gateway.view.is_stale


@run_async
async def test_without_answers_an_instance_reads_the_store_itself():
    """Watchers that do not answer leave no view unproven."""
    async with vouching_fleet() as fleet:
        for gateway in fleet.gateways:
            gateway.exchange._respond = lambda question: None
        fleet.store.put('op/config', configuration(2, keys=('key-b',)))
        await when(
            lambda: all(
                gateway.view.table.version == 2 for gateway in fleet.gateways
            ),
        )


class LateVoucher:
    """Answers after a delay, as over a slow link or after a suspension."""

    delay_s = 0.3
    watcher_role = WatcherRole('a', ('b',), is_shared=True)

    async def ask(self, role):
        """Answer late."""
        await asyncio.sleep(self.delay_s)
        return ViewResponse(1, 7, 0.1)


@run_async
async def test_a_late_answer_makes_the_view_no_younger():
    """A proof counts from the moment of the question."""
    view = FleetView(5.0)
    view.revision = 7
    follower = StoreFollower(view, None, 1.2, lambda names: None, LateVoucher())
    assert await follower._confirm_with_watcher()
    assert view.age_s > LateVoucher.delay_s
    view.revision = 8
    assert not await follower._confirm_with_watcher()


@run_async
async def test_many_lost_targets_cost_connections_but_no_request():
    """Refused connections spend no budget; the target that lives is found."""
    async with platform_fleet(engines=1, repeat_extra=0.1) as fleet:
        for port in reserve_ports(5):
            name = f'lost-{port}'
            address = f'127.0.0.1:{port}'
            fleet.store.put(
                f'servers/{name}',
                entry_of(name, 'plain', address),
            )
        gateway = only(fleet.gateways)
        await when(lambda: len(gateway.view.targets_of('plain')) == 6)
        status, _, _ = await fleet.call('/book/x', method='POST')
        assert status == 200
