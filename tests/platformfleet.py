"""Runs gateways, stand-in targets and a stand-in store in one process."""

import asyncio
import contextlib
import dataclasses
import itertools
import tempfile
from pathlib import Path

import aiohttp
from yarl import URL

from bench.fleet import reserve_ports
from bench.platform import (
    configuration,
    gateway_settings,
    request_headers,
    start_server,
    target_entry,
)
from dandelionplank.commands.assembly import build_daemon
from dandelionplank_standins.hostiletarget import HostileTarget
from dandelionplank_standins.platformstore import StoreStandin
from dandelionplank_standins.platformtarget import TargetStandin
from tests.fixtures import wait_until

START_LIMIT_S = 10
REQUEST_NUMBERS = itertools.count(1)


@dataclasses.dataclass
class PlatformFleet:
    """Gateways, targets and the store of one test."""

    store: StoreStandin
    targets: dict
    gateways: list
    urls: list
    session: aiohttp.ClientSession
    resources: contextlib.AsyncExitStack
    store_address: str
    settings_directory: Path

    async def start_target(self, name, service, **changes):
        """Start a target, list it in the store and return it.

        :param changes: fields of its entry
        """
        target = TargetStandin(name, streams=service == 'llm')
        address, runner = await start_server(target.application)
        self.resources.push_async_callback(runner.cleanup)
        target.runner = runner
        self.targets[name] = target
        entry = target_entry(name, service, address, **changes)
        self.store.put(f'servers/{name}', entry)
        return target

    async def start_gateway(self, **bounds):
        """Start a gateway.

        :param bounds: limits in its settings
        """
        number = len(self.gateways)
        address = f'127.0.0.1:{reserve_ports(1)[0]}'
        daemon = build_daemon(
            gateway_settings(number, address, self.store_address, **bounds),
            self.settings_directory / f'gateway-{number}.yaml',
        )
        await daemon.start()
        self.resources.push_async_callback(stop, daemon)
        self.gateways.append(daemon)
        self.urls.append(f'http://{address}')
        return daemon

    def open(self, path, *, gateway=0, method='POST', **options):
        """Send a request; return a context whose response is unread."""
        extra = options.pop('headers', {})
        request_id = f'q{next(REQUEST_NUMBERS)}'
        all_headers = {**request_headers(request_id, 'key-a'), **extra}
        return self.session.request(
            method,
            URL(self.urls[gateway] + path, encoded=True),
            headers=all_headers,
            **options,
        )

    async def call(self, path, **options):
        """Send a request; return status, body and headers."""
        async with self.open(path, **options) as response:
            return response.status, await response.read(), response.headers

    def runs(self):
        """Return the requests that any target executed."""
        return [run for each in self.targets.values() for run in each.runs]


@contextlib.asynccontextmanager
async def platform_fleet(gateways=1, engines=2, **bounds):
    """Run a fleet on stand-ins while the context is open.

    :param gateways: number of gateways
    :param engines: number of engines, and of plain targets
    :param bounds: limits in the gateways' settings
    """
    async with contextlib.AsyncExitStack() as stack:
        store = StoreStandin()
        store_address, runner = await start_server(store.application)
        stack.push_async_callback(runner.cleanup)
        store.put('op/config', configuration(1))
        session = await stack.enter_async_context(
            aiohttp.ClientSession(auto_decompress=False),
        )
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        fleet = PlatformFleet(
            store, {}, [], [], session, stack, store_address, Path(directory)
        )
        services = [(f'llm-{number}', 'llm') for number in range(engines)]
        services += [(f'plain-{number}', 'plain') for number in range(engines)]
        for name, service in services:
            await fleet.start_target(name, service)
        for _ in range(gateways):
            await fleet.start_gateway(**bounds)
        async with asyncio.timeout(START_LIMIT_S):
            for daemon in fleet.gateways:
                while not daemon.view.is_loaded:
                    await asyncio.sleep(0.01)
        yield fleet


@contextlib.asynccontextmanager
async def hostile_fleet(
    behaviour,
    service='plain',
    *,
    keeps_sound_target=False,
    reads_bodies=True,
    **options,
):
    """Run a gateway of which one service has only a hostile target.

    :param keeps_sound_target: the service also has one sound target
    :param reads_bodies: the hostile target reads the bodies of requests
    """
    async with platform_fleet(**options) as fleet:
        target = HostileTarget(behaviour, reads_bodies=reads_bodies)
        port = reserve_ports(1)[0]
        server = await asyncio.start_server(target.serve, '127.0.0.1', port)
        kept = [f'{service}-0'] if keeps_sound_target else []
        for name in tuple(fleet.targets):
            if name.startswith(service) and name not in kept:
                fleet.store.delete(f'servers/{name}')
        entry = target_entry('hostile', service, f'127.0.0.1:{port}', Slots=500)
        fleet.store.put('servers/hostile', entry)
        view = fleet.gateways[0].view
        await wait_until(
            lambda: (
                sorted(each.name for each in view.targets_of(service))
                == ['hostile', *kept]
            ),
        )
        try:
            yield fleet, target
        finally:
            server.close()
            target.close()


async def stop(daemon):
    """Stop a gateway without completing its open requests."""
    await daemon.supervisor.cancel()
    daemon.server.stop_accepting()
    await daemon.pages.close()
    if daemon.exchange.transport:
        daemon.exchange.transport.close()
    daemon.pool.close()
    await daemon.parts.close()
