"""Tests of instances that know only a restored store's older copy.

A key that was taken away after the copy was made must not be accepted, whether
or not another instance can tell.
"""

import asyncio
import contextlib
import time
from unittest import mock

import msgspec
from nose2.tools import params

from bench.platform import MODEL_HEADERS, configuration
from dandelionplank.fleet.evidence import (
    BEHIND_LIMIT_S,
    WRITTEN_AGAIN_S,
    ConfigurationRecord,
)
from dandelionplank.fleet.view import FleetView
from dandelionplank.platform.documents import decode_configuration
from tests.fixtures import only, run_async, wait_until
from tests.platformfleet import platform_fleet, stop
from tests.test_removed_keys import document, tenants

RECORD_KEY = 'current/configuration'
# Time within which a configuration that is written is in force.
IN_FORCE_S = 2.0
# Time until the operator writes again, and from then on until it is seen.
LATE_WRITER_S = 4.0
REVOKED_AFTER_S = 5.0


def older_copy(fleet):
    """Return a copy of the store that lists no instance."""
    older = fleet.store.copy()
    for key in tuple(older.entries):
        if key.startswith('fleet/'):
            older.entries.pop(key)
    older.leases.clear()
    return older


async def take_key_away(fleet, gateways, version=4):
    """Write a configuration without "key-a"; wait until it is in force."""
    write_again(fleet, version)
    await wait_until(
        lambda: all(each.view.version == version for each in gateways)
    )


def write_again(fleet, version=4):
    """Write the configuration without "key-a"."""
    fleet.store.put('op/config', configuration(version, keys=('key-b',)))


async def leave(daemon):
    """Stop an instance and remove its entry."""
    await daemon.parts.presence.leave()
    await stop(daemon)


async def status_of(fleet, gateway, key='key-a'):
    """Return the status of a request with a key."""
    headers = {**MODEL_HEADERS, 'Dandelionplank-Key': key}
    return (await fleet.call('/chat/x', gateway=gateway, headers=headers))[0]


async def statuses_for(fleet, gateway, seconds, key='key-a'):
    """Return the statuses of requests with a key for some seconds."""
    found = set()
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        found.add(await status_of(fleet, gateway, key))
        await asyncio.sleep(0.05)
    return found


async def is_served(fleet, gateway, key, limit_s=IN_FORCE_S):
    """Wait until a key is accepted, for a limited time."""
    async with asyncio.timeout(limit_s):
        while await status_of(fleet, gateway, key) != 200:
            await asyncio.sleep(0.05)


async def start_on_copy(fleet, older):
    """Restore the store and start an instance; return its number."""
    fleet.store.restore(older)
    daemon = await fleet.start_gateway()
    await wait_until(lambda: daemon.view.revision is not None)
    return len(fleet.gateways) - 1


@run_async
async def test_a_start_on_a_copy_that_lists_nobody_accepts_no_lost_key():
    """The other instance knows that the key was taken away (review/8)."""
    async with platform_fleet(gateways=2) as fleet:
        older = older_copy(fleet)
        await take_key_away(fleet, fleet.gateways)
        await leave(fleet.gateways[0])
        number = await start_on_copy(fleet, older)
        assert await statuses_for(fleet, number, 2) == {503}
        assert not fleet.runs()
        write_again(fleet)
        await is_served(fleet, number, 'key-b')
        assert await status_of(fleet, number) == 401


@run_async
async def test_a_start_beside_two_instances_that_the_copy_lacks():
    """Both of them know of the key; neither is listed."""
    async with platform_fleet(gateways=3) as fleet:
        older = older_copy(fleet)
        await take_key_away(fleet, fleet.gateways)
        await leave(fleet.gateways[2])
        number = await start_on_copy(fleet, older)
        assert await statuses_for(fleet, number, 1) == {503}
        assert not fleet.runs()


@params(True, False)
def test_a_start_without_any_other_instance_waits_for_the_operator(is_listed):
    """Nobody can tell; a listed one that has ended does not report either."""

    @run_async
    async def check():
        async with platform_fleet(gateways=1) as fleet:
            gateway = only(fleet.gateways)
            await wait_until(
                lambda: gateway.parts.presence.key in fleet.store.entries
            )
            older = fleet.store.copy() if is_listed else older_copy(fleet)
            await take_key_away(fleet, fleet.gateways)
            await leave(gateway)
            number = await start_on_copy(fleet, older)
            assert await statuses_for(fleet, number, LATE_WRITER_S) == {503}
            assert not fleet.runs()
            write_again(fleet)
            await is_served(fleet, number, 'key-b')
            assert await status_of(fleet, number) == 401

    check()


@run_async
async def test_starts_one_after_the_other_on_a_copy_do_not_vouch_for_it():
    """None of them has known another configuration than the copy's."""
    async with platform_fleet(gateways=1) as fleet:
        older = older_copy(fleet)
        await take_key_away(fleet, fleet.gateways)
        await leave(only(fleet.gateways))
        first = await start_on_copy(fleet, older)
        second = len(fleet.gateways)
        later = await fleet.start_gateway()
        await wait_until(lambda: later.peer_loads.reports)
        for number in (first, second):
            assert await statuses_for(fleet, number, 1) == {503}
        assert RECORD_KEY not in fleet.store.entries


@run_async
async def test_a_second_restoration_is_doubted_like_the_first():
    """The record of the era between holds for that era only."""
    async with platform_fleet(gateways=2) as fleet:
        older = older_copy(fleet)
        fleet.store.restore(older)
        await wait_until(lambda: RECORD_KEY in fleet.store.entries)
        recorded = older_copy(fleet)
        await take_key_away(fleet, fleet.gateways)
        for daemon in fleet.gateways:
            await leave(daemon)
        number = await start_on_copy(fleet, recorded)
        assert await statuses_for(fleet, number, 2) == {503}
        assert not fleet.runs()


@run_async
async def test_a_lost_configuration_is_recorded_for_later_starts():
    """The instance that knew it has ended before the next one starts."""
    async with platform_fleet(gateways=1) as fleet:
        older = older_copy(fleet)
        await take_key_away(fleet, fleet.gateways)
        fleet.store.restore(older)
        await wait_until(lambda: RECORD_KEY in fleet.store.entries)
        await leave(only(fleet.gateways))
        started = await fleet.start_gateway()
        await wait_until(lambda: started.view.revision is not None)
        assert started.view.is_behind
        assert await statuses_for(fleet, 1, 1) == {503}
        write_again(fleet)
        await is_served(fleet, 1, 'key-b')


@run_async
async def test_a_start_after_an_unchanged_restoration_is_soon_served():
    """An instance that followed the store vouches for the copy."""
    async with platform_fleet(gateways=2) as fleet:
        older = fleet.store.copy()
        await leave(fleet.gateways[0])
        number = await start_on_copy(fleet, older)
        await is_served(fleet, number, 'key-a', WRITTEN_AGAIN_S / 2)


@run_async
async def test_a_start_after_a_recorded_era_is_served_at_once():
    """The record tells that nothing was lost; nobody else has to."""
    async with platform_fleet(gateways=1) as fleet:
        fleet.store.restore(fleet.store.copy())
        await wait_until(lambda: RECORD_KEY in fleet.store.entries)
        await leave(only(fleet.gateways))
        started = await fleet.start_gateway()
        await wait_until(lambda: started.view.is_loaded)
        assert await status_of(fleet, 1) == 200


@run_async
async def test_a_store_that_was_never_restored_is_not_doubted():
    """Neither a record nor a doubt delays an ordinary start."""
    async with platform_fleet(gateways=1) as fleet:
        await leave(only(fleet.gateways))
        started = await fleet.start_gateway()
        await wait_until(lambda: started.view.is_loaded)
        assert await status_of(fleet, 1) == 200
        assert not started.view.evidence.is_doubt_open
        assert RECORD_KEY not in fleet.store.entries


@run_async
async def test_an_instance_that_missed_the_restoration_doubts_the_copy():
    """It was cut off, so that it may have missed what the copy lacks."""
    async with platform_fleet(gateways=1) as fleet:
        older = older_copy(fleet)
        view = only(fleet.gateways).view
        fleet.store.faults.status = 503
        await wait_until(lambda: only(fleet.gateways).follower.failures)
        view.confirmed_s -= REVOKED_AFTER_S
        write_again(fleet)
        fleet.store.restore(older)
        fleet.store.faults.status = 0
        await wait_until(lambda: view.evidence.era == 2)
        assert await statuses_for(fleet, 0, 1) == {503}
        write_again(fleet)
        await is_served(fleet, 0, 'key-b')


@run_async
async def test_an_unreadable_record_is_ignored():
    """It neither ends a doubt nor the following of the store."""
    async with platform_fleet(gateways=1) as fleet:
        older = older_copy(fleet)
        await leave(only(fleet.gateways))
        number = await start_on_copy(fleet, older)
        for odd in (b'', {'era': 2}, {'era': -1, 'version': 'x'}, [2, 1]):
            fleet.store.put(RECORD_KEY, odd)
        assert await statuses_for(fleet, number, 1) == {503}
        fleet.store.put(RECORD_KEY, {'era': 2, 'version': 1})
        await is_served(fleet, number, 'key-a')


class Clock:
    """Boot clock of a view in tests without any input and output."""

    def __init__(self):
        """Start at a time that is far from zero."""
        self.now_s = 1000.0

    def __call__(self):
        """Return the time."""
        return self.now_s


@contextlib.contextmanager
def view_on_clock(version=1, *, eras=(1,)):
    """Yield a view that has listed a configuration in some eras, and a clock.

    The time between two eras is that of a store which is away for a moment.
    """
    clock = Clock()
    with mock.patch('dandelionplank.fleet.view.boot_time_s', clock):
        view = FleetView(REVOKED_AFTER_S)
        for era in eras:
            clock.now_s += 1
            list_store(view, clock, era, version)
        yield view, clock


def list_store(view, clock, era, version):
    """Apply a listing of the store."""
    view.enter_era(era)
    apply(view, version, is_listed=True)
    view.confirm(clock())


def apply(view, version, *, is_listed):
    """Apply a configuration of the store."""
    entry = document(version, Tenants=tenants(a=['key-a']))
    view.configure(decode_configuration(_encoded(entry)))
    view.record_stored(version, is_listed=is_listed)


def _encoded(entry):
    """Return an entry as the store holds it."""
    return msgspec.json.encode(entry)


@params(((1,), True), ((2,), False), ((1, 2), True), ((1, 2, 3), True))
def test_only_a_start_in_a_later_era_is_doubted(eras, is_sure):
    """An instance that follows the store from era to era is sure."""
    with view_on_clock(eras=eras) as (view, _):
        assert view.may_admit_keys is is_sure
        assert view.may_reject_unknown is is_sure
        assert view.is_stale is not is_sure
        assert (view.due_record is not None) is (is_sure and eras != (1,))


@params((1.5, 2, True), (3, 0.5, False), (1.5, 3, False))
def test_an_instance_that_stood_still_before_the_store_failed_is_not_sure(
    still_s, away_s, is_sure
):
    """What was written meanwhile may be lost, though the view is not old."""
    with view_on_clock() as (view, clock):
        clock.now_s += still_s
        view.evidence.record_failure(view.age_s)
        clock.now_s += away_s
        view.evidence.record_failure(view.age_s)
        list_store(view, clock, 2, 1)
        clock.now_s += REVOKED_AFTER_S
        view.confirm(clock())
        assert view.may_admit_keys is is_sure


def test_a_doubt_ends_if_the_operator_does_not_write_again():
    """A drill in which nothing was lost must not keep callers out."""
    with view_on_clock(eras=(2,)) as (view, clock):
        clock.now_s += WRITTEN_AGAIN_S - 0.1
        view.confirm(clock())
        assert not view.may_admit_keys
        clock.now_s += 0.2
        assert not view.may_admit_keys
        view.confirm(clock())
        assert view.may_admit_keys
        assert view.due_record == ConfigurationRecord(2, 1)


def test_a_doubt_lasts_longer_if_the_store_is_away_meanwhile():
    """The operator cannot write in that time either."""
    with view_on_clock(eras=(2,)) as (view, clock):
        view.evidence.record_outage(3)
        clock.now_s += WRITTEN_AGAIN_S + 2
        view.confirm(clock())
        assert not view.may_admit_keys
        clock.now_s += 1.1
        view.confirm(clock())
        assert view.may_admit_keys


def test_an_outage_does_not_begin_a_doubt():
    """A store that was only away lacks nothing."""
    with view_on_clock() as (view, clock):
        view.evidence.record_outage(3)
        view.confirm(clock())
        assert view.may_admit_keys


@params((1, 0.1, True), (1, 4.5, False), (0, 0.1, False), (2, 0.1, False))
def test_only_a_sure_report_of_the_same_version_ends_a_doubt(
    version, age_s, is_sure
):
    """One of an older version is late, one of a newer shows the loss."""
    with view_on_clock(eras=(2,)) as (view, _):
        view.learn_report('other', version, age_s)
        assert view.may_admit_keys is is_sure


@params((2, False), (1, True))
def test_a_newer_version_elsewhere_counts_at_once_after_a_restoration(
    era, is_sure
):
    """A confirmation since the restoration was of the older copy.

    In an era without one the newer version is on its way from the store.
    """
    with view_on_clock(eras=(era,)) as (view, clock):
        view.learn_report('late', 1, 0.1)
        view.confirm(clock())
        assert view.may_admit_keys
        view.learn_report('other', 2, 0.1)
        assert view.may_admit_keys is is_sure
        clock.now_s += BEHIND_LIMIT_S - 1
        view.confirm(clock())
        assert not view.may_admit_keys
        apply(view, 2, is_listed=False)
        view.confirm(clock())
        assert view.may_admit_keys


def test_a_version_that_follows_one_written_again_is_on_its_way():
    """Once the operator has written again, the store lacks nothing."""
    with view_on_clock(eras=(1, 2)) as (view, _):
        apply(view, 2, is_listed=False)
        view.learn_report('other', 3, 0.1)
        assert view.may_admit_keys


def test_a_recorded_version_that_the_store_lacks_keeps_keys_out():
    """The record outlives the instance that knew the version."""
    with view_on_clock(eras=(2,)) as (view, clock):
        view.apply_record(ConfigurationRecord(2, 5), 9)
        clock.now_s += WRITTEN_AGAIN_S + 1
        view.confirm(clock())
        assert not view.may_admit_keys
        apply(view, 5, is_listed=False)
        view.confirm(clock())
        assert view.may_admit_keys


def test_a_record_is_due_once_and_again_only_for_a_lost_version():
    """A version that the store holds needs no record."""
    with view_on_clock(version=3, eras=(1, 2)) as (view, _):
        assert view.due_record == ConfigurationRecord(2, 3)
        view.apply_record(ConfigurationRecord(2, 3), 9)
        assert view.due_record is None
        apply(view, 4, is_listed=False)
        assert view.due_record is None
        view.record_stored(2, is_listed=True)
        assert view.due_record == ConfigurationRecord(2, 4)
