"""Tests of requests that become complete at any time of a planned stop."""

import asyncio
import signal
import tempfile
import time
from pathlib import Path

from bench.gatewayprocess import GRACE_S
from bench.platform import request_headers
from bench.soakfleet import SoakFleet
from dandelionplank.ingress.grace import ARRIVAL_LIMIT_S
from dandelionplank.settings import Address
from dandelionplank_standins.hostiletarget import HostileTarget
from tests.fixtures import only, run_async, wait_until
from tests.test_planned_stops import LONG_DEADLINE, long_requests

# Times after SIGTERM at which the last byte of a request is sent.
COMPLETE_S = (0.1, 2.0, 2.8, 3.1, 4.5, 5.9, 7.0)
# Times that its target takes; the last one is longer than the grace.
TARGET_S = (0.01, 4.0, 60.0)
NEVER = 60.0
PATHS = ('/book/x', '/look/x')


async def answer_late(exchange):
    """Answer after the time that the body of the request states."""
    seconds = float(exchange.request.body.partition(b' ')[0])
    await asyncio.sleep(seconds)
    await exchange.write(exchange.response(exchange.request.body))


def request_bytes(request_id, path, body):
    """Return a request over a raw connection."""
    headers = {**request_headers(request_id, 'key-0'), **LONG_DEADLINE}
    lines = [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join(
        (
            f'POST {path} HTTP/1.1',
            *lines,
            f'Content-Length: {len(body)}',
            '',
            body,
        )
    ).encode()


async def send_until(gateway, stop_s, request_id, path, plan):
    """Send a request whose last byte leaves at a time after the signal.

    :param stop_s: future of the monotonic time of the signal
    :param plan: that time, and the time that the target takes
    :return: id, plan, status and when it came; zero for a connection that ends
    """
    complete_s, target_s = plan
    address = Address.from_text(gateway.address)
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    block = request_bytes(request_id, path, f'{target_s} {request_id}')
    writer.write(block[:-1])
    sent_s = await stop_s
    answering = asyncio.ensure_future(reader.readline())
    await asyncio.wait((answering,), timeout=complete_s)
    if not answering.done():
        writer.write(block[-1:])
    line = await answering
    writer.close()
    status = int(line.split()[1]) if line else 0
    return request_id, plan, status, time.monotonic() - sent_s


def expected_statuses(plan):
    """Return the statuses that a request may get.

    A late one is not sent to a target, whether the grace or the limit on the
    time of a body ends it.
    """
    complete_s, target_s = plan
    if complete_s > ARRIVAL_LIMIT_S:
        return {503, 408}
    return {502} if target_s > GRACE_S else {200}


@run_async
async def test_a_request_complete_at_any_time_of_the_grace_gets_an_answer():
    """Late ones, which may not be repeated, were passed on and then cut."""
    plans = [(at_s, target_s) for at_s in COMPLETE_S for target_s in TARGET_S]
    plans.append((NEVER, 0.01))
    with tempfile.TemporaryDirectory() as directory:
        fleet = SoakFleet(1, Path(directory))
        async with fleet.stack:
            await fleet.start()
            target = HostileTarget(answer_late)
            server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
            await use_only(fleet, server)
            gateway = fleet.gateways[0]
            stop_s = asyncio.get_running_loop().create_future()
            calls = [
                asyncio.ensure_future(
                    send_until(
                        gateway, stop_s, f'l{number}{path[1]}', path, plan
                    )
                )
                for number, plan in enumerate(plans)
                for path in PATHS
            ]
            await asyncio.sleep(0.5)
            gateway.signal(signal.SIGTERM)
            stop_s.set_result(time.monotonic())
            answers = await asyncio.gather(*calls)
            assert await gateway.wait() == 0
            took_s = time.monotonic() - stop_s.result()
            server.close()
            target.close()
    assert took_s < GRACE_S
    wrong = [
        answer
        for answer in answers
        if answer[2] not in expected_statuses(answer[1])
    ]
    assert not wrong, wrong
    ran = [request.request_id for request in target.requests]
    assert len(ran) == len(set(ran))
    refused = {answer[0] for answer in answers if answer[2] in {503, 408}}
    assert refused.isdisjoint(ran)


async def use_only(fleet, server):
    """Let one target serve all plain requests of the fleet."""
    for name in ('plain-0', 'plain-1'):
        fleet.store.delete(f'servers/{name}')
    port = only(server.sockets).getsockname()[1]
    entry = {
        'Service': 'plain',
        'Addr': f'127.0.0.1:{port}',
        'Zone': 'a',
        'Slots': 500,
        'State': 'ready',
    }
    fleet.store.put('servers/late', entry)
    fleet.store.put('op/config', long_requests(100))
    logs = fleet.gateways[0].log_path
    await wait_until(lambda: '"target":"late"' in logs.read_text())
    await asyncio.sleep(0.5)
