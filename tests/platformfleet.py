"""A fleet of gateways on stand-ins of the platform, in one process."""

import asyncio
import contextlib
import dataclasses
import itertools
import tempfile
from pathlib import Path

import aiohttp
from aiohttp import web
from yarl import URL

from bench.fleet import reserve_ports
from dandelionplank.commands.gateway import build_daemon
from dandelionplank.fleet.settings import (
    GatewayBounds,
    GatewayListen,
    GatewaySettings,
    GatewayStore,
)
from dandelionplank.settings import InstanceSettings
from dandelionplank_standins.platformengine import TargetStandin
from dandelionplank_standins.platformstore import StoreStandin

HOST = 'shop.example'
START_LIMIT_S = 10
REQUEST_NUMBERS = itertools.count(1)
ROUTES = (
    ('stream', '/chat/', 'streaming', {'GapTargetMs': 300}),
    ('resume', '/draft/', 'streaming', {'CanResume': True, 'Attempts': 2}),
    ('unsafe', '/book/', 'unsafe', {'Public': True}),
    ('safe', '/look/', 'safe', {'Public': True, 'Attempts': 2}),
    ('keyed', '/mine/', 'safe', {}),
)
SERVICES = {'stream': 'llm', 'resume': 'llm'}


def configuration(version, keys=('key-a',), **changes):
    """Return a document of the operator."""
    routes = []
    for name, prefix, kind, extra in ROUTES:
        route = {
            'Name': name,
            'Host': HOST,
            'Prefix': prefix,
            'Kind': kind,
            'TimeoutMs': 3000,
            'GoalMs': 1000,
            'Attempts': 1,
            'Service': SERVICES.get(name, 'plain'),
            **extra,
            **changes.get(name, {}),
        }
        routes.append(route)
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': 'llm', 'Engine': {'Slots': 8, 'KvTokens': 90_000}},
            {'Name': 'plain'},
        ],
        'Limits': {'MaxBodyBytes': 10_000, 'IdleTimeoutMs': 5000},
        'Tenants': [{'Name': 'account-a', 'ApiKeys': list(keys)}],
    }


@dataclasses.dataclass
class PlatformFleet:
    """Gateways, targets and the store of one test."""

    store: StoreStandin
    targets: dict
    gateways: list
    urls: list
    session: aiohttp.ClientSession

    async def call(self, path, *, gateway=0, method='POST', **options):
        """Send a request; return status, body and headers."""
        given = options.pop('headers', {})
        request_id = f'q{next(REQUEST_NUMBERS)}'
        sent = {
            'Host': HOST,
            'Dandelionplank-Request-Id': request_id,
            'Dandelionplank-Deadline-Ms': '3000',
            'Dandelionplank-Key': 'key-a',
            **given,
        }
        async with self.session.request(
            method,
            URL(self.urls[gateway] + path, encoded=True),
            headers=sent,
            **options,
        ) as response:
            return response.status, await response.read(), response.headers

    def runs(self):
        """Return all runs at all targets."""
        return [run for each in self.targets.values() for run in each.runs]


def entry_of(name, service, address, **changes):
    """Return a target's entry in the store."""
    return {
        'Service': service,
        'Addr': address,
        'Zone': 'a',
        'Slots': 8,
        'State': 'ready',
        **changes,
    }


def settings_of(number, address, store_address, **bounds):
    """Return the settings of a gateway."""
    ports = reserve_ports(4)
    return GatewaySettings(
        InstanceSettings(f'front-{number}', 'a', 'r'),
        GatewayListen(
            address,
            f'127.0.0.1:{ports[0]}',
            f'127.0.0.1:{ports[1]}',
            ports[2],
        ),
        GatewayStore(store_address, call_timeout_s=0.3),
        GatewayBounds(**bounds),
    )


async def serve(application):
    """Serve an application; return its address and its runner."""
    address = f'127.0.0.1:{reserve_ports(1)[0]}'
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    ip, _, port = address.partition(':')
    await web.TCPSite(runner, ip, int(port)).start()
    return address, runner


@contextlib.asynccontextmanager
async def platform_fleet(gateways=1, engines=2, **bounds):
    """Run a fleet on stand-ins until the test ends."""
    async with contextlib.AsyncExitStack() as stack:
        store = StoreStandin()
        store_address, runner = await serve(store.application)
        stack.push_async_callback(runner.cleanup)
        store.put('op/config', configuration(1))
        targets = {}
        wanted = [(f'llm-{number}', 'llm') for number in range(engines)]
        wanted += [(f'plain-{number}', 'plain') for number in range(engines)]
        for name, service in wanted:
            targets[name] = TargetStandin(name, streams=service == 'llm')
            address, runner = await serve(targets[name].application)
            stack.push_async_callback(runner.cleanup)
            store.put(f'servers/{name}', entry_of(name, service, address))
        session = await stack.enter_async_context(
            aiohttp.ClientSession(auto_decompress=False),
        )
        settings_directory = stack.enter_context(
            tempfile.TemporaryDirectory(),
        )
        fleet = PlatformFleet(store, targets, [], [], session)
        for number in range(gateways):
            address = f'127.0.0.1:{reserve_ports(1)[0]}'
            daemon = build_daemon(
                settings_of(number, address, store_address, **bounds),
                Path(settings_directory) / f'gateway-{number}.yaml',
            )
            await daemon.start()
            stack.push_async_callback(stop, daemon)
            fleet.gateways.append(daemon)
            fleet.urls.append(f'http://{address}')
        async with asyncio.timeout(START_LIMIT_S):
            for daemon in fleet.gateways:
                while not daemon.view.is_known:
                    await asyncio.sleep(0.01)
        yield fleet


async def stop(daemon):
    """End a gateway without waiting for callers."""
    for task in daemon.tasks:
        task.cancel()
    await asyncio.gather(*daemon.tasks, return_exceptions=True)
    daemon.server.stop_accepting()
    for runner in daemon.runners:
        await runner.cleanup()
    if daemon.exchange.transport:
        daemon.exchange.transport.close()
    daemon.pool.close()
    await daemon.parts.close()
