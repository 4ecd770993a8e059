"""Two keys are taken away, the last ones: requests with them still run."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
# With TROUBLE=0 the case is played without its disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
sys.path.insert(0, str(FOLDER.parent))

from standins.config import HOST, KEY, configuration, route  # noqa: E402
from standins.engine import Engine  # noqa: E402
from standins.http import ClientConnection  # noqa: E402
from standins.platform import BOUNDS, run_case  # noqa: E402
from standins.store import Store  # noqa: E402

MACHINES = 2
CALM_S = 3.0
# RULES.md, API keys: judged are requests sent later than RevokeMs after the ack.
REVOKE_S = BOUNDS['RevokeMs'] / 1000
JUDGED_S = 10.0
PERIOD_S = 0.25
OTHER_KEY = 'q4hn7tzb2cw9mkx6vj3d'
NEVER_HELD_KEY = 'zz0neverheldbyanyone'
# The site file's dose: two keys are taken away, 1.5 s apart.
GAP_S = 1.5
TENANTS = (
    {'hule930': [KEY], 'sopa412': [OTHER_KEY]},
    {'hule930': [KEY], 'sopa412': []},
    {'hule930': [], 'sopa412': []},
)
KEYS = (KEY, OTHER_KEY, NEVER_HELD_KEY)
ROUTES = [route('book', '/book/', 'unsafe', 'app')]


async def send_one(case, machine, key, sent):
    """Send one booking and record how it was answered."""
    request_id = case.request_id()
    connection = ClientConnection(machine.front)
    response = await connection.call(
        'POST',
        '/book/1',
        case.headers(HOST, request_id, 4000, key),
        b'{"crew":"7"}',
    )
    connection.close()
    sent.append((request_id, key, response.sent_s))
    case.record(
        f'{request_id} to {machine.name} with key {key}: '
        f'{response.status or response.ended}',
        response.sent_s,
    )


async def send_for(case, keys, seconds, sent):
    """Send bookings with each key to each machine for some time."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        for machine in case.machines:
            for key in keys:
                await send_one(case, machine, key, sent)
        await asyncio.sleep(PERIOD_S)


async def play(case):
    """Play the case; return whether the rule held."""
    store = Store()
    address = await store.start()
    case.parts.append(store)
    store.put('op/config', configuration(3, ROUTES, TENANTS[0]))
    engine = Engine(store, 'i-7f3a91c2', 'app')
    await engine.start()
    case.parts.append(engine)
    for _ in range(MACHINES):
        case.add_machine(address).start()
    await case.wait_ready()
    before = []
    await send_for(case, KEYS, CALM_S, before)
    if TROUBLE:
        store.put('op/config', configuration(7, ROUTES, TENANTS[1]))
        case.record('ack of version 7: tenant sopa412 holds no key any more')
        await asyncio.sleep(GAP_S)
        store.put('op/config', configuration(12, ROUTES, TENANTS[2]))
        case.record('ack of version 12: tenant hule930 holds no key any more')
    acked_s = time.monotonic()
    await asyncio.sleep(REVOKE_S + 0.1)
    after = []
    await send_for(case, KEYS, JUDGED_S, after)
    await asyncio.sleep(0.5)
    runs = {
        arrival.request_id: arrival
        for arrival in engine.arrivals
        if arrival.outcome == 'run'
    }
    revoked = []
    if TROUBLE:
        revoked = [
            request_id
            for request_id, key, sent_s in after
            if key in {KEY, OTHER_KEY} and sent_s > acked_s + REVOKE_S and request_id in runs
        ]
    unknown = [
        request_id
        for request_id, key, _ in (*before, *after)
        if key == NEVER_HELD_KEY and request_id in runs
    ]
    for request_id in (*revoked, *unknown):
        run = runs[request_id]
        tenant = run.headers.get('dandelionplank-tenant')
        case.record(
            f'{request_id} ran at {engine.name}, tenant {tenant}', run.at_s
        )
    valid = [row for row in before if row[1] != NEVER_HELD_KEY]
    case.record(f'before: {len([r for r in valid if r[0] in runs])} of {len(valid)} bookings ran')
    case.record(f'CONFIG: {len(revoked)} ran with a key taken away')
    case.record(f'ROUTE: {len(unknown)} ran with a key that was never held')
    return not revoked and not unknown


run_case(FOLDER, play)
