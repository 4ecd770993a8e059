"""Starts and stops router and stand-in processes on loopback."""

import asyncio
import collections
import contextlib
import dataclasses
import hashlib
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import yaml

from bench.links import LinkNetwork

BINARIES = Path(sys.executable).parent
OPERATOR_TOKEN = 'operator-token-of-the-bench'
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.05
# Range of listening ports, below the usual ephemeral ports of outgoing
# connections.
LISTEN_PORTS = (10_000, 32_000)
# Those reserved first are released first; by then their processes have ended.
MAX_RESERVED_PORTS = 2048
RESERVED_SOCKETS: collections.deque[socket.socket] = collections.deque()


@dataclasses.dataclass(frozen=True)
class AccountPlan:
    """A client account of a scenario."""

    name: str
    owner: str
    share: float = 1.0

    @property
    def key(self) -> str:
        """The secret of the account's only API key."""
        return f'key-of-{self.name}'


@dataclasses.dataclass(frozen=True)
class ServicePlan:
    """A service of a scenario and the stand-ins that serve it."""

    name: str
    kind: str
    targets: int
    contract: dict[str, Any] = dataclasses.field(default_factory=dict)
    standin: Sequence[str] = ()


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """The routers, services and client accounts that a scenario starts.

    :param link_delay_s: one-way delay of the relays between routers; without
        a delay there are no relays
    """

    routers: int
    services: Sequence[ServicePlan]
    accounts: Sequence[AccountPlan]
    data_centers: Sequence[str] = ('brasov-a', 'brasov-b', 'sibiu-c')
    dispatch: dict[str, Any] = dataclasses.field(default_factory=dict)
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    link_delay_s: float | None = None


@dataclasses.dataclass
class RouterProcess:
    """One router: its ports, files and process."""

    id: str
    port: int
    peers_port: int
    settings_path: Path
    log_path: Path
    process: asyncio.subprocess.Process | None = None
    is_leaving: bool = False

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f'http://127.0.0.1:{self.port}'


class Fleet:
    """A fleet of routers with the stand-ins that it uses."""

    def __init__(self, plan: FleetPlan) -> None:
        """Reserve ports; nothing is started or written yet."""
        self.plan = plan
        self.directory = Path(tempfile.mkdtemp(prefix='dandelionplank-'))
        self.processes: list[asyncio.subprocess.Process] = []
        self.routers: list[RouterProcess] = []
        self.ports = iter(reserve_ports(400))
        self.store_url = f'http://127.0.0.1:{next(self.ports)}'
        self.list_url = f'http://127.0.0.1:{next(self.ports)}'
        self.targets: dict[str, list[str]] = {}
        self.session: aiohttp.ClientSession | None = None
        self.network: LinkNetwork | None = None

    async def __aenter__(self) -> 'Fleet':
        """Start everything and wait until all routers are ready."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
        )
        try:
            await self._start_standins()
            for number in range(self.plan.routers):
                self.routers.append(self._create_router(number))
            await self._start_links()
            await self.update_instance_list(self.routers)
            await asyncio.gather(*map(self.start_router, self.routers))
            await self._apply_configuration()
            await asyncio.gather(*map(self.wait_ready, self.routers))
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything that was started."""
        await self.stop()

    async def stop(self) -> None:
        """Stop all processes, routers first."""
        if self.network:
            self.network.heal()
        routers = [each.process for each in self.routers if each.process]
        await asyncio.gather(*map(stop_process, routers))
        await asyncio.gather(*map(stop_process, self.processes))
        if self.network:
            await self.network.stop()
        if self.session:
            await self.session.close()

    async def start_router(self, router: RouterProcess) -> None:
        """Start one router process."""
        router.is_leaving = False
        with router.log_path.open('ab') as log:
            router.process = await asyncio.create_subprocess_exec(
                str(BINARIES / 'dandelionplank-router'),
                str(router.settings_path),
                stderr=log,
            )
        await wait_for_port(router.port)

    async def wait_ready(self, router: RouterProcess) -> None:
        """Wait until a router is ready and its view lists all routers alive."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready(router):
                await asyncio.sleep(POLL_PERIOD_S)

    async def update_instance_list(
        self,
        routers: Iterable[RouterProcess],
        state: str = 'live',
    ) -> None:
        """Send the state of routers to the instance list."""
        lines = [
            {
                'id': router.id,
                'role': 'router',
                'address': f'127.0.0.1:{router.peers_port}',
                'data_center': self._data_center_of(
                    int(router.id.rpartition('-')[2])
                ),
                'region': 'loopback',
                'state': state,
            }
            for router in routers
        ]
        await self.post(f'{self.list_url}/instances?at_once=1', lines)

    async def post(self, url: str, document: Any) -> bytes:
        """Post a JSON document and return the response body."""
        assert self.session is not None
        async with self.session.post(
            url,
            data=msgspec.json.encode(document),
        ) as response:
            return await response.read()

    async def get(self, url: str) -> Any:
        """Get a URL and return its JSON document."""
        assert self.session is not None
        async with self.session.get(url) as response:
            return await response.json(content_type=None)

    async def set_faults(self, url: str, **faults: Any) -> None:
        """Replace the faults of a stand-in."""
        await self.post(f'{url}/standin/faults', faults)

    async def run_statement(
        self,
        statement: str,
        router: int = 0,
        **options: Any,
    ) -> Any:
        """Run an operator's statement and return the response."""
        assert self.session is not None
        async with self.session.post(
            f'{self.routers[router].url}/admin/v1/statements',
            json={'statement': statement, **options},
            headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        ) as response:
            return await response.json(content_type=None)

    def configuration(self) -> dict[str, Any]:
        """Return the configuration of the scenario."""
        owners = sorted({account.owner for account in self.plan.accounts})
        return {
            'owners': [{'name': owner} for owner in owners],
            'accounts': [
                {
                    'name': account.name,
                    'owner': account.owner,
                    'share': account.share,
                    'keys': [{'id': 'first', 'digest': _digest(account.key)}],
                }
                for account in self.plan.accounts
            ],
            'services': [
                {'name': each.name, 'kind': each.kind, **each.contract}
                for each in self.plan.services
            ],
            'targets': [
                {
                    'name': f'{service}-{number}',
                    'service': service,
                    'address': {'ip': '127.0.0.1', 'port': _port_of(url)},
                    'data_center': self._data_center_of(number),
                }
                for service, urls in self.targets.items()
                for number, url in enumerate(urls)
            ],
        }

    async def _start_standins(self) -> None:
        """Start the stand-ins of the platform and of all targets."""
        starts = [
            self._start_standin('key-value', [self.store_url]),
            self._start_standin('instance-list', [self.list_url]),
        ]
        for service in self.plan.services:
            urls = [
                f'http://127.0.0.1:{next(self.ports)}'
                for _ in range(service.targets)
            ]
            self.targets[service.name] = urls
            kind = 'engine' if service.kind == 'model' else 'plain'
            starts.extend(
                self._start_standin(kind, [url], service.standin)
                for url in urls
            )
        await asyncio.gather(*starts)

    async def _start_standin(
        self,
        kind: str,
        urls: Sequence[str],
        options: Sequence[str] = (),
    ) -> None:
        """Start one stand-in process and wait until it listens."""
        addresses = [url.removeprefix('http://') for url in urls]
        self.processes.append(
            await asyncio.create_subprocess_exec(
                str(BINARIES / 'dandelionplank-standin'),
                kind,
                *addresses,
                *options,
            ),
        )
        for url in urls:
            await wait_for_port(_port_of(url))

    async def _start_links(self) -> None:
        """Put relays between the routers if the plan says so."""
        if self.plan.link_delay_s is not None:
            self.network = LinkNetwork(self, self.plan.link_delay_s)
            await self.network.start()

    def _create_router(self, number: int) -> RouterProcess:
        """Reserve a router's ports and write its settings."""
        router_id = f'router-{number}'
        router = RouterProcess(
            router_id,
            next(self.ports),
            next(self.ports),
            self.directory / f'{router_id}.yaml',
            self.directory / f'{router_id}.log',
        )
        settings = {
            'instance': {
                'id': router_id,
                'data_center': self._data_center_of(number),
                'region': 'loopback',
            },
            'listen': {
                'callers': {'ip': '127.0.0.1', 'port': router.port},
                'peers': {'ip': '127.0.0.1', 'port': router.peers_port},
            },
            'platform': {
                'key_value_url': self.store_url,
                'instance_list_url': self.list_url,
            },
            'dispatch': dict(self.plan.dispatch),
            'administration': {
                'bootstrap_token_sha256': _digest(OPERATOR_TOKEN),
            },
            **self.plan.settings,
        }
        router.settings_path.write_text(yaml.safe_dump(settings))
        return router

    def _data_center_of(self, number: int) -> str:
        """Return the data centre of the instance with this number."""
        return self.plan.data_centers[number % len(self.plan.data_centers)]

    async def _apply_configuration(self) -> None:
        """Store the configuration of the scenario."""
        assert self.session is not None
        async with self.session.put(
            f'{self.routers[0].url}/admin/v1/configuration',
            data=yaml.safe_dump(self.configuration()),
            headers={'Authorization': f'Bearer {OPERATOR_TOKEN}'},
        ) as response:
            if response.status != 200:
                raise RuntimeError(await response.text())

    async def _is_ready(self, router: RouterProcess) -> bool:
        """Return whether a router is ready and sees all routers alive."""
        assert self.session is not None
        async with self.session.get(f'{router.url}/readyz') as response:
            if response.status != 200:
                return False
        number = self.routers.index(router)
        table = await self.run_statement('SHOW INSTANCES', number)
        alive = [row for row in table['rows'] if row[2] == 'alive']
        return len(alive) >= len(self.routers)


async def stop_process(process: asyncio.subprocess.Process) -> None:
    """Terminate a process; kill it if it does not exit in time."""
    if process.returncode is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, signal.SIGCONT)
        process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()


async def wait_for_port(port: int) -> None:
    """Wait until a loopback port accepts connections."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection('127.0.0.1', port)
                writer.close()
                return
            await asyncio.sleep(POLL_PERIOD_S)


def reserve_ports(count: int) -> list[int]:
    """Return free ports that no other caller of this function gets.

    Their sockets stay bound, so that other programs cannot bind the ports.
    Once ``SO_REUSEADDR`` is set on a socket that does not listen, a server
    that sets it as well can bind the port. The ports lie below the ephemeral
    ones, so that no outgoing connection takes one before it is used.
    """
    ports: list[int] = []
    while len(ports) < count:
        opened = socket.socket()
        try:
            opened.bind(('127.0.0.1', random.randint(*LISTEN_PORTS)))
        except OSError:
            opened.close()
            continue
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        ports.append(opened.getsockname()[1])
        RESERVED_SOCKETS.append(opened)
    while len(RESERVED_SOCKETS) > MAX_RESERVED_PORTS:
        RESERVED_SOCKETS.popleft().close()
    return ports


def _port_of(url: str) -> int:
    """Return the port of a URL."""
    return int(url.rpartition(':')[2])


def _digest(secret: str) -> str:
    """Return the digest of a secret in the form stored in configuration."""
    return hashlib.sha256(secret.encode()).hexdigest()
