"""Tests of prompts that crash the engines that begin to answer them."""

import asyncio
import contextlib
import itertools

import aiohttp

from bench.platform import COMPLETE_STREAM
from tests.fixtures import run_async
from tests.platformfleet import platform_fleet

GATEWAYS = 3
ENGINES = 8
CRASHING_PART = 'dead'
# Bounds that the platform states, counted from the fifth crash.
CONTAINED_AFTER_S = 3.0
SERVED_AFTER_S = 2 * CONTAINED_AFTER_S
MAX_LATE_REQUESTS = 3
COUNTED_CRASHES = 5
MEASURED_S = 3.0
CRASHING_S = 13.0
RESTART_S = 2.0
SOUND_PERIOD_S = 0.1
CRASHING_PERIOD_S = 0.3


class CrashScene:
    """Callers of sound and of crashing prompts, and engines that restart."""

    def __init__(self, fleet):
        """Hold the fleet and the outcomes of the sound calls."""
        self.fleet = fleet
        self.numbers = itertools.count(1)
        self.sound = []
        self.crashes = []
        self.restarts = set()

    @property
    def engines(self):
        """Return all engines, those that have crashed included."""
        return [
            target for target in self.fleet.targets.values() if target.streams
        ]

    def now_s(self):
        """Return the time by which runs and crashes are dated."""
        return asyncio.get_running_loop().time()

    def parts(self, *shared):
        """Return the parts of a prompt of which the last one is its own."""
        own = f'{next(self.numbers):x}f'
        return ','.join(f'{part}:50' for part in (*shared, own))

    async def call(self, parts, gateway):
        """Send a prompt; return whether its whole response arrived."""
        try:
            status, body, _ = await self.fleet.call(
                '/chat/x',
                gateway=gateway,
                headers={
                    'Dandelionplank-Model': 'm',
                    'Dandelionplank-Token-Usage': '200,20',
                    'Dandelionplank-Prefix-Hash': parts,
                },
            )
        except aiohttp.ClientError:
            return False
        return status == 200 and body == COMPLETE_STREAM

    async def call_sound(self):
        """Send sound prompts to all gateways until cancelled."""
        async with asyncio.TaskGroup() as calls:
            for gateway in itertools.cycle(range(GATEWAYS)):
                parts = self.parts('ab', f'c{gateway}')
                calls.create_task(self._record(parts, gateway))
                await asyncio.sleep(SOUND_PERIOD_S)

    async def call_crashing(self):
        """Send crashing prompts to all gateways in turn until cancelled."""
        async with asyncio.TaskGroup() as calls:
            for gateway in itertools.cycle(range(GATEWAYS)):
                other = f'c{next(self.numbers) % GATEWAYS}'
                parts = self.parts('ab', other, CRASHING_PART)
                calls.create_task(self.call(parts, gateway))
                await asyncio.sleep(CRASHING_PERIOD_S)

    async def crash_for(self, seconds):
        """Send crashing prompts for some seconds."""
        caller = asyncio.ensure_future(self.call_crashing())
        await asyncio.sleep(seconds)
        caller.cancel()
        await asyncio.gather(caller, return_exceptions=True)

    async def restart_engines(self):
        """Start a new engine for each one that has crashed."""
        async with asyncio.TaskGroup() as starts:
            while True:
                for engine in self.new_crashes():
                    starts.create_task(self._restart(engine.name))
                await asyncio.sleep(0.01)

    def new_crashes(self):
        """Record the engines that have crashed since, and return them."""
        found = [
            engine
            for engine in self.engines
            if engine.crashed_at_s and engine.name not in self.restarts
        ]
        self.restarts.update(engine.name for engine in found)
        self.crashes.extend(engine.crashed_at_s for engine in found)
        return found

    @property
    def counted_crash_s(self):
        """Return the time of the fifth crash, the last if there are fewer."""
        return self.crashes[:COUNTED_CRASHES][-1]

    def crashing_runs(self):
        """Return the times at which crashing prompts reached engines."""
        return [
            run.started_at_s
            for run in self.fleet.runs()
            if CRASHING_PART in run.headers['Dandelionplank-Prefix-Hash']
        ]

    def served_share(self, since_s, until_s):
        """Return the share of sound calls of a time that were served."""
        served = [ok for sent_s, ok in self.sound if since_s < sent_s < until_s]
        assert len(served) >= 20
        return sum(served) / len(served)

    async def _record(self, parts, gateway):
        """Send a sound prompt and record when it was sent and its outcome."""
        sent_s = self.now_s()
        self.sound.append((sent_s, await self.call(parts, gateway)))

    async def _restart(self, name):
        """Start an engine with a new id in place of one that crashed."""
        await asyncio.sleep(RESTART_S)
        self.fleet.store.delete(f'servers/{name}')
        engine = await self.fleet.start_target(f'{name}-again', 'llm')
        engine.faults.crashing_part = CRASHING_PART


@contextlib.asynccontextmanager
async def crash_scene(crashing_part=CRASHING_PART):
    """Run a fleet whose engines crash on a part, and callers of sound ones."""
    async with platform_fleet(gateways=GATEWAYS, engines=ENGINES) as fleet:
        scene = CrashScene(fleet)
        for engine in scene.engines:
            engine.faults.crashing_part = crashing_part
        tasks = [
            asyncio.ensure_future(run())
            for run in (scene.call_sound, scene.restart_engines)
        ]
        try:
            yield scene
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


@run_async
async def test_a_prompt_that_crashes_engines_is_contained():
    """All instances stop sending a crashing part; others are served."""
    async with crash_scene() as scene:
        start_s = scene.now_s()
        await asyncio.sleep(MEASURED_S)
        before = scene.served_share(start_s, scene.now_s())
        await scene.crash_for(CRASHING_S)
        end_s = scene.now_s()
    counted_s = scene.counted_crash_s
    late = [
        run_s - counted_s
        for run_s in scene.crashing_runs()
        if run_s > counted_s + CONTAINED_AFTER_S
    ]
    assert len(late) <= MAX_LATE_REQUESTS, (len(late), len(scene.crashes))
    after = scene.served_share(counted_s + SERVED_AFTER_S, end_s)
    assert after >= before / 2, (before, after)
