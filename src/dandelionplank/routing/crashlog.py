"""Crashes and answers that are known: pure state, no I/O and no clock.

Crashes and answers refer to requests by ids: the identity of a request, equal
for its repetitions, and the ids of the parts of its prompt. A request is listed
as its identity, followed by its parts.
"""

import dataclasses
import hashlib
import itertools
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator

CRASH_TTL_S = 120.0
MAX_CRASHES = 256
MAX_ANSWERED_PARTS = 8192
MAX_SUSPECTS = 128
MAX_PART_ID_LENGTH = 64
# Prefixes of the identities of requests, and of digests of long ids; the id of
# a part of a prompt contains no colon.
REQUEST_PREFIX = 'r:'
DIGEST_PREFIX = 'd:'
DIGEST_BYTES = 10

# Name of a target and the Unix time of its start in milliseconds.
CrashKey = tuple[str, int]
# Identity of a request and a part of its prompt.
CarriedPart = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a target.

    :param at_s: monotonic time
    :param part_ids: identities and parts of the requests that it had just
        begun to answer
    :param carried: which of these requests had which of the parts
    """

    at_s: float
    part_ids: frozenset[str]
    carried: frozenset[CarriedPart] = frozenset()

    def carriers(self, part_id: str) -> set[str]:
        """Return the identities of the requests that had a part."""
        return {
            identity for identity, carried in self.carried if carried == part_id
        }

    @property
    def requests(self) -> tuple[str, ...]:
        """The ids as requests; parts of no known request come first."""
        by_identity: dict[str, list[str]] = {
            part_id: [] for part_id in self.part_ids if is_request(part_id)
        }
        for identity, part_id in self.carried:
            by_identity[identity].append(part_id)
        carried = {part_id for _, part_id in self.carried}
        others = self.part_ids - carried - by_identity.keys()
        return (
            *others,
            *itertools.chain.from_iterable(
                (identity, *parts) for identity, parts in by_identity.items()
            ),
        )


class CrashLog:
    """The latest crashes."""

    def __init__(self) -> None:
        """Hold the crashes by target."""
        self.crashes: OrderedDict[CrashKey, Crash] = OrderedDict()

    def add(self, key: CrashKey, at_s: float, part_ids: Iterable[str]) -> None:
        """Record a crash; reports of the same crash are joined.

        :param part_ids: requests, each as its identity and its parts
        """
        listed = tuple(filter(is_valid, part_ids))
        suspects = set(listed)
        carried = set(_carried_parts(listed))
        known = self.crashes.get(key)
        if known:
            at_s = min(at_s, known.at_s)
            suspects |= known.part_ids
            carried |= known.carried
        kept = frozenset(sorted(suspects)[:MAX_SUSPECTS])
        self.crashes[key] = Crash(
            at_s,
            kept,
            frozenset(pair for pair in carried if kept.issuperset(pair)),
        )
        if len(self.crashes) > MAX_CRASHES:
            self.crashes.popitem(last=False)

    def expire(self, now_s: float, held: Collection[str] = ()) -> None:
        """Drop crashes that are too old to count.

        :param held: ids whose crashes are kept whatever their age
        """
        for key, crash in tuple(self.crashes.items()):
            is_old = now_s - crash.at_s > CRASH_TTL_S
            if is_old and crash.part_ids.isdisjoint(held):
                self.crashes.pop(key)

    def without(self, part_ids: Collection[str]) -> dict[CrashKey, Crash]:
        """Return the crashes that none of some ids was in."""
        return {
            key: crash
            for key, crash in self.crashes.items()
            if crash.part_ids.isdisjoint(part_ids)
        }

    def keys_of(self, part_id: str) -> set[CrashKey]:
        """Return the keys of the crashes that an id was in."""
        return {
            key
            for key, crash in self.crashes.items()
            if part_id in crash.part_ids
        }


class AnsweredParts:
    """When a request with a part was last answered."""

    def __init__(self) -> None:
        """Hold the monotonic times by part, the latest last.

        The identities of requests are held apart: there are far more of them.
        """
        self.times: OrderedDict[str, float] = OrderedDict()
        self.request_times: OrderedDict[str, float] = OrderedDict()

    def add(self, part_ids: Iterable[str], at_s: float) -> None:
        """Record that a target began an answer that it went on with."""
        for part_id in filter(is_valid, part_ids):
            times = self._times_of(part_id)
            times[part_id] = max(at_s, self.last_s(part_id))
            times.move_to_end(part_id)
            if len(times) > MAX_ANSWERED_PARTS:
                times.popitem(last=False)

    def last_s(self, part_id: str) -> float:
        """Return the time of the last answer, minus infinity for none."""
        return self._times_of(part_id).get(part_id, -math.inf)

    def _times_of(self, part_id: str) -> OrderedDict[str, float]:
        """Return the times that a part is held among."""
        return self.request_times if is_request(part_id) else self.times


def is_request(part_id: str) -> bool:
    """Return whether an id is the identity of a request."""
    return part_id.startswith(REQUEST_PREFIX)


def is_valid(part_id: str) -> bool:
    """Return whether an id is short enough to be held and sent."""
    return len(part_id) <= MAX_PART_ID_LENGTH


def evidence_id(part_id: str) -> str:
    """Return the id by which a part of a prompt is known in the evidence.

    It appears in messages, log lines and keys of the store. A long id, or one
    that is not made of ASCII letters and digits, is replaced by a digest.
    """
    is_plain = part_id.isascii() and part_id.isalnum()
    if is_plain and is_valid(part_id):
        return part_id
    encoded = part_id.encode('utf-8', 'surrogateescape')
    digest = hashlib.blake2b(encoded, digest_size=DIGEST_BYTES)
    return DIGEST_PREFIX + digest.hexdigest()


def _carried_parts(listed: Iterable[str]) -> Iterator[CarriedPart]:
    """Yield the parts of each request that is listed."""
    identity = ''
    for part_id in listed:
        if is_request(part_id):
            identity = part_id
        elif identity:
            yield identity, part_id
