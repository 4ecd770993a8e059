"""Tests of documents, answers and messages that cannot be decoded."""

import asyncio
import contextlib
import socket

import msgspec

from bench.platform import configuration, target_entry
from dandelionplank.errors import SettingsError, StoreError, TargetError
from dandelionplank.events import Event
from dandelionplank.fleet.peers import PeerReport
from dandelionplank.fleet.settings import GatewaySettings
from dandelionplank.metrics import METRICS
from dandelionplank.platform.engines import fetch_cached_parts
from dandelionplank.settings import parse_yaml
from tests.fixtures import (
    count_events,
    only,
    run_async,
    run_on_both_loops,
    wait_until,
)
from tests.platformfleet import platform_fleet

# Documents that end in the middle, or nest within a field that is not used.
ENDLESS_LISTS = b'[' * 4096
NESTED_FIELD = b'{"x":%b%b}' % (b'[' * 4096, b']' * 4096)
KEYS = ('servers/x-1', 'fleet/x-1', 'quarantine/x-1')


def put_unreadable_entries(fleet):
    """Write entries of each kind that cannot be decoded."""
    for number, document in enumerate((ENDLESS_LISTS, NESTED_FIELD)):
        for key in KEYS:
            fleet.store.put(f'{key}{number}', document)


@run_on_both_loops
async def test_an_unreadable_entry_ends_no_gateway():
    """Gateways that ran follow later changes, and new ones become ready."""
    failed_before = count_events(Event.TASK_FAILED)
    async with platform_fleet() as fleet:
        put_unreadable_entries(fleet)
        await fleet.start_target('plain-9', 'plain')
        await wait_until(
            lambda: 'plain-9' in fleet.gateways[0].view.registry.targets
        )
        await fleet.start_gateway()
        await wait_until(lambda: fleet.gateways[1].view.is_loaded)
        for gateway in range(2):
            assert (await fleet.call('/look/x', gateway=gateway))[0] == 200
        assert 'plain-9' in fleet.gateways[1].view.registry.targets
    assert count_events(Event.TASK_FAILED) == failed_before


@run_async
async def test_an_unreadable_entry_is_logged_once_and_used_when_mended():
    """It names no target meanwhile, whatever it named before."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        targets = gateway.view.registry.targets
        address = targets['plain-0'].address.text
        before = count_events(Event.DOCUMENT_MALFORMED)
        for _ in range(3):
            fleet.store.put('servers/plain-0', ENDLESS_LISTS)
            await wait_until(lambda: 'plain-0' not in targets)
        gateway.view.revision = None
        await wait_until(lambda: gateway.view.revision is not None)
        assert count_events(Event.DOCUMENT_MALFORMED) == before + 1
        mended = target_entry('plain-0', 'plain', address)
        fleet.store.put('servers/plain-0', mended)
        await wait_until(lambda: 'plain-0' in targets)
        fleet.store.put('servers/plain-0', NESTED_FIELD)
        await wait_until(lambda: 'plain-0' not in targets)
        assert count_events(Event.DOCUMENT_MALFORMED) == before + 2


@run_async
async def test_an_unreadable_configuration_leaves_the_last_one_in_force():
    """The next valid version applies."""
    async with platform_fleet() as fleet:
        view = only(fleet.gateways).view
        before = count_events(Event.DOCUMENT_MALFORMED)
        fleet.store.put('op/config', ENDLESS_LISTS)
        await wait_until(
            lambda: count_events(Event.DOCUMENT_MALFORMED) > before
        )
        assert view.table.version == 1
        assert (await fleet.call('/mine/x'))[0] == 200
        fleet.store.put('op/config', configuration(2))
        await wait_until(lambda: view.table.version == 2)


@run_async
async def test_unreadable_answers_of_the_store_are_failed_calls():
    """The gateway serves with what it knows, and follows the store again."""
    failed_before = count_events(Event.TASK_FAILED)
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        for body in (ENDLESS_LISTS, NESTED_FIELD, b'[]', b'{"AsOf":"x"}'):
            fleet.store.faults.body = body
            await asyncio.sleep(0.3)
            with contextlib.suppress(StoreError):
                await gateway.parts.presence.renew(1)
            assert (await fleet.call('/look/x'))[0] == 200
        fleet.store.faults.body = b''
        await fleet.start_target('plain-9', 'plain')
        await wait_until(lambda: 'plain-9' in gateway.view.registry.targets)
    assert count_events(Event.TASK_FAILED) == failed_before


@run_async
async def test_unreadable_cached_parts_are_a_failed_query():
    """A gateway that starts beside such an engine becomes ready."""
    async with platform_fleet() as fleet:
        view = only(fleet.gateways).view
        for body in (ENDLESS_LISTS, NESTED_FIELD, b'\xff'):
            fleet.targets['llm-0'].cached_parts = body
            try:
                await fetch_cached_parts(view.registry.targets['llm-0'])
            except TargetError as error:
                assert error.peer == 'llm-0'
            else:
                raise AssertionError('decoded')


@run_on_both_loops
async def test_unreadable_datagrams_are_counted_and_dropped():
    """The socket still receives the reports of the other instances."""
    async with platform_fleet(gateways=2) as fleet:
        first = fleet.gateways[0]
        address = first.settings.listen.peers.partition(':')
        report = PeerReport('a', 1, 1, 0, 1, 0, False, {}, {})
        encoded = msgspec.msgpack.encode(report)
        # One more field, of a later version, that nests deeply.
        longer = bytes((encoded[0] + 1,)) + encoded[1:]
        nested = b''.join((longer, b'\x91' * 20_000))
        before = METRICS.counters['peer_reports_malformed_total', ()]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for block in (nested, b'\x91' * 20_000, b''):
                sender.sendto(block, (address[0], int(address[2])))
        await wait_until(
            lambda: (
                METRICS.counters['peer_reports_malformed_total', ()]
                == before + 3
            )
        )
        first.peer_loads.reports.clear()
        await wait_until(lambda: first.peer_loads.reports)


def test_settings_that_nest_too_deeply_are_not_valid():
    """A changed settings file cannot end the process that reads it."""
    for text in ('[' * 5000, 'a: 2020-13-45', f'a: {"9" * 5000}'):
        try:
            parse_yaml(text, GatewaySettings, origin='settings')
        except SettingsError as error:
            assert error.peer == 'settings'
        else:
            raise AssertionError(text[:9])
