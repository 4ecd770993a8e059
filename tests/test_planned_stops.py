"""Tests that a planned stop leaves no request without a response."""

import asyncio
import signal
import tempfile
from pathlib import Path
from unittest import mock

import aiohttp
from yarl import URL

from bench.gatewayprocess import GatewayProcess
from bench.plannedstops import play
from bench.platform import (
    MODEL_HEADERS,
    configuration,
    request_headers,
)
from bench.soakfleet import SoakFleet
from dandelionplank.ingress import grace
from dandelionplank.settings import Address
from tests.fixtures import only, run_async, wait_until
from tests.platformfleet import platform_fleet

SOAK_SEED = 9
SOAK_SECONDS = 10
LONG_DEADLINE = {'Dandelionplank-Deadline-Ms': '20000'}


def long_requests(version):
    """Return a configuration whose requests may take 20 s."""
    changes = {
        name: {'TimeoutMs': 20_000, 'GoalMs': 20_000}
        for name in ('stream', 'unsafe', 'safe')
    }
    return configuration(version, ('key-a', 'key-0'), **changes)


async def allow_long_requests(fleet):
    """Apply a configuration whose requests may take 20 s."""
    fleet.store.put('op/config', long_requests(2))
    view = only(fleet.gateways).view
    await wait_until(lambda: view.table.version == 2)


@run_async
async def test_a_request_still_waiting_at_the_end_of_the_grace_is_refused():
    """It was sent to no target, so its caller may repeat it at once."""
    async with platform_fleet() as fleet:
        await allow_long_requests(fleet)
        gateway = only(fleet.gateways)
        with mock.patch.object(gateway.scheduler, 'run_pass', return_value=[]):
            calls = [
                asyncio.ensure_future(fleet.call(path, headers=headers))
                for path, headers in (
                    ('/book/x', LONG_DEADLINE),
                    ('/look/x', LONG_DEADLINE),
                    ('/chat/x', {**MODEL_HEADERS, **LONG_DEADLINE}),
                )
            ]
            await wait_until(lambda: len(gateway.dispatcher.futures) == 3)
            gateway.gateway.grace.begin(0.5)
            async with asyncio.timeout(2):
                answers = await asyncio.gather(*calls)
        for status, _, headers in answers:
            assert status == 503
            assert float(headers['Retry-After']) > 0
        assert not fleet.runs()
        assert not gateway.dispatcher.futures


@run_async
async def test_a_request_in_progress_at_the_end_of_the_grace_gets_a_response():
    """It may have been executed: the response does not promise otherwise."""
    async with platform_fleet() as fleet:
        await allow_long_requests(fleet)
        gateway = only(fleet.gateways)
        for target in fleet.targets.values():
            target.faults.delay_s = 10
        calls = [
            asyncio.ensure_future(fleet.call(path, headers=headers))
            for path, headers in (
                ('/book/x', LONG_DEADLINE),
                ('/look/x', LONG_DEADLINE),
                ('/chat/x', {**MODEL_HEADERS, **LONG_DEADLINE}),
            )
        ]
        await wait_until(lambda: len(fleet.runs()) == 3)
        gateway.gateway.grace.begin(0.5)
        async with asyncio.timeout(2):
            answers = await asyncio.gather(*calls)
        for status, _, headers in answers:
            assert status == 502
            assert 'Retry-After' not in headers


@run_async
async def test_a_body_that_ends_late_in_the_grace_is_refused():
    """Its response might not end before the process does."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        url = URL(fleet.urls[0])
        reader, writer = await asyncio.open_connection(url.host, url.port)
        lines = [
            f'{name}: {text}'
            for name, text in request_headers('slow', 'key-a').items()
        ]
        head = '\r\n'.join(
            ('POST /book/x HTTP/1.1', *lines, 'Content-Length: 4', '', 'ab')
        )
        writer.write(head.encode())
        await wait_until(lambda: gateway.gateway.open_requests)
        with mock.patch.object(grace, 'ARRIVAL_LIMIT_S', 0.1):
            gateway.gateway.grace.begin(4.0)
        await asyncio.sleep(0.3)
        writer.write(b'cd')
        async with asyncio.timeout(1):
            response = await reader.readuntil(b'\r\n\r\n')
        writer.close()
        assert response.startswith(b'HTTP/1.1 503')
        assert not fleet.runs()


@run_async
async def test_the_end_of_the_process_cuts_no_request():
    """Requests that wait or are in progress get a response before it."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = SoakFleet(1, Path(directory))
        async with fleet.stack:
            await fleet.start()
            fleet.store.put('op/config', long_requests(100))
            await asyncio.sleep(0.5)
            for target in fleet.targets.values():
                target.faults.delay_s = 20
            calls = [
                asyncio.ensure_future(send_long_request(fleet, number))
                for number in range(60)
            ]
            await asyncio.sleep(0.5)
            only(fleet.gateways[:1]).signal(signal.SIGTERM)
            answers = await asyncio.gather(*calls)
            assert await fleet.gateways[0].wait() == 0
    assert {status for _, status in answers} <= {502, 503}, answers
    refused = {each for each, status in answers if status == 503}
    for target in fleet.targets.values():
        assert refused.isdisjoint(run.request_id for run in target.runs)


async def send_long_request(fleet, number):
    """Send a request that takes 20 s; return its id and its status."""
    path = ('/book/x', '/look/x', '/chat/x')[number % 3]
    headers = {
        **request_headers(f'long-{number}', 'key-0'),
        **MODEL_HEADERS,
        **LONG_DEADLINE,
    }
    url = f'http://{fleet.gateways[0].address}{path}'
    async with aiohttp.ClientSession() as session:
        try:
            async with session.post(url, headers=headers) as response:
                await response.read()
                return f'long-{number}', response.status
        except aiohttp.ClientError as error:
            return f'long-{number}', repr(error)


@run_async
async def test_a_stream_that_starts_after_the_signal_announces_the_close():
    """Its caller sends no further request on a connection that closes."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        with mock.patch.object(gateway.scheduler, 'run_pass', return_value=[]):
            stream = asyncio.ensure_future(
                fleet.call('/chat/x', headers=MODEL_HEADERS)
            )
            await wait_until(lambda: gateway.dispatcher.futures)
            gateway.gateway.is_leaving = True
        status, _, headers = await stream
        assert (status, headers.get('Connection')) == (200, 'close')


@run_async
async def test_planned_work_in_series_cuts_no_request():
    """Stops, new configurations and draining targets overlap under load."""
    with tempfile.TemporaryDirectory() as directory:
        fleet = await play(SOAK_SEED, SOAK_SECONDS, Path(directory))
    assert not fleet.violations, '\n'.join(fleet.trace)


@run_async
async def test_a_failed_scheduling_pass_leaves_no_request_waiting():
    """A target granted to it later would count as busy for ever."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        with mock.patch.object(
            gateway.scheduler, 'run_pass', side_effect=RuntimeError('pass')
        ):
            assert (await fleet.call('/book/x'))[0] == 502
        assert not gateway.dispatcher.futures
        await asyncio.sleep(0.1)
        assert (await fleet.call('/book/x'))[0] == 200
        loads = gateway.scheduler.loads.values()
        assert not any(load.running for load in loads)


def is_in_mask(process, field, number):
    """Return whether a signal is in a mask of a process."""
    status = Path(f'/proc/{process.pid}/status').read_text(encoding='utf-8')
    mask = next(
        line.split()[1]
        for line in status.splitlines()
        if line.startswith(f'{field}:')
    )
    return bool(int(mask, 16) >> (number - 1) & 1)


@run_async
async def test_a_reload_during_the_start_does_not_end_the_gateway():
    """SIGHUP ended a gateway that had no handler for it yet."""
    async with platform_fleet(engines=1) as fleet:
        store = Address.from_text(fleet.store_address)
        with tempfile.TemporaryDirectory() as directory:
            gateway = GatewayProcess(9, Path(directory), store)
            await gateway.relay.start()
            gateway.start()
            try:
                await check_reload_during_start(gateway)
            finally:
                gateway.kill()
                await gateway.wait()
                await gateway.relay.stop()


async def check_reload_during_start(gateway):
    """Send SIGHUP to a gateway that has no handler yet."""
    process = gateway.process
    await wait_until(lambda: is_in_mask(process, 'SigBlk', signal.SIGHUP))
    assert not is_in_mask(process, 'SigCgt', signal.SIGHUP)
    gateway.signal(signal.SIGHUP)
    await wait_until(lambda: '"reloaded"' in gateway.log_path.read_text())
    assert gateway.is_running
