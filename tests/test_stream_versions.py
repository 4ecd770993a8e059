"""Tests of streams while targets of several software versions serve.

What two versions write does not fit together: a stream goes on at the version
that began it, or not at all.
"""

import asyncio
import contextlib
import time
from unittest import mock

import aiohttp
from nose2.tools import params

from bench.platform import COMPLETE_STREAM, MODEL_HEADERS, configuration
from dandelionplank.errors import ErrorCode, RefusalError, StoreError
from dandelionplank.fleet.clock import boot_time_s
from dandelionplank.fleet.streamrecords import StreamRecordKeeper
from dandelionplank.fleet.view import FleetView
from dandelionplank.routing.streamversions import (
    STREAM_AGE_S,
    StreamOrigin,
    StreamVersions,
)
from dandelionplank_standins.platformtarget import TargetFaults
from tests.fixtures import only, run_async, wait_until
from tests.platformfleet import platform_fleet, stop

OLD = '1'
NEW = '1.2'
BOTH = (OLD, NEW)
TWICE = (OLD, NEW, OLD, NEW)
REPEATS = 8
# Events of a stream that goes on for two seconds.
MANY_EVENTS = 200
# Time after which a stream can be taken up at any instance.
KNOWN_S = 0.7


@contextlib.asynccontextmanager
async def mixed_fleet(versions, *, events=MANY_EVENTS, gateways=1):
    """Run a fleet whose engines have the given software versions."""
    async with platform_fleet(engines=0, gateways=0) as fleet:
        for number, version in enumerate(versions):
            target = await fleet.start_target(
                f'llm-{number}', 'llm', Version=version
            )
            target.version = version
            target.events = events
        await start_gateways(fleet, gateways, versions)
        yield fleet


def are_listed(fleet, versions):
    """Return whether all gateways list targets of these versions alone."""
    return all(
        sorted(each.version for each in gateway.view.targets_of('llm'))
        == sorted(versions)
        for gateway in fleet.gateways
    )


def version_of(fleet, request_id):
    """Return the software version of the target that ran a request."""
    return only(
        [
            target.version
            for target in fleet.targets.values()
            for run in target.runs
            if run.request_id == request_id
        ]
    )


async def drain(fleet, request_id):
    """Give no more work to the target that ran a request."""
    name = only(
        [
            name
            for name, target in fleet.targets.items()
            for run in target.runs
            if run.request_id == request_id
        ]
    )
    fleet.store.delete(f'servers/{name}')
    await wait_until(
        lambda: (
            not any(
                name in gateway.view.registry.targets
                for gateway in fleet.gateways
            )
        )
    )


def has_run(fleet, request_id):
    """Return whether any target ran a request."""
    return request_id in {run.request_id for run in fleet.runs()}


def request_headers(request_id, prompt, **headers):
    """Return the headers of a request.

    :param prompt: id of the prompt, which no other one shares
    """
    return {
        **MODEL_HEADERS,
        'Dandelionplank-Request-Id': request_id,
        'Dandelionplank-Prefix-Hash': f'{prompt}:300',
        **headers,
    }


def begin(fleet, request_id, gateway=0, **headers):
    """Return a context in which the stream of a request is open."""
    prompt = headers.get('Resumes', request_id)
    return fleet.open(
        '/draft/x',
        gateway=gateway,
        headers=request_headers(request_id, prompt, **headers),
    )


async def interrupt(fleet, request_id, gateway=0, **headers):
    """Begin a stream, and close its connection after the first event."""
    async with begin(fleet, request_id, gateway, **headers) as response:
        await response.content.readuntil(b'\n\n')
        response.close()


def taken_up(begun, last_event=1):
    """Return the headers with which a caller takes a stream up."""
    return {'Last-Event-Id': str(last_event), 'Resumes': begun}


async def take_up(fleet, request_id, begun, gateway=0):
    """Take a stream up; return the status of the response."""
    headers = taken_up(begun)
    async with begin(fleet, request_id, gateway, **headers) as response:
        response.close()
        return response.status


async def kill_all(fleet):
    """End all gateways without a planned stop."""
    for daemon in fleet.gateways:
        await stop(daemon)


async def start_gateways(fleet, count, versions):
    """Start gateways and wait until they list targets of these versions."""
    for _ in range(count):
        await fleet.start_gateway()
    await wait_until(
        lambda: all(each.view.is_loaded for each in fleet.gateways)
    )
    await wait_until(lambda: are_listed(fleet, versions))


async def start_again(fleet, versions):
    """Start as many gateways as there were, with the same names."""
    count = len(fleet.gateways)
    fleet.gateways.clear()
    fleet.urls.clear()
    await start_gateways(fleet, count, versions)


@contextlib.asynccontextmanager
async def killed_fleet(versions):
    """Run a fleet with open streams, and kill all gateways.

    :return: the fleet, and the ids of the requests
    """
    request_ids = [f'begun{number}' for number in range(REPEATS)]
    async with mixed_fleet(versions, gateways=2) as fleet:
        async with contextlib.AsyncExitStack() as streams:
            for number, request_id in enumerate(request_ids):
                response = await streams.enter_async_context(
                    begin(fleet, request_id, number % 2)
                )
                await response.content.readuntil(b'\n\n')
            await asyncio.sleep(KNOWN_S)
            await kill_all(fleet)
        yield fleet, request_ids


@run_async
async def test_a_broken_stream_does_not_go_on_at_another_version():
    """A stream held events of two versions and ended as complete."""
    async with mixed_fleet(BOTH, events=5) as fleet:
        shared_faults = TargetFaults(truncate_after=2)
        for target in fleet.targets.values():
            target.faults = shared_faults
        is_truncated = False
        try:
            await fleet.call('/draft/x', headers=MODEL_HEADERS)
        except aiohttp.ClientError:
            is_truncated = True
        assert is_truncated
        assert len(fleet.runs()) == 1


@run_async
async def test_a_broken_stream_goes_on_at_its_own_version():
    """It is resumed as before if a target of its version is left."""
    async with mixed_fleet(TWICE, events=5) as fleet:
        for number in range(REPEATS):
            shared_faults = TargetFaults(truncate_after=2)
            for target in fleet.targets.values():
                target.faults = shared_faults
            async with begin(fleet, f'r{number}') as response:
                assert await response.read() == COMPLETE_STREAM
            versions = [
                target.version
                for target in fleet.targets.values()
                for run in target.runs
                if run.request_id == f'r{number}'
            ]
            assert len(versions) == 2
            assert len(set(versions)) == 1


@run_async
async def test_a_stream_that_a_caller_takes_up_goes_on_at_its_version():
    """It went on at any version, at any instance."""
    async with mixed_fleet(TWICE * REPEATS, gateways=2) as fleet:
        for number in range(REPEATS):
            begun = f'begun{number}'
            await interrupt(fleet, begun)
            await asyncio.sleep(KNOWN_S)
            again = f'again{number}'
            await drain(fleet, begun)
            assert await take_up(fleet, again, begun, number % 2) == 200
            assert version_of(fleet, again) == version_of(fleet, begun)


@run_async
async def test_a_stream_taken_up_twice_stays_at_its_version():
    """The second time, its caller may name the first or the second request."""
    async with mixed_fleet(TWICE) as fleet:
        for number in range(REPEATS):
            first, second, third = (f'{part}{number}' for part in 'abc')
            await interrupt(fleet, first)
            await interrupt(fleet, second, **taken_up(first))
            named = (first, second)[number % 2]
            assert await take_up(fleet, third, named) == 200
            assert version_of(fleet, second) == version_of(fleet, first)
            assert version_of(fleet, third) == version_of(fleet, first)


@run_async
async def test_streams_stay_at_their_version_when_all_instances_were_killed():
    """Streams that were taken up after a kill were joined of two versions."""
    async with killed_fleet(TWICE) as (fleet, request_ids):
        await start_again(fleet, TWICE)
        for number, begun in enumerate(request_ids):
            again = f'again{number}'
            assert await take_up(fleet, again, begun, number % 2) == 200
            assert version_of(fleet, again) == version_of(fleet, begun)
        assert await take_up(fleet, 'againx', 'never') == 503
        assert not has_run(fleet, 'againx')


@run_async
async def test_a_stream_whose_version_left_during_a_kill_is_refused():
    """The targets of the old version had just left; the new one took over."""
    async with killed_fleet(TWICE) as (fleet, request_ids):
        for number, version in enumerate(TWICE):
            if version == OLD:
                fleet.store.delete(f'servers/llm-{number}')
        await start_again(fleet, (NEW, NEW))
        for number, begun in enumerate(request_ids):
            again = f'again{number}'
            is_left = version_of(fleet, begun) == OLD
            expected = 503 if is_left else 200
            assert await take_up(fleet, again, begun) == expected
            assert has_run(fleet, again) is not is_left


@run_async
async def test_streams_of_one_version_need_no_record():
    """They are taken up after a kill, and the store holds nothing of them."""
    async with killed_fleet((OLD, OLD)) as (fleet, request_ids):
        await start_again(fleet, (OLD, OLD))
        for number, begun in enumerate(request_ids):
            assert await take_up(fleet, f'again{number}', begun) == 200
        assert not any(
            key.startswith('streams/') for key in fleet.store.entries
        )


@run_async
async def test_a_stream_that_brought_no_event_may_begin_at_any_version():
    """Its request is retried without the id of an event."""
    async with mixed_fleet(BOTH) as fleet:
        await interrupt(fleet, 'begun')
        await drain(fleet, 'begun')
        async with begin(fleet, 'again', Resumes='begun') as response:
            assert response.status == 200
        assert version_of(fleet, 'again') != version_of(fleet, 'begun')


@run_async
async def test_a_take_up_without_the_id_of_a_request_is_of_unknown_version():
    """It is refused, and no target runs it."""
    async with mixed_fleet(BOTH) as fleet:
        await interrupt(fleet, 'begun')
        assert await take_up(fleet, 'first', 'begun') == 200
        for request_id in ('second', 'third'):
            async with begin(fleet, request_id, **taken_up('')) as response:
                assert response.status == 503
            assert not has_run(fleet, request_id)


@run_async
async def test_accounts_may_use_the_same_id_of_a_request():
    """The stream of one account was taken for that of another one."""
    async with mixed_fleet(BOTH) as fleet:
        changed = configuration(2)
        changed['Tenants'].append({'Name': 'other', 'ApiKeys': ['key-b']})
        fleet.store.put('op/config', changed)
        view = fleet.gateways[0].view
        await wait_until(lambda: view.table.version == 2)
        await interrupt(fleet, 'begun')
        headers = {**taken_up('begun'), 'Dandelionplank-Key': 'key-b'}
        async with begin(fleet, 'again', **headers) as response:
            assert response.status == 503


async def put_out_of_step(daemon, *, reads_records):
    """Let an instance learn nothing more, as one that stands still.

    :param reads_records: it reaches the store again, and has not read what has
        changed there
    """
    refusal = StoreError('status 503', step='store')
    source = daemon.follower.source
    for name in ('follow', 'resync'):
        setattr(source, name, mock.AsyncMock(side_effect=refusal))
    daemon.exchange.transport.close()
    daemon.exchange.transport = None
    if not reads_records:
        daemon.parts.stream_records.read = mock.AsyncMock(side_effect=refusal)


async def replace_all(fleet, gateway):
    """Replace the engines by those of another version; the old ones drain."""
    target = await fleet.start_target('llm-new', 'llm', Version=NEW)
    target.version = NEW
    target.events = MANY_EVENTS
    for name in tuple(fleet.targets):
        if name.startswith('llm') and name != 'llm-new':
            fleet.store.delete(f'servers/{name}')
    await wait_until(
        lambda: (
            [each.version for each in gateway.view.targets_of('llm')] == [NEW]
        )
    )


@params(False, True)
def test_an_instance_out_of_step_joins_no_streams(reads_records):
    """It took a stream up at the only version that it knew.

    Another instance had begun it at a newer one, since no other was left.
    """

    @run_async
    async def run():
        async with mixed_fleet((OLD, OLD), gateways=2) as fleet:
            in_step, out_of_step = fleet.gateways
            await put_out_of_step(out_of_step, reads_records=reads_records)
            await replace_all(fleet, in_step)
            await interrupt(fleet, 'begun')
            assert version_of(fleet, 'begun') == NEW
            await wait_until(
                lambda: any(
                    key.startswith('streams/') for key in fleet.store.entries
                )
            )
            assert await take_up(fleet, 'again', 'begun', gateway=1) == 503
            assert not has_run(fleet, 'again')

    run()


@run_async
async def test_an_old_view_does_not_tell_the_only_version():
    """Public routes are served by an instance that was cut off for long."""
    view = FleetView(revoked_after_s=5)
    store = mock.Mock(read=mock.AsyncMock(return_value={}))
    keeper = StreamRecordKeeper('i', view, store, lambda: 1)
    keeper.versions.see({'llm': {OLD}}, time.monotonic())
    metadata = mock.Mock(last_event_id='1', resumes='begun', request_id='again')
    request = mock.Mock(service='llm', account='', metadata=metadata)
    view.confirm(boot_time_s())
    assert await keeper.allowed_versions(request) == (OLD,)
    view.confirmed_s -= view.revoked_after_s
    try:
        await keeper.allowed_versions(request)
    except RefusalError as error:
        assert error.code is ErrorCode.STREAM_UNKNOWN
    else:
        raise AssertionError('taken up')


def test_a_new_version_takes_streams_once_all_instances_know_it():
    """Streams that it began were taken for those of the only version known."""
    versions = StreamVersions()
    versions.see({'llm': {OLD}}, 0)
    listed = frozenset(BOTH)
    assert not versions.begin_versions('llm', frozenset((OLD,)), 0)
    versions.see({'llm': listed}, 1)
    assert versions.begin_versions('llm', listed, 1) == (OLD,)
    assert not versions.begin_versions('llm', frozenset((NEW,)), 1)
    versions.announce(versions.own_record(1), 2)
    assert versions.begin_versions('llm', listed, 1.9) == (OLD,)
    assert not versions.begin_versions('llm', listed, 2)


def test_versions_that_have_left_count_for_as_long_as_streams_are_taken_up():
    """The record is needed until no caller takes one of their streams up."""
    versions = StreamVersions()
    versions.see({'llm': {OLD, NEW}}, 0)
    versions.record_begin('r', StreamOrigin('llm', OLD), 0)
    versions.see({'llm': {NEW}}, STREAM_AGE_S)
    assert versions.origin_of('other', 'llm', STREAM_AGE_S) is None
    assert versions.own_record(STREAM_AGE_S).streams
    late_s = STREAM_AGE_S + 1
    versions.see({'llm': {NEW}}, late_s)
    assert versions.own_record(late_s) is None
    assert versions.origin_of('other', 'llm', late_s).version == NEW


def test_the_record_of_an_earlier_process_is_taken_over():
    """It names streams and versions that the new process has not seen."""
    before = StreamVersions()
    before.see({'llm': {OLD, NEW}}, 0)
    before.record_begin('r', StreamOrigin('llm', OLD), 0)
    after = StreamVersions()
    after.adopt(before.own_record(1), 1)
    after.see({'llm': {NEW}}, 1)
    assert after.origin_of('r', 'llm', 1).version == OLD
    assert after.origin_of('other', 'llm', 1) is None
    assert after.own_record(1) == before.own_record(1)
