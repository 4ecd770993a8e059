"""A part of prompts that crashes engines is never held back."""

import asyncio
import itertools
import os
import random
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

MACHINES = 3
# As in the site file, three in each zone.
ENGINES = 9
CALM_S = 5.0
TROUBLE_S = 45.0
CRASHING_PERIOD_S = 5.0
SOUND_PERIOD_S = 0.2
# The sheet's warranty-draft: time budget, engines of one client attempt, and
# the client's retries.
DEADLINE_MS = 6000
ATTEMPTS = 2
RETRIES = 1
RETRY_PAUSE_S = 0.3
BACK_AFTER_S = 3.0
# Letter 5, BUDGET: more than three requests with the part later than ContactMs
# after the fifth crash.
CRASHES = 5
ALLOWED = 3
CONTACT_S = BOUNDS['ContactMs'] / 1000
SHARED_PART = '5c1e07a2:2520'
CHAT_PART = '3d9b7710:350'
CRASHING_PART = '91bd3f06:3780'


# Events of a stream, at intervals of 20 ms.
EVENTS = 40


def prompt_headers(middle):
    """Return the headers of a prompt: shared, middle, and its own part."""
    own = f'{random.getrandbits(32):08x}:2890'
    return {
        'Dandelionplank-Model': 'm',
        'Dandelionplank-Token-Usage': '9190,80',
        'Dandelionplank-Prefix-Hash': ','.join((SHARED_PART, middle, own)),
    }


class Engines:
    """The engines; one that begins an answer on the part crashes."""

    def __init__(self, case, store):
        """Hold the engines, at first none."""
        self.case = case
        self.store = store
        self.numbers = itertools.count(0x7F3A91C2, 0x1234567)
        self.crashes = []
        self.arrivals = []

    async def start(self):
        """Start one engine with a new id."""
        name = f'i-{next(self.numbers):08x}'
        engine = Engine(self.store, name, 'llm', streams=True, slots=64)
        engine.work_s = 0.1
        engine.events = EVENTS
        engine.behaviour = self.answer
        await engine.start()
        self.case.parts.append(engine)

    async def answer(self, engine, request, arrival):
        """Crash on the part as the answer begins."""
        stated = request.headers.get('dandelionplank-prefix-hash', '')
        if CRASHING_PART not in stated.split(',')[:-1]:
            return None
        arrival.outcome = 'run'
        self.arrivals.append(arrival)
        await asyncio.sleep(engine.work_s)
        if engine.server.server is None:
            return False
        self.crashes.append(time.monotonic())
        self.case.record(
            f'{engine.name} crashes (number {len(self.crashes)}) on '
            f'{arrival.request_id}'
        )
        asyncio.ensure_future(self.crash(engine))
        return False

    async def crash(self, engine):
        """End an engine; another one is there after some seconds."""
        engine.stop()
        engine.is_reporting = False
        await asyncio.sleep(BACK_AFTER_S)
        self.store.delete(f'servers/{engine.name}')
        await self.start()


async def send_request(case, kind, headers, body, answers):
    """Send a request, and once more to another machine if that fails.

    A chat may not be resumed, so that it is not sent again.
    """
    path = '/chat/1' if kind == 'chat' else '/draft/1'
    end_s = time.monotonic() + DEADLINE_MS / 1000
    rotation = case.rotation()
    machines = random.sample(rotation, min(len(rotation), 1 + RETRIES))
    for number, machine in enumerate(machines):
        request_id = case.request_id()
        connection = ClientConnection(machine.front)
        left_s = end_s - time.monotonic()
        response = await connection.call(
            'POST',
            path,
            {
                **case.headers(HOST, request_id, int(left_s * 1000), KEY),
                **headers,
            },
            body,
            timeout_s=left_s,
        )
        connection.close()
        ended = response.ended
        if ended == 'complete':
            ended = str(response.status)
        case.record(
            f'{request_id} {kind}, attempt {number + 1} at {machine.name}: '
            f'{ended}',
            response.sent_s,
        )
        if not number:
            answers.append((response.sent_s, kind, response.is_success))
        if response.is_success or response.status == 503 or kind == 'chat':
            return
        await asyncio.sleep(RETRY_PAUSE_S)


async def send_for(case, seconds, period_s, kind, answers):
    """Send requests of a kind, no two alike."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        middle = f'{random.randrange(79):08x}:3780'
        if kind == 'crashing':
            middle = CRASHING_PART
        elif kind == 'chat':
            middle = CHAT_PART
        body = f'{random.getrandbits(64):016x}'.encode() * 20
        asyncio.ensure_future(
            send_request(case, kind, prompt_headers(middle), body, answers)
        )
        await asyncio.sleep(period_s)


async def play(case):
    """Play the case; return whether the rule held."""
    store = Store()
    address = await store.start()
    case.parts.append(store)
    draft = route(
        'draft',
        '/draft/',
        'streaming',
        'llm',
        GoalMs=800,
        TimeoutMs=DEADLINE_MS,
        GapTargetMs=300,
        CanResume=True,
        Attempts=ATTEMPTS,
        Sticky=True,
    )
    chat = route(
        'chat',
        '/chat/',
        'streaming',
        'llm',
        GoalMs=600,
        TimeoutMs=12_000,
        GapTargetMs=300,
        Sticky=True,
    )
    store.put('op/config', configuration(3, [draft, chat]))
    engines = Engines(case, store)
    for _ in range(ENGINES):
        await engines.start()
    for _ in range(MACHINES):
        case.add_machine(address).start()
    await case.wait_ready()
    answers = []
    sender = asyncio.gather(
        *(
            send_for(case, CALM_S + TROUBLE_S, SOUND_PERIOD_S, kind, answers)
            for kind in ('sound', 'chat')
        )
    )
    await asyncio.sleep(CALM_S)
    if TROUBLE:
        await send_for(
            case, TROUBLE_S, CRASHING_PERIOD_S, 'crashing', answers
        )
    await sender
    await asyncio.sleep(DEADLINE_MS / 1000 + 0.5)
    late = []
    if len(engines.crashes) >= CRASHES:
        judged_s = engines.crashes[CRASHES - 1] + CONTACT_S
        late = [a for a in engines.arrivals if a.at_s > judged_s]
    for kind in ('sound', 'chat'):
        found = [success for _, each, success in answers if each == kind]
        case.record(
            f'{kind}: {len(found)} sound requests, '
            f'{sum(found)} complete at the first attempt'
        )
    case.record(f'requests with the part at engines: {len(engines.arrivals)}')
    case.record(f'crashes of engines: {len(engines.crashes)}')
    case.record(f'BUDGET: {len(late)} came later than allowed, {ALLOWED} may')
    return len(late) <= ALLOWED


run_case(FOLDER, play)
