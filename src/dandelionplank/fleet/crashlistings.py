"""Choice of the ids of crashes that a report has room for: pure state, no I/O.

A crash may have more ids than a message. The most suspect ones are reported
first, the others in later reports.
"""

import itertools
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping

from dandelionplank.routing.crashlog import (
    Crash,
    CrashKey,
    CrashLog,
    is_request,
)

# Limit on the bytes of the ids of all crashes in one report.
MAX_CRASH_BYTES = 4096
MAX_REPORTED_CRASHES = 32
# Bytes of an id besides itself.
ID_OVERHEAD_BYTES = 10


def size_of(part_ids: Iterable[str]) -> int:
    """Return about how many bytes ids take in a report."""
    return sum(len(part_id) + ID_OVERHEAD_BYTES for part_id in part_ids)


class CrashListings:
    """Lists crashes for one report after the other."""

    def __init__(self, log: CrashLog) -> None:
        """Hold how often each id of a crash was reported.

        :param log: all crashes that are known, by which ids are ranked
        """
        self.log = log
        self.report_counts: dict[CrashKey, Counter[str]] = {}

    def take(
        self, crashes: Mapping[CrashKey, Crash]
    ) -> Iterator[tuple[CrashKey, tuple[str, ...]]]:
        """Yield the requests of the latest crashes for the next report.

        Each crash has its share of the report. What one does not need is left
        to the earlier ones.
        """
        latest = list(reversed(tuple(crashes.items())))[:MAX_REPORTED_CRASHES]
        self.report_counts = {
            key: self.report_counts.get(key, Counter()) for key in dict(latest)
        }
        counts = self.log.count_ids()
        bytes_left = MAX_CRASH_BYTES
        for number, (key, crash) in enumerate(latest):
            share = bytes_left // (len(latest) - number)
            ranked = self.log.by_suspicion(
                crash, counts, self.report_counts[key]
            )
            chosen = _choose(crash, ranked, share)
            self.report_counts[key].update(chosen)
            requests = crash.listing(chosen)
            bytes_left -= size_of(requests)
            yield key, requests


def _choose(crash: Crash, ranked: Collection[str], limit: int) -> set[str]:
    """Return the ids of a crash that a report has room for, the first ones.

    Identities get a half of it at most, so that parts have a place beside those
    of many requests.

    :param limit: bytes
    """
    chosen = _first_identities(ranked, limit // 2)
    bytes_left = limit - size_of(chosen)
    bits = crash.bits_of(chosen)
    for part_id in itertools.filterfalse(is_request, ranked):
        # The part is listed with each request that had it.
        copies = max(1, (crash.carriers[part_id] & bits).bit_count())
        size_bytes = size_of((part_id,)) * copies
        if size_bytes <= bytes_left:
            bytes_left -= size_bytes
            chosen.add(part_id)
    return chosen


def _first_identities(ranked: Collection[str], limit: int) -> set[str]:
    """Return the identities that fit into a number of bytes."""
    chosen: set[str] = set()
    for identity in filter(is_request, ranked):
        limit -= size_of((identity,))
        if limit < 0:
            break
        chosen.add(identity)
    return chosen
