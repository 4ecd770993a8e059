"""An entry under servers/ that cannot be read ends every gateway."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
# With TROUBLE=0 the case is played without its disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
sys.path.insert(0, str(FOLDER.parent))

from standins.config import HOST, configuration, route  # noqa: E402
from standins.engine import Engine  # noqa: E402
from standins.http import ClientConnection  # noqa: E402
from standins.platform import run_case  # noqa: E402
from standins.store import Store  # noqa: E402

MACHINES = 3
CALM_S = 4.0
WATCHED_S = 45.0
REQUESTS_PER_S = 10
# RULES.md, Fault: on a tenth of the machines, two at least, processes end by
# themselves three times.
ENDS = 3
ENDED_MACHINES = 2
# An entry of another writer that cannot be read: it never ends its lists.
ENTRY = b'[' * 4096


async def send_requests(case, answers, until_s):
    """Send lookups to the machines in rotation, each on its own connection."""
    while time.monotonic() < until_s:
        rotation = case.rotation()
        machine = rotation[case.numbers % len(rotation)]
        asyncio.ensure_future(send_one(case, machine, answers))
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def send_one(case, machine, answers):
    """Send one lookup and record how it ended."""
    request_id = case.request_id()
    connection = ClientConnection(machine.front)
    response = await connection.call(
        'GET', '/look/1', case.headers(HOST, request_id, 4000), timeout_s=4.5
    )
    connection.close()
    ended = response.ended
    if ended == 'complete':
        ended = str(response.status)
    answers.append((response.sent_s, response.is_success, ended))
    if not response.is_success:
        case.record(f'{request_id} to {machine.name}: {ended}')


async def play(case):
    """Play the case; return whether the rule held."""
    store = Store()
    address = await store.start()
    case.parts.append(store)
    store.put(
        'op/config',
        configuration(
            3, [route('look', '/look/', 'safe', 'app', Public=True, Attempts=2)]
        ),
    )
    for name in ('i-7f3a91c2', 'i-9e16b79e'):
        engine = Engine(store, name, 'app')
        await engine.start()
        case.parts.append(engine)
    for _ in range(MACHINES):
        case.add_machine(address).start()
    await case.wait_ready()
    answers = []
    start_s = time.monotonic()
    sender = asyncio.ensure_future(
        send_requests(case, answers, start_s + CALM_S + WATCHED_S)
    )
    await asyncio.sleep(CALM_S)
    trouble_s = time.monotonic()
    if TROUBLE:
        case.record(f'another writer puts servers/x-1: {len(ENTRY)} bytes')
        store.put('servers/x-1', ENTRY)
    while time.monotonic() < start_s + CALM_S + WATCHED_S:
        await asyncio.sleep(0.5)
        ended = [m for m in case.machines if len(m.ends) >= ENDS]
        if len(ended) == MACHINES:
            break
    sender.cancel()
    for name, found in (
        ('before', [a for a in answers if a[0] < trouble_s]),
        ('after', [a for a in answers if a[0] >= trouble_s]),
    ):
        served = sum(success for _, success, _ in found)
        case.record(f'{name} the entry: {served} of {len(found)} served')
    for machine in case.machines:
        case.record(f'{machine.name}: ended {len(machine.ends)} times by itself')
    return len(ended) < ENDED_MACHINES


run_case(FOLDER, play)
