"""Tests of configurations that take keys away, the last ones included."""

import asyncio

import aiohttp
import msgspec
from nose2.tools import params

from bench.platform import MODEL_HEADERS, configuration
from dandelionplank.platform.documents import decode_configuration
from tests.fixtures import only, run_async, wait_until
from tests.platformfleet import platform_fleet

KEYS = ('key-a', 'key-b', 'never-held', '')
PATHS = ('/mine/x', '/chat/x')
ODD_TENANTS = ({'a': []}, 'a', 0, [{'ApiKeys': ['key-b']}], ['a'])


def document(version, **fields):
    """Return a configuration in which some fields are replaced."""
    return {**configuration(version), **fields}


def tenants(**keys):
    """Return accounts with their keys."""
    return [{'Name': name, 'ApiKeys': held} for name, held in keys.items()]


async def apply(fleet, version, **fields):
    """Let all gateways apply a configuration."""
    fleet.store.put('op/config', document(version, **fields))
    await wait_until(
        lambda: all(
            gateway.view.table.version == version for gateway in fleet.gateways
        ),
    )


async def statuses(fleet, gateway=0):
    """Return the statuses of keyed requests, by key."""
    found = {}
    for key in KEYS:
        headers = {**MODEL_HEADERS, 'Dandelionplank-Key': key}
        answers = [
            (await fleet.call(path, headers=headers, gateway=gateway))[0]
            for path in PATHS
        ]
        found[key] = only(tuple(set(answers)))
    return found


def served(*keys):
    """Return the statuses if only some keys are valid."""
    return {key: 200 if key in keys else 401 for key in KEYS}


@run_async
async def test_no_key_is_accepted_once_the_last_one_was_taken_away():
    """Neither the keys that were taken away nor any other one runs."""
    async with platform_fleet(gateways=2) as fleet:
        await apply(fleet, 2, Tenants=tenants(a=['key-a'], b=['key-b']))
        assert await statuses(fleet) == served('key-a', 'key-b')
        await apply(fleet, 3, Tenants=tenants(a=['key-a'], b=[]))
        assert await statuses(fleet) == served('key-a')
        await apply(fleet, 4, Tenants=tenants(a=[], b=[]))
        ran = len(fleet.runs())
        for gateway in range(2):
            assert await statuses(fleet, gateway) == served()
        await fleet.start_gateway()
        await wait_until(lambda: fleet.gateways[2].view.is_loaded)
        assert await statuses(fleet, 2) == served()
        assert len(fleet.runs()) == ran
        assert (await fleet.call('/look/x'))[0] == 200
        await apply(fleet, 5, Tenants=tenants(a=[], b=['key-b']))
        assert await statuses(fleet) == served('key-b')


@run_async
async def test_requests_on_held_connections_need_a_key_that_is_left():
    """A connection that was opened with a key is no proof of it."""
    async with platform_fleet() as fleet:
        headers = {'Dandelionplank-Key': 'key-a'}
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            fleet.session = session
            assert (await fleet.call('/mine/x', headers=headers))[0] == 200
            await apply(fleet, 2, Tenants=tenants(a=[]))
            assert (await fleet.call('/mine/x', headers=headers))[0] == 401


@run_async
async def test_a_key_taken_away_while_the_body_is_sent_is_refused():
    """The key is checked again when the request is complete."""
    async with platform_fleet() as fleet:
        is_taken = asyncio.Event()

        async def body():
            yield b'first'
            await is_taken.wait()
            yield b'last'

        call = asyncio.ensure_future(fleet.call('/mine/x', data=body()))
        await wait_until(lambda: fleet.gateways[0].gateway.open_requests)
        await apply(fleet, 2, Tenants=tenants(a=[]))
        is_taken.set()
        assert (await call)[0] == 401
        assert not fleet.runs()


@run_async
async def test_a_stream_that_runs_ends_although_its_key_is_taken_away():
    """Only requests that are sent later are refused."""
    async with platform_fleet() as fleet:
        for target in fleet.targets.values():
            target.events = 40
        call = asyncio.ensure_future(
            fleet.call('/chat/x', headers=MODEL_HEADERS)
        )
        await wait_until(fleet.runs)
        await apply(fleet, 2, Tenants=tenants(a=[]))
        status, body, _ = await call
        assert (status, body.count(b'id: ')) == (200, 40)


@params(
    ({}, served(*KEYS)),
    ({'Tenants': None}, served(*KEYS)),
    ({'Tenants': []}, served()),
    ({'Tenants': [{'Name': 'a'}]}, served()),
    ({'Tenants': [{'Name': 'a', 'ApiKeys': None}]}, served()),
    ({'Tenants': [{'Name': 'a', 'ApiKeys': ['', None, 7]}]}, served()),
    ({'Tenants': tenants(a=['', 'key-b'])}, served('key-b')),
)
def test_a_configuration_without_accounts_needs_no_key(fields, expected):
    """One whose accounts hold no key admits nobody."""
    entry = document(1)
    entry.pop('Tenants')
    table = decode_configuration(msgspec.json.encode({**entry, **fields}))
    route = table.find('shop.example', '/mine/x')
    found = {
        key: 401 if table.account_of(route, key) is None else 200
        for key in KEYS
    }
    assert found == expected
    public = table.find('shop.example', '/look/x')
    assert table.account_of(public, 'never-held') == ''


@run_async
async def test_a_fleet_goes_from_no_accounts_to_accounts_and_back():
    """What the configuration in force contains decides, not an earlier one."""
    async with platform_fleet() as fleet:
        await apply(fleet, 2, Tenants=None)
        assert await statuses(fleet) == served(*KEYS)
        assert 'Dandelionplank-Tenant' not in fleet.runs()[-1].headers
        await apply(fleet, 3, Tenants=tenants(a=[]))
        assert await statuses(fleet) == served()
        await apply(fleet, 4, Tenants=None)
        assert await statuses(fleet) == served(*KEYS)


@run_async
async def test_accounts_of_an_unexpected_form_change_nothing():
    """The configuration before stays in force with its keys."""
    async with platform_fleet() as fleet:
        for number, odd in enumerate(ODD_TENANTS):
            fleet.store.put('op/config', document(number + 2, Tenants=odd))
        await asyncio.sleep(0.7)
        assert fleet.gateways[0].view.table.version == 1
        assert await statuses(fleet) == served('key-a')
