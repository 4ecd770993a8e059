"""Plays uneven accounts beyond the capacity of a site, with real processes.

Counts from outside what each account asked for and where its requests began,
second by second, and checks the shares.
"""

import asyncio
import contextlib
import dataclasses
import math
import random
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path

import aiohttp
import cyclopts
import uvloop
import xxhash

from bench.gatewayprocess import GatewayProcess
from bench.platform import configuration, start_server, target_entry
from dandelionplank.settings import Address
from dandelionplank_standins.batchengine import (
    BatchEngine,
    BegunRequest,
    EngineSpeed,
    request_cost,
)
from dandelionplank_standins.platformstore import StoreStandin

HOST = 'shop.example'
START_TIMEOUT_S = 20.0
WINDOW_S = 6
# Largest requests that an account may lack in a window.
MISSING_REQUESTS = 3
SHARE = 0.5
SUBJECT_COUNTS = (2, 6, 30, 300)
KIND_FACTORS = (0.02, 0.3, 1.0, 3.0)
# Exponents of the unevenness of the callers' connections.
HOME_SKEWS = (0.0, 1.0, 2.5)
RETRIES = 1
# Accounts whose demand rises and falls, and by how much.
SURGING_SHARE = 0.3
SURGE_FACTOR = 5

app = cyclopts.App(name='fairload')


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request.

    :param shared_tokens: tokens of the part that requests share
    :param own_tokens: tokens of its own part
    :param aim_s: time to the first event within which it is on time
    :param budget_s: time that its caller waits
    :param weight: its part of the requests
    """

    path: str
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    aim_s: float
    budget_s: float
    weight: float


KINDS = (
    RequestKind('/plan/', 13_300, 3720, 120, 0.8, 15, 29.1),
    RequestKind('/digest/', 6300, 2890, 52, 0.8, 8, 21.7),
    RequestKind('/talk/', 350, 1110, 172, 0.5, 15, 37.1),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """An account and its callers.

    :param share: its part of all requests
    :param homes: gateways that its callers are connected to
    :param kind_weights: its parts of each kind of request
    :param subjects: shared parts that its prompts have of each kind
    """

    name: str
    share: float
    homes: tuple[int, ...]
    kind_weights: tuple[float, ...]
    subjects: int

    @property
    def key(self) -> str:
        """Its key."""
        return f'key-of-{self.name}'


@dataclasses.dataclass(slots=True)
class Second:
    """What was asked for and begun in a second, by account."""

    asked: Counter[str] = dataclasses.field(default_factory=Counter)
    got: Counter[str] = dataclasses.field(default_factory=Counter)
    impaired: set[str] = dataclasses.field(default_factory=set)
    refused: int = 0

    def least(self, account: str) -> float:
        """Return the least that an impaired account is to get."""
        best = max(self.got.values(), default=0)
        return SHARE * min(self.asked[account], best)


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """An account that got less than its share in a window.

    :param least: what it should have got at least
    """

    account: str
    start_s: int
    asked: float
    got: float
    least: float
    best: str
    best_got: float


def lowest_share(
    seconds: Sequence[Second], largest: float
) -> tuple[float, str]:
    """Return the lowest share that an impaired account got, and its name.

    Its part of what it asked for, or of what the best served account got.
    """
    lowest = (math.inf, '')
    for start in range(len(seconds) - WINDOW_S + 1):
        window = seconds[start : start + WINDOW_S]
        for account in set.intersection(*(each.impaired for each in window)):
            due = sum(each.least(account) for each in window) / SHARE
            got = sum(each.got[account] for each in window)
            got += MISSING_REQUESTS * largest
            if due:
                lowest = min(lowest, (got / due, account))
    return lowest


def find_shortages(seconds: Sequence[Second], largest: float) -> list[Shortage]:
    """Return the windows in which an account got too little.

    :param largest: cost of the largest request
    """
    found = []
    for start in range(len(seconds) - WINDOW_S + 1):
        window = seconds[start : start + WINDOW_S]
        total: Counter[str] = Counter()
        for second in window:
            total.update(second.got)
        if not total:
            continue
        best, best_got = total.most_common(1)[0]
        for account in set.intersection(*(each.impaired for each in window)):
            owed = sum(
                SHARE
                * min(each.asked[account], max(each.got.values(), default=0))
                for each in window
            )
            owed -= MISSING_REQUESTS * largest
            if total[account] < owed:
                asked = sum(each.asked[account] for each in window)
                found.append(
                    Shortage(
                        account,
                        start,
                        asked,
                        total[account],
                        owed,
                        best,
                        best_got,
                    ),
                )
    return found


class FairLoad:
    """Gateways, engines and the callers of uneven accounts."""

    def __init__(self, seed: int, directory: Path, engines: int) -> None:
        """Hold the stand-ins; nothing runs yet."""
        self.random = random.Random(seed)
        self.directory = directory
        self.store = StoreStandin()
        self.engines = [
            BatchEngine(f'engine-{number}', EngineSpeed())
            for number in range(engines)
        ]
        self.gateways: list[GatewayProcess] = []
        self.accounts: list[Account] = []
        self.seconds: dict[int, Second] = defaultdict(Second)
        self.started_s = 0.0
        self.requests = 0
        self.stack = contextlib.AsyncExitStack()
        self.session: aiohttp.ClientSession
        self.lag_s = 0.0

    async def start(self, gateways: int, accounts: int) -> None:
        """Start all parts and wait until the gateways serve."""
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)),
        )
        address, runner = await start_server(self.store.application)
        self.stack.push_async_callback(runner.cleanup)
        self.accounts = self._draw_accounts(accounts, gateways)
        self.store.put('op/config', self._configuration())
        for engine in self.engines:
            listed, server = await start_server(engine.application)
            self.stack.push_async_callback(server.cleanup)
            self.store.put(
                f'servers/{engine.name}',
                target_entry(
                    engine.name, 'llm', listed, Slots=engine.speed.slots
                ),
            )
        for number in range(gateways):
            gateway = GatewayProcess(
                number, self.directory, Address.from_text(address)
            )
            await gateway.relay.start()
            self.stack.push_async_callback(gateway.relay.stop)
            gateway.start()
            self.stack.callback(gateway.kill)
            self.gateways.append(gateway)
        async with asyncio.timeout(START_TIMEOUT_S):
            for gateway in self.gateways:
                while not await self._is_ready(gateway):
                    await asyncio.sleep(0.1)

    async def play(self, rate: float, seconds: float) -> None:
        """Send requests of all accounts.

        :param rate: requests a second of all accounts together
        """
        self.started_s = time.monotonic()
        watch = asyncio.ensure_future(self._measure_lag())
        async with asyncio.TaskGroup() as calls:
            for account in self.accounts:
                calls.create_task(
                    self._call_often(account, rate * account.share, seconds)
                )
        watch.cancel()
        for engine in self.engines:
            for begun in engine.begun:
                self._record_begin(begun)

    def _draw_accounts(self, count: int, gateways: int) -> list[Account]:
        """Return accounts of very different size, spread and prompts."""
        skew = self.random.choice(HOME_SKEWS)
        weights = [1 / (number + 1) ** 1.2 for number in range(count)]
        accounts = []
        for number, weight in enumerate(weights):
            homes = self.random.choices(
                range(gateways),
                weights=[(home + 1) ** -skew for home in range(gateways)],
                k=max(1, round(weight / sum(weights) * 40)),
            )
            accounts.append(
                Account(
                    f'a{number}',
                    weight / sum(weights),
                    tuple(homes),
                    tuple(
                        kind.weight * self.random.choice(KIND_FACTORS)
                        for kind in KINDS
                    ),
                    self.random.choice(SUBJECT_COUNTS),
                ),
            )
        return accounts

    def _configuration(self) -> dict[str, object]:
        """Return the configuration with a key for each account."""
        document = configuration(1)
        document['Routes'] = [
            {
                'Name': kind.path.strip('/'),
                'Host': HOST,
                'Prefix': kind.path,
                'Kind': 'streaming',
                'TimeoutMs': kind.budget_s * 1000,
                'GoalMs': kind.aim_s * 1000,
                'GapTargetMs': 250,
                'Attempts': 1,
                'Service': 'llm',
            }
            for kind in KINDS
        ]
        speed = self.engines[0].speed
        document['Services'][0]['Engine'] = {
            'Slots': speed.slots,
            'KvTokens': speed.memory_tokens,
        }
        document['Tenants'] = [
            {'Name': account.name, 'ApiKeys': [account.key]}
            for account in self.accounts
        ]
        return document

    async def _is_ready(self, gateway: GatewayProcess) -> bool:
        """Return whether a gateway is ready."""
        url = f'http://{gateway.settings.listen.readiness}/v1/ready'
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.get(url) as response:
                return response.status == 200
        return False

    async def _measure_lag(self) -> None:
        """Record the longest delay of a timer of this process."""
        while True:
            due_s = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            self.lag_s = max(self.lag_s, time.monotonic() - due_s)

    async def _call_often(
        self, account: Account, rate: float, seconds: float
    ) -> None:
        """Send an account's requests at random times, some in surges."""
        end_s = self.started_s + seconds
        calm_s, surge_s = self.random.uniform(3, 9), self.random.uniform(2, 7)
        has_surges = self.random.random() < SURGING_SHARE
        async with asyncio.TaskGroup() as calls:
            while True:
                phase_s = (time.monotonic() - self.started_s) % (
                    calm_s + surge_s
                )
                is_surge = has_surges and phase_s > calm_s
                await asyncio.sleep(
                    self.random.expovariate(
                        rate * (SURGE_FACTOR if is_surge else 1)
                    )
                )
                if time.monotonic() > end_s:
                    break
                calls.create_task(self._call(account))

    async def _call(self, account: Account) -> None:
        """Send a request, and once more if it is refused."""
        kind = self.random.choices(KINDS, weights=account.kind_weights)[0]
        subject = self.random.randrange(account.subjects)
        own = f'{self.random.getrandbits(40):010x}'
        parts = (
            f'{_part_id(kind.path, account.name, subject)}'
            f':{kind.shared_tokens},{own}:{kind.own_tokens}'
        )
        end_s = time.monotonic() + kind.budget_s
        home = self.random.choice(account.homes)
        for _ in range(1 + RETRIES):
            retry_s = await self._send(account, kind, parts, home, end_s)
            left_s = end_s - time.monotonic()
            if retry_s is None or retry_s > left_s / 3:
                return
            await asyncio.sleep(retry_s)
            home = self.random.randrange(len(self.gateways))

    async def _send(
        self,
        account: Account,
        kind: RequestKind,
        parts: str,
        home: int,
        end_s: float,
    ) -> float | None:
        """Send one request.

        :return: time after which it may be sent again, None if it was served
        """
        self.requests += 1
        usage = f'{kind.shared_tokens + kind.own_tokens},{kind.output_tokens}'
        sent_s = time.monotonic()
        self._second(sent_s).asked[account.name] += request_cost(usage)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                asyncio.timeout(end_s - sent_s),
                self.session.post(
                    f'http://{self.gateways[home].address}{kind.path}x',
                    headers={
                        'Host': HOST,
                        'Dandelionplank-Request-Id': f'f{self.requests}',
                        'Dandelionplank-Deadline-Ms': str(
                            int((end_s - sent_s) * 1000)
                        ),
                        'Dandelionplank-Key': account.key,
                        'Dandelionplank-Model': 'm',
                        'Dandelionplank-Token-Usage': usage,
                        'Dandelionplank-Prefix-Hash': parts,
                    },
                    data=parts,
                ) as response,
            ):
                waited_s = time.monotonic() - sent_s
                if waited_s > kind.aim_s:
                    self._record_wait(account, sent_s + kind.aim_s, waited_s)
                if response.status == 200:
                    await response.read()
                    return None
                self._record_impaired(account, time.monotonic())
                return float(response.headers.get('Retry-After', 0.5))
        self._record_wait(account, sent_s + kind.aim_s, end_s - sent_s)
        return None

    def _record_wait(
        self, account: Account, late_s: float, waited_s: float
    ) -> None:
        """Record the seconds in which a request waited past its aim."""
        until_s = min(time.monotonic(), late_s + waited_s)
        while late_s < until_s:
            self._second(late_s).impaired.add(account.name)
            late_s += 1

    def _record_impaired(self, account: Account, now_s: float) -> None:
        """Record a refusal."""
        second = self._second(now_s)
        second.impaired.add(account.name)
        second.refused += 1

    def _record_begin(self, begun: BegunRequest) -> None:
        """Record a request that an engine began to answer."""
        self._second(begun.at_s).got[begun.account] += begun.cost

    def _second(self, at_s: float) -> Second:
        """Return the second of a time."""
        return self.seconds[int(at_s - self.started_s)]


def _part_id(*names: object) -> str:
    """Return the id of a shared part."""
    return f'{xxhash.xxh32_intdigest(repr(names).encode()):08x}'


async def measure(
    seed: int, gateways: int, engines: int, rate: float, seconds: float
) -> tuple[FairLoad, list[Shortage], tuple[float, str]]:
    """Play a load and return the accounts that got too little."""
    directory = Path(tempfile.mkdtemp(prefix='fairload-'))
    load = FairLoad(seed, directory, engines)
    async with load.stack:
        await load.start(gateways, 16)
        await load.play(rate, seconds)
    largest = max(
        kind.shared_tokens + kind.own_tokens + 2 * kind.output_tokens
        for kind in KINDS
    )
    played = [load.seconds[number] for number in range(2, int(seconds))]
    return load, find_shortages(played, largest), lowest_share(played, largest)


@app.default
def main(
    seed: int = 1,
    gateways: int = 5,
    engines: int = 9,
    rate: float = 300.0,
    seconds: float = 25.0,
) -> None:
    """Play uneven accounts and print who got too little.

    :param seed: seed of the accounts and their requests
    :param rate: requests a second, the capacity is about 150
    """
    load, shortages, lowest = uvloop.run(
        measure(seed, gateways, engines, rate, seconds)
    )
    total: Counter[str] = Counter()
    asked: Counter[str] = Counter()
    for second in load.seconds.values():
        total.update(second.got)
        asked.update(second.asked)
    refused = sum(second.refused for second in load.seconds.values())
    print(
        f'seed {seed}: {load.requests} requests, {refused} refused, '
        f'{sum(engine.rejected for engine in load.engines)} rejected by '
        f'engines, lag {load.lag_s:.2f} s, lowest share {lowest[0]:.3f} of '
        f'{lowest[1]}, {total.total() / seconds / 1000:.0f}k tokens a second; '
        'got/asked by account: '
        + ' '.join(
            f'{name} {total[name] / 1000:.0f}/{count / 1000:.0f}k'
            for name, count in asked.most_common()
        )
    )
    for shortage in shortages:
        print(f'too little: {shortage}')
    print(
        f'{len(shortages)} windows in which an account got too little; '
        f'logs: {load.directory}',
    )
    sys.exit(1 if shortages else 0)


if __name__ == '__main__':
    app()
