"""Tests of prompts that crash the engines that begin to answer them."""

import asyncio
import contextlib
import dataclasses
import itertools
import time

import aiohttp

from bench.platform import COMPLETE_STREAM, MODEL_HEADERS
from dandelionplank.metrics import METRICS
from dandelionplank.routing.crashes import (
    PROVEN_CRASHES_IF_ANSWERED,
    Quarantine,
)
from tests.fixtures import only, run_async, running, wait_until
from tests.platformfleet import platform_fleet, stop

GATEWAYS = 3
ALL_GATEWAYS = tuple(range(GATEWAYS))
ENGINES = 8
TOPICS = 13
CRASHING_PART = 'dead'
LONG_PART = 'dead' * 32
# Bounds that the platform states, counted from the fifth crash.
CONTAINED_AFTER_S = 3.0
SERVED_AFTER_S = 2 * CONTAINED_AFTER_S
MAX_LATE_REQUESTS = 3
COUNTED_CRASHES = 5
LOST_ENGINES = PROVEN_CRASHES_IF_ANSWERED
MEASURED_S = 3.0
CRASHING_S = 13.0
RESTART_S = 2.0
SOUND_PERIOD_S = 0.1
CRASHING_PERIOD_S = 0.3
CRASH_AFTER_S = 0.4


class CrashScene:
    """Callers of sound and of crashing prompts, and engines that restart."""

    service = 'llm'

    def __init__(self, fleet):
        """Hold the fleet and the outcomes of the sound calls."""
        self.fleet = fleet
        self.numbers = itertools.count(1)
        self.sound = []
        self.crashes = []
        self.restarts = set()
        self.sound_period_s = SOUND_PERIOD_S
        self.crashing_part = CRASHING_PART

    @property
    def engines(self):
        """Return all engines, those that have crashed included."""
        return [
            target
            for target in self.fleet.targets.values()
            if target.name.startswith(self.service)
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
                topic = f'c{next(self.numbers) % TOPICS}'
                parts = self.parts('ab', topic)
                calls.create_task(self._record(parts, gateway))
                await asyncio.sleep(self.sound_period_s)

    async def call_crashing(self, gateways):
        """Send crashing prompts to gateways in turn until cancelled."""
        async with asyncio.TaskGroup() as calls:
            for gateway in itertools.cycle(gateways):
                topic = f'c{next(self.numbers) % TOPICS}'
                parts = self.parts('ab', topic, self.crashing_part)
                calls.create_task(self.call(parts, gateway))
                await asyncio.sleep(CRASHING_PERIOD_S)

    async def crash_for(self, seconds, gateways=ALL_GATEWAYS):
        """Send crashing prompts for some seconds."""
        caller = asyncio.ensure_future(self.call_crashing(gateways))
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
            if self.crashing_part in run.headers['Dandelionplank-Prefix-Hash']
        ]

    def late_runs(self):
        """Return when crashing prompts reached engines beyond the bound."""
        limit_s = self.counted_crash_s + CONTAINED_AFTER_S
        return [run_s for run_s in self.crashing_runs() if run_s > limit_s]

    def busy_engines(self, seconds):
        """Return the engines that got a prompt in the last seconds."""
        since_s = self.now_s() - seconds
        return [
            engine
            for engine in self.engines
            if engine.runs and engine.runs[-1].started_at_s > since_s
        ]

    def quarantined_parts(self):
        """Return the parts that any gateway has in quarantine."""
        return {
            part
            for daemon in self.fleet.gateways
            for part in daemon.crashes.evidence.quarantines
        }

    def start_crashing(self):
        """Let all engines crash on the crashing part from now on."""
        for engine in self.engines:
            engine.faults.crashing_part = CRASHING_PART

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
        engine = await self.fleet.start_target(f'{name}-again', self.service)
        faults = self.fleet.targets[name].faults
        engine.faults = dataclasses.replace(faults, delay_s=0)


@contextlib.asynccontextmanager
async def crash_scene(crashing_part=CRASHING_PART):
    """Run a fleet whose engines crash on a part, and callers of sound ones."""
    async with platform_fleet(gateways=GATEWAYS, engines=ENGINES) as fleet:
        scene = CrashScene(fleet)
        for engine in scene.engines:
            engine.faults.crashing_part = crashing_part
        async with running(scene.call_sound(), scene.restart_engines()):
            yield scene


@run_async
async def test_a_prompt_that_crashes_engines_is_contained():
    """All instances stop sending a crashing part; others are served."""
    async with crash_scene() as scene:
        start_s = scene.now_s()
        await asyncio.sleep(MEASURED_S)
        before = scene.served_share(start_s, scene.now_s())
        await scene.crash_for(CRASHING_S)
        end_s = scene.now_s()
    late = scene.late_runs()
    assert len(late) <= MAX_LATE_REQUESTS, (len(late), len(scene.crashes))
    after = scene.served_share(scene.counted_crash_s + SERVED_AFTER_S, end_s)
    assert after >= before / 2, (before, after)


@run_async
async def test_a_crashing_part_with_a_long_id_is_contained():
    """The platform states no length; this id has 128 digits."""
    async with crash_scene(LONG_PART) as scene:
        scene.crashing_part = LONG_PART
        await scene.crash_for(CRASHING_S)
        part = only(tuple(scene.quarantined_parts()))
        entries = scene.fleet.store.entries
        await wait_until(lambda: f'quarantine/{part}' in entries)
    assert len(scene.late_runs()) <= MAX_LATE_REQUESTS


@run_async
async def test_a_part_that_was_sound_before_is_contained():
    """Answers from before the first crash do not delay it beyond the bound."""
    async with crash_scene('') as scene:
        assert await scene.call(scene.parts('ab', CRASHING_PART), 0)
        scene.start_crashing()
        await scene.crash_for(CRASHING_S)
    assert len(scene.late_runs()) <= MAX_LATE_REQUESTS


@run_async
async def test_crashes_that_look_like_the_end_of_a_response_are_contained():
    """A response without length or chunks is no proof of a sound prompt."""
    async with crash_scene() as scene:
        for engine in scene.engines:
            engine.faults.sends_head_before_crash = True
        await scene.crash_for(6)
        assert scene.quarantined_parts() == {CRASHING_PART}


@run_async
async def test_crashes_soon_after_the_first_event_are_contained():
    """A response of less than half a second neither clears nor accuses."""
    async with crash_scene() as scene:
        for engine in scene.engines:
            engine.faults.crash_after_s = CRASH_AFTER_S
        # One after the other, so that no other one has just begun at a crash.
        for gateway in itertools.islice(itertools.cycle(ALL_GATEWAYS), 12):
            await scene.call(scene.parts('ab', CRASHING_PART), gateway)
            await asyncio.sleep(CRASHING_PERIOD_S * 2)
        assert scene.quarantined_parts() == {CRASHING_PART}
    assert len(scene.late_runs()) <= MAX_LATE_REQUESTS


@run_async
async def test_an_instance_without_a_crash_of_its_own_refuses_as_well():
    """What one instance has seen protects the engines from all others."""
    async with crash_scene() as scene:
        await scene.crash_for(5, gateways=(0,))
        ran = len(scene.crashing_runs())
        for gateway in range(GATEWAYS):
            assert not await scene.call(scene.parts(CRASHING_PART), gateway)
        assert len(scene.crashing_runs()) == ran


@run_async
async def test_the_crash_of_many_engines_quarantines_nothing():
    """Engines that crash for another reason cost no prompt its service."""
    async with crash_scene('') as scene:
        scene.sound_period_s = SOUND_PERIOD_S / 2
        for engine in scene.engines:
            engine.faults.delay_s = 0.9
        await asyncio.sleep(2)
        await wait_until(lambda: len(scene.busy_engines(0.8)) >= LOST_ENGINES)
        for engine in scene.busy_engines(0.8)[:LOST_ENGINES]:
            await engine.crash()
        await asyncio.sleep(4)
        evidence = scene.fleet.gateways[0].crashes.evidence
        assert len(evidence.crashes.crashes) == LOST_ENGINES
        assert not scene.quarantined_parts()
        start_s = scene.now_s()
        await asyncio.sleep(MEASURED_S)
        assert scene.served_share(start_s, scene.now_s() - 1) > 9 / 10


@run_async
async def test_an_engine_that_breaks_off_answers_quarantines_nothing():
    """Responses that a live engine breaks off are no crash."""
    async with crash_scene('') as scene:
        before = METRICS.counters['target_crashes_total', ()]
        for engine in scene.engines:
            engine.faults.lost_responses = 5
        await asyncio.sleep(4)
        assert any(not ok for _, ok in scene.sound)
        assert METRICS.counters['target_crashes_total', ()] == before
        assert not scene.quarantined_parts()


@run_async
async def test_an_instance_that_starts_later_learns_of_a_quarantine():
    """A new instance sends no engine the part that its peers know."""
    async with crash_scene() as scene:
        await scene.crash_for(5)
        assert scene.quarantined_parts() == {CRASHING_PART}
        daemon = await scene.fleet.start_gateway()
        await wait_until(lambda: daemon.view.is_loaded)
        await wait_until(lambda: daemon.crashes.evidence.quarantines)
        ran = len(scene.crashing_runs())
        late = len(scene.fleet.gateways) - 1
        assert not await scene.call(scene.parts(CRASHING_PART), late)
        assert len(scene.crashing_runs()) == ran


@run_async
async def test_a_prompt_quarantined_while_it_waits_is_not_sent():
    """A prompt is checked again after its target was granted."""
    async with platform_fleet() as fleet:
        daemon = fleet.gateways[0]
        dispatcher = daemon.gateway.delivery.dispatcher
        acquire = dispatcher.acquire

        async def acquire_late(waiting):
            grant = await acquire(waiting)
            now_s = time.monotonic()
            daemon.crashes.evidence.quarantines['ab'] = Quarantine(
                now_s, now_s + 100
            )
            return grant

        dispatcher.acquire = acquire_late
        status, body, headers = await fleet.call(
            '/chat/x', headers=MODEL_HEADERS
        )
        assert status == 503
        assert 'DP-3006' in body.decode()
        assert 90 < float(headers['Retry-After']) <= 100
        assert not fleet.runs()
        assert not any(daemon.scheduler.shares().values())


@run_async
async def test_only_parts_that_may_be_shared_are_quarantined():
    """The last part of a prompt is its own and is never held against it."""
    async with platform_fleet() as fleet:
        now_s = time.monotonic()
        quarantines = fleet.gateways[0].crashes.evidence.quarantines
        quarantines['cd'] = Quarantine(now_s, now_s + 100)
        status, body, _ = await fleet.call('/chat/x', headers=MODEL_HEADERS)
        assert status == 200
        assert body == COMPLETE_STREAM


@run_async
async def test_a_quarantine_outlives_a_restart_of_all_instances():
    """An instance without any peer learns of a quarantine from the store."""
    async with crash_scene() as scene:
        await scene.crash_for(5)
        ran = len(scene.crashing_runs())
        for daemon in scene.fleet.gateways:
            await stop(daemon)
        daemon = await scene.fleet.start_gateway()
        await wait_until(lambda: daemon.view.is_loaded)
        last = len(scene.fleet.gateways) - 1
        assert not await scene.call(scene.parts(CRASHING_PART), last)
        assert len(scene.crashing_runs()) == ran
        assert await scene.call(scene.parts('ab'), last)


@run_async
async def test_a_quarantine_is_stored_after_an_outage_of_the_store():
    """The entry is written, once, as soon as the store responds again."""
    async with crash_scene() as scene:
        scene.fleet.store.faults.status = 503
        await scene.crash_for(4)
        assert scene.quarantined_parts() == {CRASHING_PART}
        scene.fleet.store.faults.status = 0
        key = f'quarantine/{CRASHING_PART}'
        await wait_until(lambda: key in scene.fleet.store.entries)
        revision = scene.fleet.store.entries[key]['Rev']
        await asyncio.sleep(2)
        assert scene.fleet.store.entries[key]['Rev'] == revision


@run_async
async def test_a_part_that_is_released_leaves_the_store():
    """An answer after the first crash removes the entry that was written."""
    async with crash_scene() as scene:
        await scene.crash_for(5)
        key = f'quarantine/{CRASHING_PART}'
        entries = scene.fleet.store.entries
        await wait_until(lambda: key in entries)
        daemon = scene.fleet.gateways[0]
        daemon.crashes.record_answer((CRASHING_PART,), time.monotonic())
        await wait_until(lambda: not scene.quarantined_parts())
        await wait_until(lambda: key not in entries)


@run_async
async def test_an_entry_of_another_writer_quarantines_nothing():
    """Bytes that cannot be read, and an entry that has ended, are ignored."""
    async with platform_fleet() as fleet:
        now_ms = int(time.time() * 1000)
        ended = {'first_ms': now_ms - 9000, 'until_ms': now_ms - 1000}
        fleet.store.put('quarantine/ab', {'first_ms': 'x'})
        fleet.store.put('quarantine/cd', ended)
        fleet.store.put('quarantine/ef', {**ended, 'until_ms': now_ms + 9000})
        daemon = fleet.gateways[0]
        await wait_until(lambda: daemon.crashes.evidence.quarantines)
        assert set(daemon.crashes.evidence.quarantines) == {'ef'}
