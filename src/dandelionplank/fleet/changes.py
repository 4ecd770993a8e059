"""Latest changes of the store, which instances pass on: pure state, no I/O.

Designed for fleets in which one call of every instance for every change would
be the largest load on the store, as when many targets are replaced in a row.
"""

from collections import deque
from collections.abc import Iterable

import msgspec

# Total size of the documents that are kept.
MAX_LOG_BYTES = 262_144
# Size of the changes in one message.
MAX_MESSAGE_BYTES = 8192
# Size of a change besides its key and document.
CHANGE_OVERHEAD_BYTES = 16


class StoreRevision(msgspec.Struct, frozen=True, order=True, array_like=True):
    """State of the store, ordered by the time at which it was reached.

    :param era: how often the store was restored from a copy; the numbers of
        an earlier era are given out again
    :param number: revision within the era
    """

    era: int
    number: int


class StoredChange(msgspec.Struct, frozen=True, array_like=True):
    """A key's state after a change.

    :param revision: number of the change within the store's era
    :param document: ``None`` if the key was removed
    """

    key: str
    revision: int
    document: bytes | None

    @property
    def size_bytes(self) -> int:
        """Return the approximate size in a message."""
        return CHANGE_OVERHEAD_BYTES + len(self.key) + len(self.document or b'')


class ChangeLog:
    """All changes between two revisions of one era of the store."""

    def __init__(self) -> None:
        """Hold the changes, at first none."""
        self.changes: deque[StoredChange] = deque()
        self.size_bytes = 0
        self.start = StoreRevision(0, 0)
        self.end = self.start

    def record(
        self,
        before: StoreRevision,
        after: StoreRevision,
        changes: Iterable[StoredChange],
    ) -> None:
        """Add all changes between two revisions.

        What was known is dropped if changes before them are missing.
        """
        if before != self.end:
            self.changes.clear()
            self.size_bytes = 0
            self.start = before
        self.end = after
        for change in changes:
            self.changes.append(change)
            self.size_bytes += change.size_bytes
        while self.size_bytes > MAX_LOG_BYTES:
            oldest = self.changes.popleft()
            self.size_bytes -= oldest.size_bytes
            self.start = StoreRevision(after.era, oldest.revision)

    def since(
        self, revision: StoreRevision
    ) -> tuple[StoreRevision, tuple[StoredChange, ...]] | None:
        """Return the changes after a revision that fit into a message.

        :return: the revision reached and the changes, None if some are not
            known or the first one does not fit
        """
        if not self.start <= revision <= self.end:
            return None
        found: list[StoredChange] = []
        size_bytes = 0
        for change in self.changes:
            if change.revision <= revision.number:
                continue
            size_bytes += change.size_bytes
            if size_bytes > MAX_MESSAGE_BYTES:
                return _complete_part(found, revision.era)
            found.append(change)
        return self.end, tuple(found)


def _complete_part(
    found: list[StoredChange], era: int
) -> tuple[StoreRevision, tuple[StoredChange, ...]] | None:
    """Return the changes up to the last revision that is complete.

    The change that did not fit may be of the same revision as the last one
    that did, so that the last revision is left out.
    """
    if not found or found[0].revision == found[-1].revision:
        return None
    last = found[-1].revision
    kept = tuple(change for change in found if change.revision < last)
    return StoreRevision(era, kept[-1].revision), kept
