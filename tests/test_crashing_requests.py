"""Tests of requests without a prompt that crash the targets that run them."""

import asyncio
import contextlib
import dataclasses
import itertools

import aiohttp

from dandelionplank.delivery.requests import CallerRequest
from tests.fixtures import run_async, running, wait_until
from tests.platformfleet import platform_fleet, stop
from tests.test_crashing_prompts import (
    CONTAINED_AFTER_S,
    GATEWAYS,
    CrashScene,
)

TARGETS = 3
CRASHING_BODY = b'the same request'
RUN_S = 0.05
CRASHING_S = 12.0
# Bounds that the platform states, counted from the third crash.
COUNTED_CRASHES = 3
MAX_LATE_REQUESTS = 3
SAFE_PATH = '/look/x'
PATHS = (SAFE_PATH, '/book/x')


class RequestScene(CrashScene):
    """Callers of sound and of crashing requests to a plain service."""

    service = 'plain'

    def __init__(self, fleet, path):
        """Hold the path that all requests have in common."""
        super().__init__(fleet)
        self.path = path

    async def send(self, body, gateway):
        """Send a request; return its status, zero if there is no response."""
        try:
            status, _, _ = await self.fleet.call(
                self.path, gateway=gateway, data=body
            )
        except aiohttp.ClientError:
            return 0
        return status

    async def call_crashing(self, gateways):
        """Send the crashing request to gateways in turn until cancelled."""
        async with asyncio.TaskGroup() as calls:
            for gateway in itertools.cycle(gateways):
                calls.create_task(self.send(CRASHING_BODY, gateway))
                await asyncio.sleep(0.2)

    async def call_sound(self):
        """Send requests with other bodies until cancelled."""
        async with asyncio.TaskGroup() as calls:
            for gateway in itertools.cycle(range(GATEWAYS)):
                body = f'request {next(self.numbers)}'.encode()
                calls.create_task(self._record_sound(body, gateway))
                await asyncio.sleep(0.1)

    def crashing_runs(self):
        """Return the times at which the crashing request reached targets."""
        return [
            run.started_at_s
            for run in self.fleet.runs()
            if run.body == CRASHING_BODY
        ]

    def late_runs(self):
        """Return when the crashing request reached targets beyond the bound."""
        limit_s = self.crashes[:COUNTED_CRASHES][-1] + CONTAINED_AFTER_S
        return [run_s for run_s in self.crashing_runs() if run_s > limit_s]

    async def _record_sound(self, body, gateway):
        """Send a sound request and record when, and whether it was served."""
        sent_s = self.now_s()
        status = await self.send(body, gateway)
        self.sound.append((sent_s, status == 200))


@contextlib.asynccontextmanager
async def request_scene(path=SAFE_PATH, *, calls_sound=True):
    """Run a fleet whose plain targets crash on one request."""
    async with platform_fleet(gateways=GATEWAYS, engines=TARGETS) as fleet:
        scene = RequestScene(fleet, path)
        for target in scene.engines:
            target.faults.crashing_body = CRASHING_BODY
            target.faults.delay_s = RUN_S
        runs = [scene.restart_engines()]
        if calls_sound:
            runs.append(scene.call_sound())
        async with running(*runs):
            yield scene


@run_async
async def test_a_request_that_crashes_targets_is_contained():
    """Its repetitions ended 13 targets of a service without prompts."""
    for path in PATHS:
        async with request_scene(path) as scene:
            await scene.crash_for(CRASHING_S)
            late = scene.late_runs()
            assert len(late) <= MAX_LATE_REQUESTS, (
                path,
                len(late),
                len(scene.crashes),
            )


@run_async
async def test_sound_requests_with_the_same_path_and_caller_are_served():
    """Only the repetitions of a crashing request are refused."""
    async with request_scene() as scene:
        await scene.crash_for(CRASHING_S / 2)
        assert await scene.send(CRASHING_BODY, 0) == 503
        start_s = scene.now_s()
        await scene.crash_for(3)
        assert scene.served_share(start_s, scene.now_s() - 0.5) == 1


@run_async
async def test_repetitions_are_refused_by_instances_that_saw_no_crash():
    """Peers, and an instance that starts later, refuse the request as well."""
    async with request_scene(calls_sound=False) as scene:
        await scene.crash_for(CRASHING_S / 2, gateways=(0,))
        daemon = await scene.fleet.start_gateway()
        await wait_until(lambda: daemon.view.is_loaded)
        await wait_until(lambda: daemon.crashes.has_quarantines)
        ran = len(scene.crashing_runs())
        for gateway in range(GATEWAYS + 1):
            assert await scene.send(CRASHING_BODY, gateway) == 503
        for daemon in scene.fleet.gateways:
            await stop(daemon)
        daemon = await scene.fleet.start_gateway()
        await wait_until(lambda: daemon.view.is_loaded)
        await wait_until(lambda: daemon.crashes.has_quarantines)
        assert await scene.send(CRASHING_BODY, GATEWAYS + 1) == 503
        assert len(scene.crashing_runs()) == ran


@run_async
async def test_a_new_version_of_the_service_gets_the_request_again():
    """A quarantine holds for the version of the targets that crashed."""
    async with request_scene() as scene:
        await scene.crash_for(CRASHING_S / 2)
        assert await scene.send(CRASHING_BODY, 0) == 503
        view = scene.fleet.gateways[0].view
        for target in view.targets_of('plain'):
            scene.fleet.store.delete(f'servers/{target.name}')
        await scene.fleet.start_target('plain-new', 'plain', Version='2')
        await wait_until(
            lambda: (
                {each.name for each in view.targets_of('plain')}
                == {'plain-new'}
            )
        )
        assert await scene.send(CRASHING_BODY, 0) == 200


def test_the_identity_of_a_request_is_that_of_its_repetitions():
    """Caller, method, path, body and version count; ids and times do not."""
    first = CallerRequest(
        'POST', '/a', (), b'body', *(None,) * 2, 's', 'account', 0, 1, 1
    )
    assert first.identity('1') == first.identity('1')
    repeated = dataclasses.replace(
        first, headers=(('X', 'y'),), arrived_s=5, service='t'
    )
    assert repeated.identity('1') == first.identity('1')
    others = {
        dataclasses.replace(first, **change).identity('1')
        for change in (
            {'method': 'GET'},
            {'path': '/b'},
            {'body': b'other'},
            {'account': 'other'},
            {'account': 'accountPOST', 'method': ''},
        )
    }
    assert len(others | {first.identity('1'), first.identity('2')}) == 7
