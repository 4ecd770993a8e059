"""A part of prompts crashes engines, and the prompts that hold it have many parts.

The requests with that part go on reaching engines after many crashes, and the
streams that ordinary callers have open there are broken off each time.
"""

import asyncio
import contextlib
import os
import random
import sys
import tempfile
import time
import traceback
from pathlib import Path

import reviewkit
from reviewkit import Engine, Gateway, Record, Store, now_s

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
PARTS = int(os.environ.get('PARTS', '200'))
# Time from the first event of an answer to the crash.
CRASH_AFTER_S = float(os.environ.get('CRASH_AFTER_S', '0'))
FOLDER = Path(__file__).resolve().parent
ENGINES = 9
KV_TOKENS = 703_812
GATEWAYS = 2
# An engine "is back after some seconds" (letter 5).
DOWN_S = 3.0
CONTACT_S = 3.0
# The part that crashes engines, never the last one of a prompt.
BAD_PART = 'e5c07fa1'
BAD_EVERY_S = 1.0
LENGTH_S = 45.0
ORDINARY_CALLERS = 20
# BUDGET: more than three after the fifth crash.
COUNTED_CRASHES = 5
ALLOWED = 3


class CrashingEngine(Engine):
    """A model engine that crashes as it begins to answer the bad part."""

    def __init__(self, name, record, store):
        """Hold an engine that does not listen yet."""
        super().__init__(name, 'drafter', record, 128, None)
        self.store = store
        self.bad = []
        self.crashes = []

    async def answer(self, line, headers, body, reader, writer):
        """Stream an answer, or crash."""
        request_id = headers.get('dandelionplank-request-id', '')
        if line.startswith('GET /v1/kv-list'):
            text = b'{"epoch":1,"Next":0,"held":[]}'
            writer.write(self.head('200 OK', '', len(text)) + text)
            await writer.drain()
            return
        if headers.get('dandelionplank-expect-instance', self.name) != self.name:
            writer.write(self.head('421 Misdirected Request', request_id, 0, 'Dandelionplank-Not-Executed: 1'))
            await writer.drain()
            return
        is_bad = f'{BAD_PART}:' in headers.get('dandelionplank-prefix-hash', '')
        self.runs.append((now_s(), request_id, line))
        if is_bad:
            self.bad.append((now_s(), request_id))
            self.record.write(f'engine {self.name} gets {request_id} with the bad part')
        self.running += 1
        try:
            await asyncio.sleep(0.05)
            events = [b'id: %d\ndata: x\n\n' % number for number in range(1, 11)]
            writer.write(self.head('200 OK', request_id, sum(map(len, events)), 'Content-Type: text/event-stream'))
            writer.write(events[0])
            await writer.drain()
            if is_bad and TROUBLE:
                await asyncio.sleep(CRASH_AFTER_S)
                await self.crash()
                return
            for event in events[1:]:
                await asyncio.sleep(0.1)
                writer.write(event)
                await writer.drain()
        finally:
            self.running -= 1

    async def crash(self):
        """Reset all connections and refuse new ones; start again later."""
        self.crashes.append(now_s())
        self.record.write(f'engine {self.name} crashes')
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().call_later(
            DOWN_S, lambda: asyncio.ensure_future(self.start_again())
        )

    async def start_again(self):
        """Listen at the same address as a new start."""
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', self.port, limit=1 << 20)
        self.born = int(time.time() * 1000)
        self.store.put(f'servers/{self.name}', self.entry())
        self.record.write(f'engine {self.name} is back')


def prompt(request_id, parts, key):
    """Return a request whose parts have ten tokens each."""
    return reviewkit.request(
        request_id, '/plan/2f', key=key,
        lines=(
            'Dandelionplank-Model: m',
            f'Dandelionplank-Token-Usage: {10 * len(parts)},20',
            'Dandelionplank-Prefix-Hash: ' + ','.join(f'{part}:10' for part in parts),
        ),
    )


class Case:
    """The callers and what they saw."""

    def __init__(self, gateways, record):
        """Hold the callers; none has begun."""
        self.gateways = gateways
        self.record = record
        self.random = random.Random(1)
        # What sound prompts and those with the bad part have in common.
        self.shared = [self.own_part() for _ in range(PARTS - 2)]
        self.sent_s = {}
        self.answers = {}
        self.is_over = False

    def own_part(self):
        """Return a part that no other prompt has."""
        return f'{self.random.getrandbits(32):08x}'

    async def ask(self, kind, request_id, found, gateway):
        """Send one request on a new connection and count its outcome."""
        self.sent_s[request_id] = now_s()
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', gateway.port)
            writer.write(found)
            outcome, _, _ = await asyncio.wait_for(reviewkit.read_answer(reader), 10)
            writer.close()
        except (OSError, EOFError, TimeoutError):
            outcome = 'broken off'
        if kind == 'bad':
            self.record.write(f'caller {request_id}: {outcome}')
        self.answers[kind, outcome] = self.answers.get((kind, outcome), 0) + 1

    async def send_bad(self):
        """Send requests with the bad part, no two alike, at all gateways."""
        number = 0
        while not self.is_over:
            number += 1
            parts = [*self.shared, BAD_PART, self.own_part()]
            asyncio.ensure_future(self.ask(
                'bad', f'bad{number}', prompt(f'bad{number}', parts, 'key-b'),
                self.gateways[number % GATEWAYS],
            ))
            await asyncio.sleep(BAD_EVERY_S)

    async def call(self, caller):
        """Send sound prompts, one after the other."""
        number = 0
        while not self.is_over:
            number += 1
            request_id = f'c{caller}-{number}'
            found = prompt(request_id, [*self.shared, self.own_part()], 'key-b' if caller % 2 else 'key-a')
            await self.ask('sound', request_id, found, self.gateways[caller % GATEWAYS])
            await asyncio.sleep(0.05)


async def play(started, record, directory):
    """Run the case; return the exit code."""
    store = Store()
    await store.start()
    engines = [CrashingEngine(f'm{number}', record, store) for number in range(ENGINES)]
    for engine in engines:
        await engine.start()
        store.put(f'servers/{engine.name}', engine.entry())
    store.put('op/config', reviewkit.configuration(
        1,
        [reviewkit.route('plan', '/plan/', 'streaming', 'drafter', GapTargetMs=250, Sticky=True, Public=False)],
        [{'Name': 'drafter', 'Engine': {'Slots': 128, 'KvTokens': KV_TOKENS}}],
        keys={'tenant-a': ['key-a'], 'tenant-b': ['key-b']},
    ))
    gateways = [Gateway(number, directory, store.port) for number in range(GATEWAYS)]
    started += gateways
    for gateway in gateways:
        gateway.start()
    if not all([await gateway.wait_until_ready() for gateway in gateways]):
        record.write('a gateway did not become ready')
        return 2
    case = Case(gateways, record)
    await asyncio.sleep(2)
    callers = [asyncio.ensure_future(case.call(number)) for number in range(ORDINARY_CALLERS)]
    await asyncio.sleep(2)
    callers.append(asyncio.ensure_future(case.send_bad()))
    await asyncio.sleep(LENGTH_S)
    case.is_over = True
    await asyncio.sleep(3)
    crashes = sorted(at_s for engine in engines for at_s in engine.crashes)
    late = []
    if len(crashes) >= COUNTED_CRASHES:
        limit_s = crashes[COUNTED_CRASHES - 1] + CONTACT_S
        late = sorted(
            request_id for engine in engines for _, request_id in engine.bad
            if case.sent_s[request_id] > limit_s
        )
        record.write(f'fifth crash at {crashes[COUNTED_CRASHES - 1]:.2f}')
    record.write(f'crashes {len(crashes)}; answers {case.answers}')
    record.write(f'requests with the part that reached engines, sent later than {CONTACT_S} s after it: {len(late)} {late}')
    if ('sound', 200) not in case.answers:
        return 2
    return 1 if len(late) > ALLOWED else 0


async def main():
    """Run the case and end with its exit code."""
    record = Record(FOLDER / 'record.txt')
    code, started = 2, []
    with tempfile.TemporaryDirectory() as directory:
        try:
            code = await play(started, record, Path(directory))
        except Exception:
            record.write(traceback.format_exc())
        record.write(f'exit {code}')
        for gateway in started:
            gateway.kill()
            if os.environ.get('KEEP_LOGS'):
                with contextlib.suppress(OSError):
                    (FOLDER / gateway.log.name).write_bytes(gateway.log.read_bytes())
    print(f'exit {code}, see {FOLDER.name}/record.txt')
    sys.stdout.flush()
    os._exit(code)


asyncio.run(main())
