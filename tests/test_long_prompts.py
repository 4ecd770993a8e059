"""Tests of crashing parts in prompts of many parts.

The part was lost among the other ids of a crash, in the evidence of an instance
or on the way to the others.
"""

import asyncio
import functools
import itertools
from unittest import mock

import msgspec
from nose2.tools import params

from dandelionplank.fleet import crashreports
from dandelionplank.fleet.crashlistings import MAX_CRASH_BYTES
from dandelionplank.fleet.crashmessages import CrashReport
from dandelionplank.fleet.crashreports import MAX_ANSWER_BYTES, CrashReporter
from dandelionplank.routing.crashes import (
    PROVEN_CRASHES,
    PROVEN_CRASHES_IF_ANSWERED,
    SETTLE_S,
    CrashEvidence,
)
from dandelionplank.routing.crashlog import (
    MAX_ANSWERED_PARTS,
    MAX_HELD_SUSPECTS,
    MAX_SUSPECTS,
    CrashLog,
)
from tests.fixtures import run_async
from tests.test_crash_evidence import START_S
from tests.test_crashing_prompts import (
    CRASHING_PART,
    CRASHING_S,
    MAX_LATE_REQUESTS,
    MEASURED_S,
    SERVED_AFTER_S,
    crash_scene,
)

# Number of shared parts of a prompt whose head is as long as is allowed, with
# ids of eight characters.
LONG = 1300
# Rounds of reports until the requests with a part must not reach targets any
# more: the time that the platform states, from the fifth crash.
ROUNDS = 6
ROUND_S = 0.5
REPORT_OVERHEAD_BYTES = 2048


def shared_parts(count):
    """Return the ids of parts that all prompts share."""
    return [f'{number * 2654435761 % 2**32:08x}' for number in range(count)]


def prompt(number, parts, position, part='bad00000'):
    """Return a request with the crashing part among some others."""
    return (f'r:{number}', *parts[:position], part, *parts[position:])


def own_parts(number, count):
    """Return ids of parts that no other prompt has."""
    return [f'{number:x}{each:05x}' for each in range(count)]


@params(
    *itertools.product((127, 200, LONG, MAX_SUSPECTS - 2), (0, 0.5, 1)),
)
def test_a_crashing_part_is_found_wherever_it_is_listed(count, place):
    """The ids of a crash were cut off behind the first 128."""
    parts = shared_parts(count)
    evidence = CrashEvidence()
    evidence.answered.add(parts, START_S - 1)
    for number in range(PROVEN_CRASHES):
        listed = prompt(number, parts, int(count * place))
        evidence.crashes.add((f't{number}', 1), START_S + number, listed)
        evidence.answered.add(parts, START_S + number + 0.6)
    now_s = START_S + PROVEN_CRASHES + SETTLE_S
    assert [each.part_id for each in evidence.decide(now_s)] == ['bad00000']


def test_a_crashing_part_is_found_among_the_parts_of_many_requests():
    """Prompts of ten parts each shared the room of one crash."""
    evidence = CrashEvidence()
    for number in range(PROVEN_CRASHES):
        requests = [
            (f'r:{number}-{other}', *own_parts(number * 60 + other, 10))
            for other in range(60)
        ]
        listed = (*prompt(number, [], 0), *itertools.chain(*requests))
        evidence.crashes.add((f't{number}', 1), START_S + number, listed)
    now_s = START_S + PROVEN_CRASHES + SETTLE_S
    assert [each.part_id for each in evidence.decide(now_s)] == ['bad00000']


def test_crashes_of_more_ids_than_are_held_keep_the_recurring_ones():
    """What is in several crashes, and the requests, come before the rest."""
    log = CrashLog()
    for number in range(6):
        own = own_parts(number + 16, MAX_SUSPECTS * 2)
        listed = prompt(number, own, MAX_SUSPECTS // 2)
        log.add((f't{number}', 1), START_S + number, listed)
        crash = log.crashes[f't{number}', 1]
        assert len(crash.part_ids) == MAX_SUSPECTS
        assert f'r:{number}' in crash.part_ids
    assert len(log.keys_of('bad00000')) >= PROVEN_CRASHES


def test_the_memory_of_crashes_and_of_answers_to_them_is_bounded():
    """Any caller may send prompts of many parts."""
    log = CrashLog()
    for number in range(40):
        own = own_parts(number + 16, MAX_SUSPECTS)
        log.add((f't{number}', 1), START_S + number, (f'r:{number}', *own))
    held = sum(len(crash.carriers) for crash in log.crashes.values())
    assert held <= MAX_HELD_SUSPECTS
    assert len(log.answered.suspect_times) <= MAX_HELD_SUSPECTS + MAX_SUSPECTS
    assert len(log.crashes) >= PROVEN_CRASHES_IF_ANSWERED
    log.expire(START_S + 1000)
    assert not log.answered.suspect_times


def test_answers_to_suspects_outlast_those_to_many_other_parts():
    """A sound part was forgotten while the prompts had many own parts."""
    evidence = CrashEvidence()
    for number in range(PROVEN_CRASHES):
        listed = prompt(number, ['shared'], 0)
        evidence.crashes.add((f't{number}', 1), START_S + number, listed)
    evidence.answered.add(['shared'], START_S + PROVEN_CRASHES)
    evidence.answered.add(own_parts(1, MAX_ANSWERED_PARTS * 2), START_S + 4)
    now_s = START_S + PROVEN_CRASHES + SETTLE_S
    assert [each.part_id for each in evidence.decide(now_s)] == ['bad00000']


def test_of_parts_in_the_same_crashes_the_last_one_is_refused():
    """Nothing tells them apart; the fewest prompts share the last one."""
    evidence = CrashEvidence()
    for number in range(PROVEN_CRASHES_IF_ANSWERED):
        listed = (f'r:{number}', 'zz', 'yy', 'aa')
        evidence.crashes.add((f't{number}', 1), START_S, listed)
    assert not evidence.decide(START_S + 0.5)
    assert [each.part_id for each in evidence.decide(START_S + 3)] == ['aa']


class Network:
    """Instances whose reports reach the others at once."""

    def __init__(self, count):
        """Build the reporters; the time is set by the test."""
        self.now_s = START_S
        self.sent = []
        self.reporters = [self._build(number) for number in range(count)]

    def deliver(self):
        """Deliver what was sent to all others."""
        sent = list(self.sent)
        self.sent.clear()
        for message in sent:
            block = msgspec.msgpack.encode(message)
            limit = MAX_CRASH_BYTES + MAX_ANSWER_BYTES + REPORT_OVERHEAD_BYTES
            assert len(block) <= limit
            for reporter in self.reporters:
                reporter.receive(
                    msgspec.msgpack.decode(block, type=CrashReport)
                )

    def advance(self):
        """Let all decide and report once."""
        self.now_s += ROUND_S
        for reporter in self.reporters:
            reporter._decide(self.now_s)
            reporter._send(self.now_s)
        self.deliver()

    def quarantined(self):
        """Return the parts in quarantine at each instance."""
        return [
            set(reporter.evidence.quarantines) for reporter in self.reporters
        ]

    def _build(self, number):
        """Return a reporter whose exchange records what it sends."""
        exchange = mock.Mock(period_s=ROUND_S)
        exchange.name = f'i{number}'
        exchange.broadcast = self.sent.append
        return CrashReporter(exchange, mock.Mock(), mock.Mock(), mock.Mock())


def clock_of(network):
    """Let the reporters read the time of a network."""
    clock = mock.Mock(monotonic=lambda: network.now_s)
    return mock.patch.object(crashreports, 'time', clock)


@params(
    *itertools.product((3, 200, LONG), (0, 0.5, 1), (True, False)),
)
def test_instances_that_see_one_crash_each_find_the_part(
    count, place, has_own_answers
):
    """A crash of many parts filled a report, or was in none.

    The answers to sound prompts are seen by all, or by one instance only.
    """
    parts = shared_parts(count)
    network = Network(PROVEN_CRASHES_IF_ANSWERED)
    with clock_of(network):
        for number, reporter in enumerate(network.reporters):
            listed = prompt(number, parts, int(count * place))
            reporter.record_crash((f't{number}', 1), listed)
            network.deliver()
            served = (
                network.reporters
                if has_own_answers
                else (network.reporters[-1:])
            )
            network.advance()
            for each in served:
                each.record_answer(parts, network.now_s + 0.1)
        for _ in range(ROUNDS):
            network.advance()
        assert all(each == {'bad00000'} for each in network.quarantined())


def test_many_crashes_share_a_report():
    """The latest one took all of its room, and the earlier ones were lost."""
    network = Network(2)
    seeing, other = network.reporters
    parts = shared_parts(LONG)
    with clock_of(network):
        for number in range(PROVEN_CRASHES_IF_ANSWERED):
            listed = prompt(number, parts, LONG // 2)
            for log in (seeing.own_crashes, seeing.evidence.crashes):
                log.add((f't{number}', 1), network.now_s, listed)
        seeing.record_answer(parts, network.now_s + 1)
        for _ in range(2):
            network.now_s += ROUND_S
            seeing._send(network.now_s)
            network.deliver()
        keys = other.evidence.crashes.keys_of('bad00000')
        assert len(keys) == PROVEN_CRASHES_IF_ANSWERED


@run_async
async def test_a_crashing_prompt_of_many_parts_is_contained():
    """Each one reached an engine, to the end (review/7)."""
    async with crash_scene() as scene:
        scene.parts = functools.partial(scene.parts, *shared_parts(200))
        start_s = scene.now_s()
        await asyncio.sleep(MEASURED_S)
        before = scene.served_share(start_s, scene.now_s())
        await scene.crash_for(CRASHING_S)
        end_s = scene.now_s()
        assert scene.quarantined_parts() == {CRASHING_PART}
    assert len(scene.late_runs()) <= MAX_LATE_REQUESTS
    after = scene.served_share(scene.counted_crash_s + SERVED_AFTER_S, end_s)
    assert after >= before / 2, (before, after)
