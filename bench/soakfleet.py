"""The fleet of a soak: gateway processes, stand-ins behind relays, callers."""

import asyncio
import contextlib
import itertools
import random
import time
from pathlib import Path
from typing import Any

import aiohttp
from yarl import URL

from bench.evacuationorders import DATA_CENTERS, EvacuationOrders
from bench.fleet import reserve_ports
from bench.gatewayprocess import GatewayProcess
from bench.guarantees import (
    HTTP_OK,
    RETRYABLE_BY_PREFIX,
    STREAM_PREFIXES,
    Call,
)
from bench.links import LinkRelay
from bench.platform import (
    MODEL_HEADERS,
    configuration,
    request_headers,
    start_server,
    target_entry,
)
from dandelionplank.settings import Address
from dandelionplank_standins.platformstore import StoreStandin
from dandelionplank_standins.platformtarget import (
    ExecutedRequest,
    TargetStandin,
)

GATEWAY_COUNT = 3
START_TIMEOUT_S = 15.0
READY_POLL_S = 0.1
CALL_TIMEOUT_S = 4.0
# Software versions of the targets, by turns.
VERSIONS = ('1', '2')


class SoakFleet:
    """Runs gateway processes, stand-ins and callers, and records violations.

    ``revoked`` maps a revoked key to the monotonic time after which requests
    with it must be refused, ``data_centers`` each target to its data centre.
    """

    def __init__(self, seed: int, directory: Path) -> None:
        """Hold the stand-in of the store and the processes; none runs yet."""
        self.random = random.Random(seed)
        self.directory = directory
        self.store = StoreStandin()
        self.targets: dict[str, TargetStandin] = {}
        self.relays: dict[str, LinkRelay] = {}
        self.gateways: list[GatewayProcess] = []
        self.calls: list[Call] = []
        self.revoked: dict[str, float] = {}
        self.keys = ['key-0', 'key-1']
        self.versions = itertools.count(1)
        self.removed_targets: set[str] = set()
        self.data_centers: dict[str, str] = {}
        self.orders = EvacuationOrders(self.store)
        self.numbers = itertools.count(1)
        self.violations: list[str] = []
        self.trace: list[str] = []
        self.started_s = time.monotonic()
        self.stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Start stand-ins, relays and gateways."""
        address, runner = await start_server(self.store.application)
        self.stack.push_async_callback(runner.cleanup)
        self.write_configuration()
        for number, data_center in enumerate(DATA_CENTERS):
            await self.add_target(f'llm-{number}', data_center)
            await self.add_target(f'plain-{number}', data_center)
        for number in range(GATEWAY_COUNT):
            gateway = GatewayProcess(
                number,
                self.directory,
                Address.from_text(address),
            )
            await gateway.relay.start()
            self.stack.push_async_callback(gateway.relay.stop)
            self.gateways.append(gateway)
            gateway.start()
            self.stack.callback(gateway.kill)
        for number in range(GATEWAY_COUNT):
            await self.wait_until_ready(number)

    async def add_target(self, name: str, data_center: str) -> None:
        """Start a target behind a relay and add it to the store."""
        service, _, number = name.partition('-')
        target = TargetStandin(
            name,
            streams=service == 'llm',
            version=VERSIONS[int(number) % len(VERSIONS)],
        )
        address, runner = await start_server(target.application)
        self.stack.push_async_callback(runner.cleanup)
        port = reserve_ports(1)[0]
        relay = LinkRelay(port, Address.from_text(address).port, 0)
        await relay.start()
        self.stack.push_async_callback(relay.stop)
        self.targets[name] = target
        self.relays[name] = relay
        self.data_centers[name] = data_center
        self.list_target(name)

    def list_target(self, name: str, **changes: Any) -> None:
        """Write the entry of a target to the store."""
        address = f'127.0.0.1:{self.relays[name].port}'
        service = name.partition('-')[0]
        entry = target_entry(
            name,
            service,
            address,
            Zone=self.data_centers[name],
            Version=self.targets[name].version,
            **changes,
        )
        self.store.put(f'servers/{name}', entry)

    def write_lost_documents(self) -> None:
        """Write what a restored store may lack, as operator and targets do."""
        self.write_configuration()
        for name in self.targets.keys() - self.removed_targets:
            self.list_target(name)
        self.orders.write()

    def runs_by_data_center(self) -> dict[str, list[ExecutedRequest]]:
        """Return what the targets of each data centre executed."""
        return {
            data_center: [
                run
                for name, target in self.targets.items()
                if self.data_centers[name] == data_center
                for run in target.runs
            ]
            for data_center in DATA_CENTERS
        }

    def write_configuration(self) -> None:
        """Write a configuration with the current keys to the store."""
        document = configuration(next(self.versions), tuple(self.keys))
        self.store.put('op/config', document)

    async def wait_until_ready(self, number: int) -> None:
        """Wait until a gateway serves a request."""
        async with (
            asyncio.timeout(START_TIMEOUT_S),
            aiohttp.ClientSession() as session,
        ):
            while not await self.is_serving(session, number):
                await asyncio.sleep(READY_POLL_S)

    async def is_serving(
        self,
        session: aiohttp.ClientSession,
        number: int,
    ) -> bool:
        """Return whether a gateway serves a request successfully."""
        call = self.new_call('/look/', number)
        await self.send(session, call)
        return call.status == HTTP_OK

    def new_call(self, prefix: str, gateway: int) -> Call:
        """Create and record a request with a random key, valid or revoked."""
        call = Call(
            f'q{next(self.numbers)}',
            prefix,
            self.random.choice((*self.keys, *self.revoked)),
            gateway,
            time.monotonic(),
        )
        self.calls.append(call)
        return call

    async def call_until_cancelled(self, number: int) -> None:
        """Send requests over a persistent connection until cancelled."""
        gateway = number % GATEWAY_COUNT
        async with aiohttp.ClientSession() as session:
            while True:
                prefix = self.random.choice(tuple(RETRYABLE_BY_PREFIX))
                await self.send(session, self.new_call(prefix, gateway))
                await asyncio.sleep(self.random.uniform(0, 0.05))

    async def send(self, session: aiohttp.ClientSession, call: Call) -> None:
        """Send a request and store its response in the call."""
        headers = request_headers(call.request_id, call.key)
        if call.prefix in STREAM_PREFIXES:
            headers.update(MODEL_HEADERS)
        url = f'http://{self.gateways[call.gateway].address}{call.prefix}x'
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with session.post(
                    URL(url),
                    headers=headers,
                    data=call.request_id.encode(),
                ) as response:
                    call.body = await response.read()
                    call.status = response.status

    def record_event(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f'{time.monotonic() - self.started_s:7.2f} {text}')

    def record_violation(self, text: str) -> None:
        """Record a violated guarantee, also in the trace."""
        self.record_event(f'VIOLATION {text}')
        self.violations.append(text)

    async def check_recovery(self) -> None:
        """Check that every gateway serves after all disturbances."""
        for number in range(GATEWAY_COUNT):
            try:
                await self.wait_until_ready(number)
            except TimeoutError:
                self.record_violation(
                    f'gateway {number} no longer serves requests'
                )
