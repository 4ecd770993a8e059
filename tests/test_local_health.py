"""Tests of an instance that doubts its own health."""

import math

from dandelionplank.fleet.localhealth import (
    LONGEST_DELAY_S,
    LONGEST_DOUBT_S,
    SHORTEST_DOUBT_S,
    LocalHealth,
)

LONG_DELAY_S = 0.4


def test_a_late_loop_takes_a_missing_reply_for_unread():
    """Any missing reply excluded its owner, however late the loop was."""
    health = LocalHealth()
    assert health.is_silence('owner', 0, 1)
    health.record_delay(LONG_DELAY_S, 1)
    assert not health.is_silence('owner', 1, 1.5)
    health.record_reply('other', 0.5, 1.5)
    assert not health.is_silence('owner', 1, 1.5)
    health.record_reply('other', 1.2, 1.6)
    assert not health.is_silence('owner', 1, 1.6)
    assert health.is_silence('owner', 1, 1 + SHORTEST_DOUBT_S)
    health.record_late_reply('owner', 1.7)
    assert not health.is_silence('owner', 1, 1 + SHORTEST_DOUBT_S)


def test_a_late_loop_doubts_no_silence_for_ever():
    """An owner that is lost while the loop stays late is asked no more."""
    health = LocalHealth()
    health.record_delay(LONG_DELAY_S, 0)
    assert not health.is_silence('owner', 0, LONGEST_DOUBT_S / 2)
    health.record_delay(LONG_DELAY_S, LONGEST_DOUBT_S)
    assert health.is_silence('owner', 1, LONGEST_DOUBT_S)


def test_a_reply_has_longer_while_the_loop_is_late():
    """For two turns, and the usual time once the delay is forgotten."""
    health = LocalHealth()
    assert not health.reading_time_s(0)
    health.record_delay(LONG_DELAY_S, 0)
    assert math.isclose(health.reading_time_s(0), 2 * LONG_DELAY_S)
    assert not health.reading_time_s(20)


def test_an_instance_that_stood_still_is_not_late_for_long():
    """A freeze of ten seconds would make it late for five more."""
    health = LocalHealth()
    health.record_delay(10, 0)
    assert health.delay_at_s(0) == LONGEST_DELAY_S
    assert not health.delay_at_s(3)


def test_a_reply_that_may_have_been_dropped_shows_no_silence():
    """Replies to later tickets were read, so that the owner was suspected."""
    health = LocalHealth()
    health.record_delay(LONG_DELAY_S, 1)
    assert not health.is_silence('owner', 1, 1.5)
    health.record_drop(1.6)
    health.record_reply('other', 1.7, 1.8)
    health.record_delay(LONG_DELAY_S, 2)
    assert not health.is_silence('owner', 1, 1 + SHORTEST_DOUBT_S)
    assert health.is_silence('owner', 1, 1 + LONGEST_DOUBT_S)
