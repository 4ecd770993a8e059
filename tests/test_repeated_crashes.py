"""Tests of crashing prompts whose requests are repeated.

The identity of a repeated request is then in as many crashes as the part of
its prompt that causes them.
"""

import asyncio
import contextlib
import itertools

import aiohttp
from hypothesis import given
from hypothesis import strategies as st

from bench.platform import COMPLETE_STREAM, HOST
from dandelionplank.routing.crashes import (
    PROVEN_CRASHES,
    PROVEN_CRASHES_IF_ANSWERED,
    SETTLE_S,
    CrashEvidence,
)
from dandelionplank.routing.crashlog import CRASH_TTL_S, CrashLog
from tests.fixtures import run_async, running
from tests.platformfleet import platform_fleet
from tests.test_crash_evidence import START_S
from tests.test_crashing_prompts import (
    CRASHING_PART,
    CRASHING_S,
    ENGINES,
    GATEWAYS,
    MAX_LATE_REQUESTS,
    CrashScene,
)

REPEATED_PERIOD_S = 3.0
REPETITION_PAUSE_S = 0.3
FIRST = ('r:first', 'p')
SECOND = ('r:second', 'p')
BYSTANDER = ('r:bystander', 'q')


def crash(evidence, number, *requests):
    """Record the crash of a target that had begun to answer requests.

    :return: time at which it may lead to a decision
    """
    at_s = START_S + number / 10
    evidence.crashes.add(
        (f't{number}', 1), at_s, itertools.chain.from_iterable(requests)
    )
    return at_s + SETTLE_S


def crash_often(evidence, count, *requests):
    """Record a number of crashes; return when they may lead to a decision."""
    return max(crash(evidence, number, *requests) for number in range(count))


@given(st.integers(PROVEN_CRASHES, 12))
def test_a_part_is_found_when_another_request_crashes_on_it(count):
    """The crashes that a repeated request explained count for the part."""
    evidence = CrashEvidence()
    now_s = crash_often(evidence, count, FIRST)
    evidence.decide(now_s)
    assert set(evidence.quarantines) == {'r:first'}
    evidence.decide(now_s + 1)
    assert set(evidence.quarantines) == {'r:first'}
    crash(evidence, count, SECOND)
    changes = evidence.decide(now_s + 2)
    assert set(evidence.quarantines) == {'p'}
    assert [(change.part_id, change.left_s > 0) for change in changes] == [
        ('p', True),
        ('r:first', False),
    ]
    assert len(changes[0].targets) == count + 1


def test_a_repeated_request_costs_the_other_parts_of_its_prompt_nothing():
    """A part that was answered since is sound, whatever it was part of."""
    evidence = CrashEvidence()
    now_s = crash_often(evidence, PROVEN_CRASHES, (*FIRST, 'sound'))
    evidence.decide(now_s)
    evidence.answered.add(('sound',), now_s)
    crash(evidence, PROVEN_CRASHES, (*SECOND, 'sound'))
    evidence.decide(now_s + 1)
    assert set(evidence.quarantines) == {'p'}


def test_a_part_is_found_although_its_requests_look_the_same():
    """Requests that differ in their prompts alone have one identity."""
    evidence = CrashEvidence()
    now_s = crash_often(evidence, PROVEN_CRASHES, FIRST)
    evidence.answered.add(('r:first',), now_s - 1)
    evidence.decide(now_s)
    assert set(evidence.quarantines) == {'p'}


@given(st.integers(PROVEN_CRASHES, 8), st.data())
def test_a_bystander_is_never_quarantined(count, choice):
    """It was repeated by its caller each time that its target crashed."""
    evidence = CrashEvidence()
    numbers = list(range(count))
    for number in choice.draw(st.permutations(numbers)):
        crash(evidence, number, (f'r:{number}', 'p'), BYSTANDER)
        evidence.decide(START_S + SETTLE_S * 2)
        assert 'r:bystander' not in evidence.quarantines
        assert 'q' not in evidence.quarantines
    crash(evidence, count, (f'r:{count}', 'p'))
    evidence.decide(START_S + SETTLE_S * 2)
    assert set(evidence.quarantines) == {'p'}


def test_a_bystander_of_a_repeated_request_is_released():
    """Of two requests in the same crashes, the last one shows which it is."""
    evidence = CrashEvidence()
    count = PROVEN_CRASHES_IF_ANSWERED
    now_s = crash_often(evidence, count, FIRST, BYSTANDER)
    evidence.decide(now_s)
    assert len(evidence.quarantines) == 1
    crash(evidence, count, FIRST)
    evidence.decide(now_s + 1)
    assert set(evidence.quarantines) == {'r:first'}
    crash(evidence, count + 1, SECOND)
    evidence.decide(now_s + 2)
    assert set(evidence.quarantines) == {'p'}


def test_a_released_request_is_not_taken_over_again():
    """A peer that has not seen the last crash still reports it."""
    evidence = CrashEvidence()
    now_s = crash_often(evidence, PROVEN_CRASHES, FIRST)
    evidence.decide(now_s)
    known = evidence.quarantines['r:first']
    crash(evidence, PROVEN_CRASHES, SECOND)
    evidence.decide(now_s + 1)
    assert not evidence.adopt('r:first', known, now_s + 1)


def test_crashes_of_a_quarantined_request_are_kept():
    """The next request with the part may come long after."""
    evidence = CrashEvidence()
    now_s = crash_often(evidence, PROVEN_CRASHES, FIRST)
    evidence.decide(now_s)
    now_s += CRASH_TTL_S * 2
    evidence.crashes.add(('late', 1), now_s, SECOND)
    evidence.decide(now_s)
    assert set(evidence.quarantines) == {'p'}


@given(
    st.lists(
        st.lists(st.sampled_from('abc'), unique=True).map(tuple),
        max_size=5,
    ),
    st.sets(st.sampled_from('xyz')),
)
def test_a_report_of_a_crash_keeps_its_requests_together(parts, others):
    """A peer learns which request had which parts."""
    requests = [(f'r:{number}', *each) for number, each in enumerate(parts)]
    listed = (*others, *itertools.chain.from_iterable(requests))
    sender, receiver = CrashLog(), CrashLog()
    sender.add(('t', 1), START_S, listed)
    crashed = sender.crashes['t', 1]
    receiver.add(('t', 1), START_S, crashed.requests)
    assert receiver.crashes['t', 1] == crashed
    assert crashed.part_ids == frozenset(listed)
    assert crashed.carried == {
        (each[0], part) for each in requests for part in each[1:]
    }


class RepeatedScene(CrashScene):
    """Callers that repeat a failed crashing prompt at another gateway."""

    async def call_crashing(self, gateways):
        """Send crashing prompts of two attempts each until cancelled."""
        async with asyncio.TaskGroup() as calls:
            for gateway in itertools.cycle(gateways):
                parts = self.parts('ab', CRASHING_PART)
                calls.create_task(self._call_twice(parts, gateway))
                await asyncio.sleep(REPEATED_PERIOD_S)

    async def _call_twice(self, parts, gateway):
        """Send a resumable request, and once more unless it is refused."""
        body = parts.encode()
        for attempt in range(2):
            with contextlib.suppress(aiohttp.ClientError):
                status, answer, _ = await self.fleet.call(
                    '/draft/x',
                    gateway=(gateway + attempt) % GATEWAYS,
                    headers={
                        'Host': HOST,
                        'Dandelionplank-Model': 'm',
                        'Dandelionplank-Token-Usage': '200,20',
                        'Dandelionplank-Prefix-Hash': parts,
                    },
                    data=body,
                )
                if status == 503 or answer == COMPLETE_STREAM:
                    return
            await asyncio.sleep(REPETITION_PAUSE_S)


@run_async
async def test_repeated_prompts_that_crash_engines_are_contained():
    """Each request crashed four engines, and was taken for the cause."""
    async with platform_fleet(gateways=GATEWAYS, engines=ENGINES) as fleet:
        scene = RepeatedScene(fleet)
        scene.start_crashing()
        async with running(scene.call_sound(), scene.restart_engines()):
            await scene.crash_for(CRASHING_S)
            start_s = scene.now_s()
            await asyncio.sleep(3)
            assert scene.quarantined_parts() == {CRASHING_PART}
            assert scene.served_share(start_s, scene.now_s() - 0.5) == 1
    late = scene.late_runs()
    assert len(late) <= MAX_LATE_REQUESTS, (len(late), len(scene.crashes))
