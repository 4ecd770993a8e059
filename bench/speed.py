"""Measures costs per request and chunk, next to a bare relay as baseline."""

import asyncio
import contextlib
import dataclasses
import sys
import time
from collections.abc import AsyncIterator, Iterator
from statistics import quantiles
from typing import Any

import aiohttp
import msgspec
import psutil

from bench.callers import ChatOutcome, chat, chat_document
from bench.fleet import (
    AccountPlan,
    Fleet,
    FleetPlan,
    ServicePlan,
    reserve_ports,
    stop_process,
    wait_for_port,
)

ENGINES = 4
REQUESTS = 3000
CONCURRENCY = 64
STREAMS = 100
STREAM_TOKENS = 400
OPENED_AT_ONCE = 2000
PACED_REQUESTS = 400
PACED_PERIOD_S = 0.01
MEGABYTE = 1_048_576
US_PER_SECOND = 1_000_000
MS_PER_SECOND = 1000

PLAN = FleetPlan(
    routers=1,
    services=(
        ServicePlan(
            'assistant',
            'model',
            ENGINES,
            {
                'models': ['standin'],
                'target_limit': 1000,
                'target_limit_max': 1000,
                'inter_token_target_ms': 100000,
            },
            ('--token-ms', '1', '--batch', '4000', '--prefill-us', '0'),
        ),
    ),
    accounts=(AccountPlan('small', 'dobrescu'),),
)


@dataclasses.dataclass(frozen=True)
class Cost:
    """Costs of one path: through the router, or through the relay."""

    request_us: float
    chunk_us: float
    requests_per_s: float
    first_token_ms: tuple[float, float]


class SpeedBench:
    """Sends the same load through a router and through a bare relay."""

    def __init__(self, fleet: Fleet, relay_url: str, relay_pid: int) -> None:
        """Hold the relay and the router, which are measured in turn.

        :param relay_pid: process whose CPU time is the baseline
        """
        self.fleet = fleet
        self.relay_url = relay_url
        self.relay = psutil.Process(relay_pid)
        process = fleet.routers[0].process
        assert process is not None
        self.router = psutil.Process(process.pid)

    async def run(self) -> dict[str, float]:
        """Run all measurements; the names of the figures end in their unit."""
        figures: dict[str, float] = {}
        figures['idle_rss_mb'] = self.router.memory_info().rss / MEGABYTE
        router_url = self.fleet.routers[0].url
        bare = await self.measure(self.relay_url, self.relay)
        routed = await self.measure(router_url, self.router)
        for name, cost in (('relay', bare), ('router', routed)):
            figures[f'{name}_request_us'] = cost.request_us
            figures[f'{name}_chunk_us'] = cost.chunk_us
            figures[f'{name}_requests_per_s'] = cost.requests_per_s
        figures['request_ratio'] = routed.request_us / bare.request_us
        figures['chunk_ratio'] = routed.chunk_us / bare.chunk_us
        for index, name in enumerate(('p50', 'p99')):
            added = routed.first_token_ms[index] - bare.first_token_ms[index]
            figures[f'added_first_token_{name}_ms'] = added
        figures.update(await self.open_at_once(router_url))
        return figures

    async def measure(self, url: str, process: psutil.Process) -> Cost:
        """Return the costs of one path."""
        await drain_chats(url, 200, CONCURRENCY, 1)
        before_s, started_s = cpu_s(process), time.monotonic()
        await drain_chats(url, REQUESTS, CONCURRENCY, 1)
        elapsed_s = time.monotonic() - started_s
        request_s = (cpu_s(process) - before_s) / REQUESTS
        before_s = cpu_s(process)
        await drain_chats(url, STREAMS, STREAMS, STREAM_TOKENS)
        stream_s = (cpu_s(process) - before_s) / STREAMS
        first = await paced_first_tokens(url)
        return Cost(
            request_s * US_PER_SECOND,
            (stream_s - request_s) / STREAM_TOKENS * US_PER_SECOND,
            REQUESTS / elapsed_s,
            first,
        )

    async def open_at_once(self, url: str) -> dict[str, float]:
        """Open many streams together and count the complete responses."""
        before = self.router.memory_info().rss
        peak = asyncio.create_task(self._watch_memory())
        outcomes: list[ChatOutcome] = []
        async with open_session() as session:
            outcomes = await asyncio.gather(
                *(
                    chat(session, url, 'small', f'stream {number}', 20)
                    for number in range(OPENED_AT_ONCE)
                ),
            )
        peak.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await peak
        for each in outcomes:
            if not each.is_complete:
                print('incomplete:', each.status, each.refusal, each.tokens)
                break
        complete = sum(
            each.is_complete and not each.has_mismatch for each in outcomes
        )
        return {
            'opened_at_once': OPENED_AT_ONCE,
            'whole_of_those': complete,
            'memory_above_idle_mb': (self.peak_rss - before) / MEGABYTE,
        }

    async def _watch_memory(self) -> None:
        """Record the peak resident size until cancelled."""
        self.peak_rss = 0
        while True:
            self.peak_rss = max(self.peak_rss, self.router.memory_info().rss)
            await asyncio.sleep(0.05)


def cpu_s(process: psutil.Process) -> float:
    """Return the CPU time used by a process in seconds."""
    times = process.cpu_times()
    return times.user + times.system


@contextlib.asynccontextmanager
async def open_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Yield an HTTP session without connection limit or timeout."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
    ) as session:
        yield session


async def drain_chats(
    url: str,
    count: int,
    concurrency: int,
    tokens: int,
) -> None:
    """Send chats, some at a time, and check only that the streams end."""
    body = msgspec.json.encode(chat_document('hello there', tokens))
    headers = {'Authorization': 'Bearer key-of-small'}
    async with open_session() as session:
        posts = (
            session.post(
                f'{url}/v1/chat/completions',
                data=body,
                headers=headers,
            )
            for _ in range(count)
        )
        await asyncio.gather(*(_drain(posts) for _ in range(concurrency)))


async def _drain(posts: Iterator[Any]) -> None:
    """Send chats one after the other until none is left."""
    for post in posts:
        async with post as response:
            body = await response.read()
            assert body.endswith(b'[DONE]\n\n'), body


async def paced_first_tokens(url: str) -> tuple[float, float]:
    """Send chats at a fixed rate; return p50 and p99 to first token in ms."""
    async with open_session() as session:
        tasks = []
        for number in range(PACED_REQUESTS):
            call = chat(session, url, 'small', f'paced {number}', 5)
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(PACED_PERIOD_S)
        outcomes = await asyncio.gather(*tasks)
    percentiles = quantiles([each.first_token_s for each in outcomes], n=100)
    return percentiles[49] * MS_PER_SECOND, percentiles[98] * MS_PER_SECOND


async def measure_speed() -> dict[str, float]:
    """Start a router and a relay, and measure both."""
    async with Fleet(PLAN) as fleet:
        port = reserve_ports(1)[0]
        engines = [
            url.removeprefix('http://') for url in fleet.targets['assistant']
        ]
        relay = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.relay',
            f'127.0.0.1:{port}',
            *engines,
        )
        try:
            await wait_for_port(port)
            bench = SpeedBench(fleet, f'http://127.0.0.1:{port}', relay.pid)
            return await bench.run()
        finally:
            await stop_process(relay)


if __name__ == '__main__':
    for name, figure in asyncio.run(measure_speed()).items():
        print(f'{name}: {figure:.2f} {name.rpartition("_")[2]}')
