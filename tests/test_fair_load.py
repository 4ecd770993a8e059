"""Tests of shares: the room of prompts at targets, and how they are judged."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.fairload import WINDOW_S, Second, find_shortages, lowest_share
from dandelionplank.fleet.peers import TargetShare
from dandelionplank.routing.load import TARGET_QUEUE_S, TargetLoad
from dandelionplank.settings import Address
from dandelionplank.targets import Target
from tests.fixtures import only

LARGEST = 10.0


def seconds_of(asked, got, best, *, impaired=True):
    """Return a window in which each second is the same."""
    found = []
    for _ in range(WINDOW_S):
        second = Second()
        second.asked.update({'small': asked, 'large': 1000})
        second.got.update({'small': got, 'large': best})
        if impaired:
            second.impaired.update(('small', 'large'))
        found.append(second)
    return found


@given(
    st.floats(8000, 25_000),
    st.floats(1, 6000),
    st.floats(0, 1),
    st.floats(0, 1),
)
@settings(max_examples=500)
def test_a_higher_queue_limit_leaves_no_prompt_less_room(
    tokens, pending, first, second
):
    """Accounts somewhat behind got less room than those ahead of them.

    A prompt that would just fit an idle target had none beside others.
    """
    target = Target('t', 's', Address('10.0.0.1', 80), 'a', limit=8)
    load = TargetLoad(target, None)
    load.pending_prefill_tokens = pending
    lower, higher = (
        load.has_capacity(tokens, TargetShare(), TARGET_QUEUE_S * (1 + factor))
        for factor in sorted((first, second))
    )
    assert higher or not lower


def test_an_account_that_got_half_as_much_is_not_short():
    """Half of the best, or of what was asked, less three large requests."""
    assert not find_shortages(seconds_of(1000, 50, 100), LARGEST)
    assert not find_shortages(seconds_of(60, 30, 100), LARGEST)
    assert not find_shortages(seconds_of(1000, 45, 100), LARGEST)
    assert not find_shortages(seconds_of(1000, 0, 100, impaired=False), LARGEST)


def test_an_account_that_got_less_than_half_is_short():
    """The windows are named, with what it should have got."""
    seconds = seconds_of(1000, 40, 100)
    shortage = only(find_shortages(seconds, LARGEST))
    assert shortage.account == 'small'
    assert shortage.least == 270
    assert lowest_share(seconds, LARGEST) == (0.45, 'small')
