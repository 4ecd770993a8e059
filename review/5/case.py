"""One client's malformed token counts end every gateway they come to."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
# With TROUBLE=0 the case is played without its disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
sys.path.insert(0, str(FOLDER.parent))

from standins.config import (  # noqa: E402
    HOST,
    KEY,
    MODEL_HEADERS,
    configuration,
    route,
)
from standins.engine import Engine  # noqa: E402
from standins.http import ClientConnection  # noqa: E402
from standins.platform import run_case  # noqa: E402
from standins.store import Store  # noqa: E402

MACHINES = 3
CALM_S = 3.0
WATCHED_S = 70.0
PERIOD_S = 0.5
DEADLINE_MS = 12_000
# RULES.md, Fault: on a tenth of the machines, two at least, processes end by
# themselves three times.
ENDS = 3
ENDED_MACHINES = 2
KV_TOKENS = 500_000
OTHER_KEY = 'q4hn7tzb2cw9mkx6vj3d'
# The count of the first part has 24 digits; all else is as usual.
MALFORMED = {
    **MODEL_HEADERS,
    'Dandelionplank-Prefix-Hash': f'5c1e07a2:{"2" * 24},e4402b7d:100',
}


async def reject_larger_than_memory(engine, request, arrival):
    """Reject a prompt that no memory holds, as if the engine were full."""
    stated = request.headers.get('dandelionplank-prefix-hash', '')
    tokens = sum(int(part.rpartition(':')[2]) for part in stated.split(','))
    if tokens <= KV_TOKENS:
        return None
    arrival.outcome = 'larger than the memory'
    return await engine.reject(request, 503)


async def send_one(case, machine, key, headers, answers):
    """Send one request and record how it ended."""
    request_id = case.request_id()
    connection = ClientConnection(machine.front)
    response = await connection.call(
        'POST',
        '/chat/1',
        {**case.headers(HOST, request_id, DEADLINE_MS, key), **headers},
        b'{}',
        timeout_s=DEADLINE_MS / 1000 + 1,
    )
    connection.close()
    ended = response.ended
    if ended == 'complete':
        ended = str(response.status)
    is_malformed = headers is MALFORMED
    answers.append((response.sent_s, is_malformed, response.is_success))
    if is_malformed or not response.is_success:
        kind = 'malformed' if is_malformed else 'sound'
        case.record(
            f'{request_id} to {machine.name}, {kind}: {ended}', response.sent_s
        )


async def send_for(case, seconds, answers, *, is_malformed):
    """Send requests to the machines in rotation, each on its own connection."""
    end_s = time.monotonic() + seconds
    turn = 0
    key, headers = (
        (OTHER_KEY, MALFORMED) if is_malformed else (KEY, MODEL_HEADERS)
    )
    while time.monotonic() < end_s:
        rotation = case.rotation()
        machine = rotation[turn % len(rotation)]
        turn += 1
        asyncio.ensure_future(send_one(case, machine, key, headers, answers))
        await asyncio.sleep(PERIOD_S)


async def play(case):
    """Play the case; return whether the rule held."""
    store = Store()
    address = await store.start()
    case.parts.append(store)
    store.put(
        'op/config',
        configuration(
            3,
            [
                route(
                    'chat',
                    '/chat/',
                    'streaming',
                    'llm',
                    GoalMs=600,
                    TimeoutMs=DEADLINE_MS,
                    GapTargetMs=300,
                )
            ],
            {'hule930': [KEY], 'sopa412': [OTHER_KEY]},
        ),
    )
    for name in ('i-7f3a91c2', 'i-9e16b79e', 'i-fc002de0'):
        engine = Engine(store, name, 'llm', streams=True, slots=64)
        engine.behaviour = reject_larger_than_memory
        await engine.start()
        case.parts.append(engine)
    for _ in range(MACHINES):
        case.add_machine(address).start()
    await case.wait_ready()
    answers = []
    start_s = time.monotonic()
    senders = [
        asyncio.ensure_future(
            send_for(case, CALM_S + WATCHED_S, answers, is_malformed=False)
        )
    ]
    await asyncio.sleep(CALM_S)
    trouble_s = time.monotonic()
    if TROUBLE:
        senders.append(
            asyncio.ensure_future(
                send_for(case, WATCHED_S, answers, is_malformed=True)
            )
        )
    ended = []
    while time.monotonic() < start_s + CALM_S + WATCHED_S:
        await asyncio.sleep(0.5)
        ended = [m for m in case.machines if len(m.ends) >= ENDS]
        if len(ended) >= ENDED_MACHINES:
            break
    for sender in senders:
        sender.cancel()
    for name, found in (
        ('before', [a for a in answers if a[0] < trouble_s]),
        ('after', [a for a in answers if a[0] >= trouble_s]),
    ):
        sound = [success for _, malformed, success in found if not malformed]
        case.record(
            f'{name} the first malformed request: '
            f'{sum(sound)} of {len(sound)} sound ones served'
        )
    count = len([a for a in answers if a[1]])
    case.record(f'malformed requests: {count}')
    for machine in case.machines:
        case.record(f'{machine.name}: ended {len(machine.ends)} times by itself')
    return len(ended) < ENDED_MACHINES


run_case(FOLDER, play)
