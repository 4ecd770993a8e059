"""Tests of the changes that watchers of the store pass on."""

from hypothesis import given
from hypothesis import strategies as st

from dandelionplank.fleet.changes import (
    MAX_LOG_BYTES,
    MAX_MESSAGE_BYTES,
    ChangeLog,
    StoredChange,
    StoreRevision,
)

STORE = st.lists(
    st.tuples(st.sampled_from('abc'), st.integers(0, 3000), st.booleans()),
    max_size=40,
)


def at(number):
    """Return a revision of the only era."""
    return StoreRevision(1, number)


def make_changes(entries):
    """Return changes; several in a row may have the same revision."""
    changes = []
    revision = 1
    for key, size, is_new_revision in entries:
        revision += is_new_revision
        changes.append(StoredChange(key, revision, b'x' * size))
    return changes


def test_changes_before_a_gap_are_not_passed_on():
    """An instance that missed a change must not skip it unnoticed."""
    log = ChangeLog()
    log.record(
        at(5), at(7), [StoredChange('a', 6, b'1'), StoredChange('b', 7, None)]
    )
    assert log.since(at(4)) is None
    assert log.since(at(8)) is None
    assert log.since(at(6)) == (at(7), (StoredChange('b', 7, None),))
    assert log.since(at(7)) == (at(7), ())
    log.record(at(9), at(10), [StoredChange('c', 10, b'1')])
    assert log.since(at(7)) is None


def test_the_log_keeps_a_limited_size():
    """Old changes are dropped, and are then no longer passed on."""
    log = ChangeLog()
    for revision in range(1, 200):
        change = StoredChange('a', revision, b'x' * 4000)
        log.record(at(revision - 1), at(revision), [change])
    assert log.size_bytes <= MAX_LOG_BYTES
    assert log.since(at(1)) is None
    assert log.since(at(198)) is not None


@given(STORE, st.integers(0, 45))
def test_an_instance_that_applies_what_it_gets_reaches_the_same_state(
    entries, start
):
    """Parts of the log, applied in order, miss nothing and repeat nothing."""
    changes = make_changes(entries)
    end = changes[-1].revision if changes else 1
    log = ChangeLog()
    log.record(at(0), at(end), changes)
    revision = min(start, end)
    applied = []
    while revision < end:
        part = log.since(at(revision))
        if part is None:
            break
        reached, found = part
        assert sum(each.size_bytes for each in found) <= MAX_MESSAGE_BYTES
        assert reached > at(revision)
        applied.extend(found)
        revision = reached.number
    assert applied == [
        change for change in changes if start < change.revision <= revision
    ]
