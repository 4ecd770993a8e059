"""The fleet of a soak: gateways in processes behind relays, and callers."""

import asyncio
import contextlib
import itertools
import random
import time
from pathlib import Path

import aiohttp
from yarl import URL

from bench.fleet import reserve_ports
from bench.gatewayprocess import GatewayProcess
from bench.links import LinkRelay
from bench.platform import (
    MODEL_HEADERS,
    configuration,
    entry_of,
    request_headers,
    serve,
)
from bench.promises import KINDS, STREAMS, SUCCESS, Call
from dandelionplank.settings import Address
from dandelionplank_standins.platformengine import TargetStandin
from dandelionplank_standins.platformstore import StoreStandin

GATEWAYS = 3
START_LIMIT_S = 15.0
READY_POLL_S = 0.1
CALL_LIMIT_S = 4.0


class SoakFleet:
    """Gateways in processes, their stand-ins, callers and broken promises."""

    def __init__(self, seed: int, directory: Path) -> None:
        """Start nothing."""
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
        self.numbers = itertools.count(1)
        self.violations: list[str] = []
        self.trace: list[str] = []
        self.began_s = time.monotonic()
        self.stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Start stand-ins, relays and gateways."""
        address, runner = await serve(self.store.application)
        self.stack.push_async_callback(runner.cleanup)
        self.configure()
        for name in ('llm-0', 'llm-1', 'plain-0', 'plain-1'):
            await self.add_target(name)
        for number in range(GATEWAYS):
            gateway = GatewayProcess(
                number,
                self.directory,
                Address.from_text(address),
            )
            await gateway.relay.start()
            self.stack.push_async_callback(gateway.relay.stop)
            self.gateways.append(gateway)
            gateway.start()
            self.stack.callback(gateway.end)
        for number in range(GATEWAYS):
            await self.wait_until_ready(number)

    async def add_target(self, name: str) -> None:
        """Start a target behind a relay and list it."""
        service = name.partition('-')[0]
        target = TargetStandin(name, streams=service == 'llm')
        address, runner = await serve(target.application)
        self.stack.push_async_callback(runner.cleanup)
        port = reserve_ports(1)[0]
        relay = LinkRelay(port, Address.from_text(address).port, 0)
        await relay.start()
        self.stack.push_async_callback(relay.stop)
        self.targets[name] = target
        self.relays[name] = relay
        self.store.put(
            f'servers/{name}',
            entry_of(name, service, f'127.0.0.1:{port}'),
        )

    def configure(self) -> None:
        """Put a configuration with the present keys in force."""
        document = configuration(next(self.versions), tuple(self.keys))
        self.store.put('op/config', document)

    async def wait_until_ready(self, number: int) -> None:
        """Wait until a gateway answers a request."""
        async with (
            asyncio.timeout(START_LIMIT_S),
            aiohttp.ClientSession() as session,
        ):
            while not await self.is_served(session, number):
                await asyncio.sleep(READY_POLL_S)

    async def is_served(
        self,
        session: aiohttp.ClientSession,
        number: int,
    ) -> bool:
        """Tell whether a gateway answers a request well."""
        call = self.new_call('/look/', number)
        await self.send(session, call)
        return call.status == SUCCESS

    def new_call(self, prefix: str, gateway: int) -> Call:
        """Return a request that is sent now."""
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
        """Send requests over a connection that is kept as long as it goes."""
        gateway = number % GATEWAYS
        async with aiohttp.ClientSession() as session:
            while True:
                prefix = self.random.choice(tuple(KINDS))
                await self.send(session, self.new_call(prefix, gateway))
                await asyncio.sleep(self.random.uniform(0, 0.05))

    async def send(self, session: aiohttp.ClientSession, call: Call) -> None:
        """Send a request and keep what came back."""
        headers = request_headers(call.request_id, call.key)
        if call.prefix in STREAMS:
            headers.update(MODEL_HEADERS)
        url = f'http://{self.gateways[call.gateway].address}{call.prefix}x'
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(CALL_LIMIT_S):
                async with session.post(
                    URL(url),
                    headers=headers,
                    data=call.request_id.encode(),
                ) as answer:
                    call.body = await answer.read()
                    call.status = answer.status

    def note(self, text: str) -> None:
        """Keep a line of the trace."""
        self.trace.append(f'{time.monotonic() - self.began_s:7.2f} {text}')

    def violate(self, text: str) -> None:
        """Keep a broken promise."""
        self.note(f'VIOLATION {text}')
        self.violations.append(text)

    async def check_recovery(self) -> None:
        """Check that every gateway serves after all disturbances."""
        for number in range(GATEWAYS):
            try:
                await self.wait_until_ready(number)
            except TimeoutError:
                self.violate(f'{number} does not serve any more')
