"""Shared fixtures for the tests."""

import asyncio
import contextlib
import functools

import aiohttp
import uvloop

from bench.fleet import (
    AccountPlan,
    Fleet,
    FleetPlan,
    ServicePlan,
    reserve_ports,
)
from dandelionplank.metrics import METRICS
from dandelionplank.platform.etcd import EtcdStore
from dandelionplank_standins.commands import start_serving
from dandelionplank_standins.keyvalue import KeyValueStandin

TIME_LIMIT_S = 90
ACCOUNTS = (
    AccountPlan('small', 'dobrescu', 1),
    AccountPlan('middle', 'dobrescu', 2),
    AccountPlan('large', 'rota-limpa', 4),
)
ASSISTANT = ServicePlan(
    'assistant',
    'model',
    3,
    {'models': ['standin'], 'target_limit': 4, 'target_limit_max': 4},
    ('--token-ms', '5', '--batch', '4'),
)
BOOKING = ServicePlan('booking', 'plain', 2, {'answer_timeout_s': 3.0})
PLAN = FleetPlan(3, (ASSISTANT, BOOKING), ACCOUNTS)


def run_async(test):
    """Run an asynchronous test function within a time limit."""

    @functools.wraps(test)
    def run():
        asyncio.run(_limit(test))

    return run


def run_on_both_loops(test):
    """Run an asynchronous test on the event loops of asyncio and uvloop."""

    @functools.wraps(test)
    def run():
        asyncio.run(_limit(test))
        uvloop.run(_limit(test))

    return run


async def _limit(test):
    """Run a test within the time limit."""
    async with asyncio.timeout(TIME_LIMIT_S):
        await test()


def with_fleet(plan=PLAN):
    """Run a test function with a running fleet of processes."""

    def decorate(test):
        @functools.wraps(test)
        async def run():
            async with Fleet(plan) as fleet:
                await test(fleet)

        del run.__wrapped__
        return run_async(run)

    return decorate


@contextlib.asynccontextmanager
async def running(*coroutines):
    """Run coroutines as tasks while the context is open."""
    tasks = list(map(asyncio.ensure_future, coroutines))
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def key_value_store(timeout_s=0.5):
    """Serve the key-value stand-in and yield it with a client."""
    standin = KeyValueStandin()
    address = f'127.0.0.1:{reserve_ports(1)[0]}'
    runner = await start_serving(address, standin.application)
    store = EtcdStore.from_url(f'http://{address}', timeout_s)
    try:
        yield standin, store
    finally:
        await store.close()
        await runner.cleanup()


@contextlib.asynccontextmanager
async def session():
    """Yield an HTTP client session without a connection limit."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
    ) as opened:
        yield opened


async def eventually(condition, limit_s=10, period_s=0.05):
    """Poll an asynchronous condition until it holds, and return its result."""
    async with asyncio.timeout(limit_s):
        while True:
            outcome = await condition()
            if outcome:
                return outcome
            await asyncio.sleep(period_s)


async def wait_until(condition):
    """Wait until a synchronous condition holds."""

    async def check():
        return condition()

    await eventually(check, period_s=0.01)


async def read_metric(fleet, router, name):
    """Return the sum of a router's metrics that start with a name, or zero."""
    async with fleet.session.get(f'{router.url}/metrics') as response:
        text = await response.text()
    total = 0.0
    for line in text.splitlines():
        if line.startswith(f'dandelionplank_{name}'):
            total += float(line.rpartition(' ')[2])
    return total


async def post_deposit(fleet, router, key='', body='deposit', account='small'):
    """Send a deposit and return status, headers and document."""
    headers = {'Authorization': f'Bearer key-of-{account}'}
    if key:
        headers['Idempotency-Key'] = key
    async with fleet.session.post(
        f'{router.url}/services/booking/deposits',
        data=body,
        headers=headers,
    ) as response:
        document = await response.json(content_type=None)
        return response.status, response.headers, document


async def count_deposit_runs(fleet):
    """Return how often the targets executed each deposit."""
    runs = {}
    for url in fleet.targets['booking']:
        for label, count in (await fleet.get(f'{url}/standin/runs')).items():
            body = label.rpartition(' ')[2]
            runs[body] = runs.get(body, 0) + count
    return runs


def event_counter(event):
    """Return the key of the counter of an event's log lines."""
    return ('events_total', (('event', str(event.number)),))


def count_events(event):
    """Return how many log lines an event has in this process."""
    return METRICS.counters[event_counter(event)]


def only(found):
    """Return the single element of a list."""
    assert len(found) == 1
    return found[0]
