"""Tests of entries of other writers that are decoded, but odd."""

import asyncio
import json

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bench.platform import MODEL_HEADERS, configuration, target_entry
from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.platform.documents import (
    decode_configuration,
    decode_peer_address,
    decode_quarantine,
    decode_target,
)
from tests.fixtures import (
    count_events,
    run_on_both_loops,
    wait_until,
)
from tests.platformfleet import platform_fleet

HUGE = 10**30
TOO_LARGE_FOR_A_FLOAT = 10**400
ODD_TARGETS = (
    {'Addr': '127.0.0.1:70000'},
    {'Addr': '127.0.0.1:0'},
    {'Addr': '127.0.0.1:-1'},
    {'Addr': '127.0.0.1:٨٠'},
    {'Addr': 'host:80'},
    {'Addr': '127.0.0.1'},
    {'Slots': HUGE},
    {'Slots': TOO_LARGE_FOR_A_FLOAT},
    {'Slots': 0},
    {'Slots': 1.5},
    {'born': HUGE},
    {'born': 1e300},
    {'born': -1},
    {'born': '7'},
    {'Version': ['1']},
    {'Version': 'v' * 1000},
    {'Zone': 7},
    {'Service': ''},
    {'State': 'resting'},
    {'State': None},
)
ODD_NAMES = ('', ' ', 'a b', 'x\r\nInjected: 1', 'x\n', 'é', 'x' * 180)
ODD_PEERS = ('host:80', '127.0.0.1:70000', '::1:80', '127.0.0.1:0', '', 7, [])
# Figures of a configuration that no calculation can use.
ODD_FIGURES = (TOO_LARGE_FOR_A_FLOAT, -1, '5', [5], True, 1e300)


@params(*ODD_TARGETS)
def test_an_odd_entry_names_no_target(changes):
    """Its values would do harm later, in a message or a connection."""
    entry = target_entry('t', 's', '127.0.0.1:80', **changes)
    try:
        decode_target('t', json.dumps(entry).encode())
    except StoreError:
        return
    raise AssertionError(changes)


@params(*ODD_NAMES)
def test_an_entry_under_an_odd_key_names_no_target(name):
    """The name of a target is sent to it in a header."""
    entry = json.dumps(target_entry('t', 's', '127.0.0.1:80')).encode()
    try:
        decode_target(name, entry)
    except StoreError:
        return
    raise AssertionError(name)


@run_on_both_loops
async def test_odd_entries_leave_all_gateways_serving():
    """A port out of range, or a number too large, failed sound requests."""
    failed_before = count_events(Event.TASK_FAILED)
    async with platform_fleet(gateways=2) as fleet:
        for service in ('plain', 'llm'):
            for number, changes in enumerate(ODD_TARGETS):
                name = f'odd-{service}-{number}'
                entry = target_entry(name, service, '127.0.0.1:9', **changes)
                fleet.store.put(f'servers/{name}', entry)
            for name in ODD_NAMES:
                entry = target_entry(name, service, '127.0.0.1:9')
                fleet.store.put(f'servers/{name}{service}', entry)
        for number, address in enumerate(ODD_PEERS):
            fleet.store.put(f'fleet/odd-{number}', address)
        await fleet.start_target('plain-9', 'plain')
        await fleet.start_gateway()
        await wait_until(
            lambda: all(
                'plain-9' in each.view.registry.targets
                for each in fleet.gateways
            )
        )
        for gateway in range(3):
            for _ in range(6):
                calls = (
                    fleet.call('/look/x', gateway=gateway),
                    fleet.call(
                        '/chat/x', gateway=gateway, headers=MODEL_HEADERS
                    ),
                )
                for status, _, _ in await asyncio.gather(*calls):
                    assert status == 200
        for each in fleet.gateways:
            each.peer_loads.reports.clear()
        await wait_until(
            lambda: all(
                len(each.peer_loads.reports) == 2 for each in fleet.gateways
            )
        )
    assert count_events(Event.TASK_FAILED) == failed_before


@params(
    ('Version',),
    ('Limits', 'MaxBodyBytes'),
    ('Limits', 'IdleTimeoutMs'),
    ('Routes', 0, 'TimeoutMs'),
    ('Routes', 0, 'GoalMs'),
    ('Routes', 0, 'Attempts'),
    ('Services', 0, 'Engine', 'KvTokens'),
    ('Services', 0, 'Engine', 'Slots'),
)
def test_odd_figures_make_a_configuration_invalid(*path):
    """The last valid one stays in force."""
    for figure in ODD_FIGURES:
        document = configuration(1)
        *parents, last = path
        found = document
        for part in parents:
            found = found[part]
        found[last] = figure
        try:
            decode_configuration(json.dumps(document).encode())
        except StoreError:
            continue
        raise AssertionError(figure)


@params(*ODD_PEERS)
def test_an_odd_address_of_a_peer_is_malformed(address):
    """Nothing can be sent to it."""
    try:
        decode_peer_address(json.dumps(address).encode())
    except StoreError:
        return
    raise AssertionError(address)


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.integers()
    | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=9), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(
    st.dictionaries(
        st.sampled_from(['Service', 'Addr', 'Zone', 'State', 'Slots', 'born']),
        json_values,
    ),
    st.dictionaries(
        st.sampled_from(['Version', 'Routes', 'Services', 'Limits', 'Tenants']),
        json_values,
    ),
    json_values,
)
def test_any_json_is_decoded_or_malformed(entry, fields, other):
    """No other error leaves the decoders."""
    target = {**target_entry('t', 's', '127.0.0.1:80'), **entry}
    document = {**configuration(1), **fields}
    for decode, found in (
        (lambda raw: decode_target('t', raw), target),
        (decode_configuration, document),
        (decode_peer_address, other),
        (decode_quarantine, other),
    ):
        try:
            decode(json.dumps(found).encode())
        except StoreError as error:
            assert error.reason


@run_on_both_loops
async def test_an_unsendable_address_costs_no_other_peer_its_report():
    """The error of one send does not end the task that sends to all."""
    async with platform_fleet(gateways=2) as fleet:
        first, second = fleet.gateways
        await wait_until(lambda: 'front-1' in first.view.peers)
        peers = {'odd': '::1:80', **first.view.peers}
        first.view.peers.clear()
        first.view.peers.update(peers)
        second.peer_loads.reports.clear()
        await wait_until(lambda: 'front-0' in second.peer_loads.reports)
        assert not first.supervisor.errors
