"""Tests of the decision which parts of prompts crash targets."""

import math

from hypothesis import given
from hypothesis import strategies as st

from dandelionplank.routing.crashes import (
    ANSWERED_BEFORE_S,
    CLOCK_MARGIN_S,
    PROVEN_CRASHES,
    PROVEN_CRASHES_IF_ANSWERED,
    QUARANTINE_S,
    SETTLE_S,
    CrashEvidence,
    Quarantine,
)
from dandelionplank.routing.crashlog import (
    CRASH_TTL_S,
    MAX_ANSWERED_PARTS,
    MAX_CRASHES,
)

START_S = 1000.0
TIMES = st.floats(START_S, START_S + CRASH_TTL_S / 2)


def crash(evidence, number, at_s, *others, part='p'):
    """Record the crash of a target that has answered nothing else."""
    own = f'own-{number}'
    evidence.crashes.add((f't{number}', 1), at_s, (part, own, *others))


def crash_often(evidence, count, *others, at_s=START_S, part='p'):
    """Record crashes of a number of targets, 0.5 s apart."""
    for number in range(count):
        crash(evidence, number, at_s + number / 2, *others, part=part)
    return at_s + count / 2 + SETTLE_S


@given(st.lists(TIMES, min_size=1, max_size=20), st.lists(TIMES), st.data())
def test_a_part_answered_after_its_first_crash_is_not_quarantined(
    crashes, answers, choice
):
    """No order in which crashes and answers become known matters."""
    later_s = min(crashes) + CLOCK_MARGIN_S * 2
    facts = [('crash', at_s) for at_s in crashes]
    facts += [('answer', at_s) for at_s in (*answers, later_s)]
    evidence = CrashEvidence()
    for number, fact in enumerate(choice.draw(st.permutations(facts))):
        kind, at_s = fact
        if kind == 'crash':
            crash(evidence, number, at_s)
        else:
            evidence.answered.add(('p',), at_s)
        evidence.decide(START_S + CRASH_TTL_S / 2)
    evidence.decide(START_S + CRASH_TTL_S / 2)
    assert not evidence.quarantines


@given(st.lists(TIMES, min_size=PROVEN_CRASHES, max_size=20))
def test_a_part_in_several_crashes_and_no_answer_is_quarantined(crashes):
    """Crashes in any order are enough, and it alone is quarantined."""
    evidence = CrashEvidence()
    for number, at_s in enumerate(crashes):
        crash(evidence, number, at_s)
    now_s = max(crashes) + SETTLE_S * 2
    assert [change.part_id for change in evidence.decide(now_s)] == ['p']
    assert set(evidence.quarantines) == {'p'}
    assert math.isclose(evidence.left_s(('a', 'p'), now_s), QUARANTINE_S)
    assert not evidence.left_s(('a',), now_s)


def test_two_crashes_quarantine_nothing():
    """A part that two targets crashed on may still be sent."""
    evidence = CrashEvidence()
    assert not evidence.decide(crash_often(evidence, PROVEN_CRASHES - 1))


@given(st.lists(TIMES, min_size=PROVEN_CRASHES, max_size=20))
def test_reports_of_one_crash_count_once(reports):
    """Several instances see the same crash, each of them other prompts."""
    evidence = CrashEvidence()
    for number, at_s in enumerate(reports):
        evidence.crashes.add(('t', 1), at_s, ('p', f'seen-{number}'))
    assert not evidence.decide(max(reports) + SETTLE_S)
    joined = evidence.crashes.crashes['t', 1]
    assert joined.at_s == min(reports)
    assert len(joined.part_ids) == len(reports) + 1


def test_a_crash_after_a_restart_is_another_crash():
    """A target that starts again under its id may crash again."""
    evidence = CrashEvidence()
    for started_ms in range(PROVEN_CRASHES):
        evidence.crashes.add(('t', started_ms), START_S, ('p',))
    assert evidence.decide(START_S + SETTLE_S)


def test_old_crashes_do_not_count():
    """Crashes that are further apart than they are held prove nothing."""
    evidence = CrashEvidence()
    for number in range(PROVEN_CRASHES * 3):
        at_s = START_S + number * CRASH_TTL_S * 0.6
        crash(evidence, number, at_s)
        assert not evidence.decide(at_s + SETTLE_S)


def test_a_part_answered_before_needs_more_crashes():
    """Answers just before the first crash ask for more evidence."""
    evidence = CrashEvidence()
    evidence.answered.add(('p',), START_S - ANSWERED_BEFORE_S / 2)
    now_s = crash_often(evidence, PROVEN_CRASHES_IF_ANSWERED - 1)
    assert not evidence.decide(now_s)
    crash(evidence, 'last', now_s)
    assert evidence.decide(now_s)


def test_answers_long_before_ask_for_no_more_crashes():
    """An answer long before the first crash is no evidence."""
    evidence = CrashEvidence()
    evidence.answered.add(('p',), START_S - ANSWERED_BEFORE_S * 2)
    assert evidence.decide(crash_often(evidence, PROVEN_CRASHES))


def test_a_sound_part_in_all_crashing_prompts_is_not_quarantined():
    """The part that was answered is not the one that crashes targets."""
    evidence = CrashEvidence()
    evidence.answered.add(('shared',), START_S - 1)
    now_s = crash_often(evidence, PROVEN_CRASHES_IF_ANSWERED, 'shared')
    evidence.decide(now_s)
    evidence.decide(now_s + CRASH_TTL_S / 2)
    assert set(evidence.quarantines) == {'p'}


def test_of_two_parts_answered_before_the_more_recent_one_is_spared():
    """One part explains all crashes; the other was answered last."""
    evidence = CrashEvidence()
    evidence.answered.add(('p',), START_S - 10)
    evidence.answered.add(('shared',), START_S + CLOCK_MARGIN_S / 2)
    now_s = crash_often(evidence, PROVEN_CRASHES_IF_ANSWERED, 'shared')
    evidence.decide(now_s)
    assert set(evidence.quarantines) == {'p'}


def test_parts_in_the_same_crashes_wait_for_one_that_tells_them_apart():
    """A part that always came with the crashing one is not taken for it."""
    evidence = CrashEvidence()
    now_s = crash_often(evidence, PROVEN_CRASHES, 'with')
    assert not evidence.decide(now_s)
    crash(evidence, 'alone', now_s)
    evidence.decide(now_s + 1)
    assert set(evidence.quarantines) == {'p'}


def test_parts_that_nothing_tells_apart_are_quarantined_one_by_one():
    """The last crash that counts decides even between equal parts."""
    evidence = CrashEvidence()
    now_s = crash_often(evidence, PROVEN_CRASHES_IF_ANSWERED, 'with')
    assert len(evidence.decide(now_s)) == 1


def test_two_parts_that_crash_targets_are_both_quarantined():
    """The crashes of one part do not explain those of another."""
    evidence = CrashEvidence()
    crash_often(evidence, PROVEN_CRASHES)
    for number in range(PROVEN_CRASHES):
        crash(evidence, f'q{number}', START_S, part='q')
    evidence.decide(START_S + SETTLE_S * 2)
    assert set(evidence.quarantines) == {'p', 'q'}


def test_the_loss_of_many_targets_at_once_quarantines_nothing():
    """Popular parts are answered elsewhere before a decision is made."""
    evidence = CrashEvidence()
    evidence.answered.add(('p',), START_S - 1)
    for number in range(8):
        crash(evidence, number, START_S)
    assert not evidence.decide(START_S + SETTLE_S / 2)
    evidence.answered.add(('p',), START_S + 1)
    assert not evidence.decide(START_S + SETTLE_S * 2)


def test_an_answer_after_the_first_crash_releases_a_part():
    """An answer that becomes known late ends the quarantine."""
    evidence = CrashEvidence()
    now_s = crash_often(evidence, PROVEN_CRASHES)
    evidence.decide(now_s)
    evidence.answered.add(('p',), START_S + CLOCK_MARGIN_S * 2)
    released = evidence.decide(now_s + 1)
    assert [change.left_s for change in released] == [0]
    assert not evidence.decide(now_s + 2)
    assert not evidence.left_s(('p',), now_s + 2)


def test_a_quarantine_ends_and_evidence_starts_anew():
    """After its time a part may be sent, and be quarantined again."""
    evidence = CrashEvidence()
    now_s = crash_often(evidence, PROVEN_CRASHES)
    evidence.decide(now_s)
    assert math.isclose(evidence.left_s(('p',), now_s + QUARANTINE_S - 1), 1)
    assert not evidence.left_s(('p',), now_s + QUARANTINE_S)
    evidence.decide(now_s + QUARANTINE_S)
    assert not evidence.quarantines
    assert evidence.decide(
        crash_often(evidence, PROVEN_CRASHES, at_s=now_s + QUARANTINE_S + 1)
    )


def test_instances_do_not_prolong_a_quarantine_for_each_other():
    """A quarantine is taken over once, and not at its end."""
    evidence = CrashEvidence()
    known = Quarantine(START_S, START_S + QUARANTINE_S)
    longer = Quarantine(START_S, START_S + QUARANTINE_S * 2)
    assert evidence.adopt('p', known, START_S)
    assert not evidence.adopt('p', longer, START_S + 1)
    assert evidence.quarantines['p'] == known
    evidence.decide(known.until_s)
    assert not evidence.adopt('p', known, known.until_s - 1)


def test_a_quarantine_is_not_taken_over_against_an_answer():
    """An instance with an answer after the first crash knows better."""
    evidence = CrashEvidence()
    evidence.answered.add(('p',), START_S + CLOCK_MARGIN_S * 2)
    quarantine = Quarantine(START_S, START_S + QUARANTINE_S)
    assert not evidence.adopt('p', quarantine, START_S + 2)


def test_evidence_takes_bounded_memory():
    """Any number of crashes, parts and long ids is held within limits."""
    evidence = CrashEvidence()
    for number in range(MAX_CRASHES * 2):
        crash(evidence, number, START_S, 'x' * 1000)
    evidence.answered.add(map(str, range(MAX_ANSWERED_PARTS * 2)), START_S)
    assert len(evidence.crashes.crashes) == MAX_CRASHES
    assert len(evidence.answered.times) == MAX_ANSWERED_PARTS
    assert 'x' * 1000 not in evidence.suspects()
