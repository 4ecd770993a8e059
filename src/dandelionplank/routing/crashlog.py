"""Crashes and answers that are known: pure state, no I/O and no clock.

Crashes and answers refer to requests by ids: the identity of a request, equal
for its repetitions, and the ids of the parts of its prompt. A request is listed
as its identity, followed by its parts.
"""

import dataclasses
import hashlib
import itertools
import math
import types
from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable, Mapping, Set

CRASH_TTL_S = 120.0
MAX_CRASHES = 256
MAX_ANSWERED_PARTS = 8192
# Ids in one crash, and in all that are held. A head of 16 KB, as long as the
# platform allows, lists some 4,000 parts.
MAX_SUSPECTS = 4096
MAX_HELD_SUSPECTS = 32_768
# Requests that are told apart in one crash.
MAX_REQUESTS = 256
MAX_PART_ID_LENGTH = 64
# Prefixes of the identities of requests, and of digests of long ids; the id of
# a part of a prompt contains no colon.
REQUEST_PREFIX = 'r:'
DIGEST_PREFIX = 'd:'
DIGEST_BYTES = 10

NEVER_REPORTED: Mapping[str, int] = types.MappingProxyType({})

# Name of a target and the Unix time of its start in milliseconds.
CrashKey = tuple[str, int]
# Identity of a request and a part of its prompt.
CarriedPart = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a target.

    :param at_s: monotonic time
    :param identities: requests that it had just begun to answer
    :param carriers: by id, in order of listing, which of these requests had
        the part: the lowest bit stands for the first of them. Zero for an
        identity, and for a part of no known request
    """

    at_s: float
    identities: tuple[str, ...]
    carriers: Mapping[str, int]

    @property
    def part_ids(self) -> Set[str]:
        """Identities and parts of the requests."""
        return self.carriers.keys()

    @property
    def carried(self) -> set[CarriedPart]:
        """Which of the requests had which of the parts."""
        return {
            (identity, part_id)
            for part_id in self.carriers
            for identity in self.carriers_of(part_id)
        }

    def carriers_of(self, part_id: str) -> set[str]:
        """Return the identities of the requests that had a part."""
        bits = self.carriers.get(part_id, 0)
        return {
            identity
            for number, identity in enumerate(self.identities)
            if bits >> number & 1
        }

    def bits_of(self, identities: Collection[str]) -> int:
        """Return the bits of some of the requests."""
        return sum(
            1 << number
            for number, identity in enumerate(self.identities)
            if identity in identities
        )

    def listing(self, part_ids: Collection[str]) -> tuple[str, ...]:
        """Return some of the ids as requests.

        Each is its identity, followed by its parts in their order. Parts of no
        listed request come first.
        """
        listed = [part_id for part_id in self.carriers if part_id in part_ids]
        carried = {
            identity: [
                part_id
                for part_id in listed
                if self.carriers[part_id] >> number & 1
            ]
            for number, identity in enumerate(self.identities)
            if identity in part_ids
        }
        known = set(itertools.chain(carried, *carried.values()))
        return (
            *(part_id for part_id in listed if part_id not in known),
            *itertools.chain.from_iterable(
                (identity, *parts) for identity, parts in carried.items()
            ),
        )

    @property
    def requests(self) -> tuple[str, ...]:
        """All ids as requests."""
        return self.listing(self.part_ids)

    def joined(self, at_s: float, listed: Iterable[str]) -> 'Crash':
        """Return the crash with what another report of it lists.

        :param listed: requests, each as its identity and its parts
        """
        identities = list(self.identities)
        carriers = dict(self.carriers)
        bit = 0
        for part_id in listed:
            if not is_request(part_id):
                carriers[part_id] = carriers.get(part_id, 0) | bit
                continue
            bit = 0
            if part_id not in carriers and len(identities) < MAX_REQUESTS:
                identities.append(part_id)
                carriers[part_id] = 0
            if part_id in carriers:
                bit = 1 << identities.index(part_id)
        return Crash(min(at_s, self.at_s), tuple(identities), carriers)


class CrashLog:
    """The latest crashes."""

    def __init__(self, answered: 'AnsweredParts | None' = None) -> None:
        """Hold the crashes by target.

        :param answered: answers, of which those to suspects are kept
        """
        self.answered = answered or AnsweredParts()
        self.crashes: OrderedDict[CrashKey, Crash] = OrderedDict()

    def add(self, key: CrashKey, at_s: float, part_ids: Iterable[str]) -> None:
        """Record a crash; reports of the same crash are joined.

        :param part_ids: requests, each as its identity and its parts
        """
        known = self.crashes.get(key, Crash(at_s, (), {}))
        crash = known.joined(at_s, filter(is_valid, part_ids))
        if len(crash.carriers) > MAX_SUSPECTS:
            crash = self._without_least_suspect(crash)
        self.crashes[key] = crash
        self.answered.hold(crash.part_ids)
        held = sum(len(each.carriers) for each in self.crashes.values())
        while len(self.crashes) > MAX_CRASHES or held > MAX_HELD_SUSPECTS:
            _, oldest = self.crashes.popitem(last=False)
            held -= len(oldest.carriers)
        if len(self.answered.suspect_times) > MAX_HELD_SUSPECTS:
            self._release_answers()

    def expire(self, now_s: float, held: Collection[str] = ()) -> None:
        """Drop crashes that are too old to count.

        :param held: ids whose crashes are kept whatever their age
        """
        old = [
            key
            for key, crash in self.crashes.items()
            if now_s - crash.at_s > CRASH_TTL_S
            and crash.part_ids.isdisjoint(held)
        ]
        for key in old:
            self.crashes.pop(key)
        if old:
            self._release_answers()

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

    def count_ids(self) -> Counter[str]:
        """Return in how many crashes each id was."""
        return Counter(
            itertools.chain.from_iterable(
                crash.carriers for crash in self.crashes.values()
            )
        )

    def by_suspicion(
        self,
        crash: Crash,
        counts: Counter[str],
        report_counts: Mapping[str, int] = NEVER_REPORTED,
    ) -> list[str]:
        """Return the ids of a crash, the most suspect ones first.

        An id that was answered since says nothing. Of the others those are
        more suspect that are in more crashes, then the identities of requests,
        then those that were not answered for longer.

        :param counts: in how many crashes each id was
        :param report_counts: how often an id was reported; of ids that are in
            as many crashes those come first that were reported less often
        """
        times_s = {
            part_id: self.answered.last_s(part_id) for part_id in crash.carriers
        }
        return sorted(
            crash.carriers,
            key=lambda part_id: (
                times_s[part_id] > crash.at_s,
                -counts[part_id],
                report_counts.get(part_id, 0),
                not is_request(part_id),
                times_s[part_id],
            ),
        )

    def _release_answers(self) -> None:
        """Hold the answers to the present suspects alone."""
        self.answered.retain(
            frozenset(
                itertools.chain.from_iterable(
                    crash.carriers for crash in self.crashes.values()
                )
            )
        )

    def _without_least_suspect(self, crash: Crash) -> Crash:
        """Return a crash with as many ids as one may have."""
        ranked = self.by_suspicion(crash, self.count_ids())
        kept = frozenset(ranked[:MAX_SUSPECTS])
        return Crash(crash.at_s, (), {}).joined(crash.at_s, crash.listing(kept))


class AnsweredParts:
    """When a request with a part was last answered."""

    def __init__(self) -> None:
        """Hold the monotonic times by part, the latest last.

        The identities of requests are held apart: there are far more of them.
        So are the suspects of crashes, so that the many parts of other prompts
        do not displace them.
        """
        self.times: OrderedDict[str, float] = OrderedDict()
        self.request_times: OrderedDict[str, float] = OrderedDict()
        self.suspect_times: dict[str, float] = {}

    def add(self, part_ids: Iterable[str], at_s: float) -> None:
        """Record that a target began an answer that it went on with."""
        for part_id in filter(is_valid, part_ids):
            last_s = max(at_s, self.last_s(part_id))
            if part_id in self.suspect_times:
                self.suspect_times[part_id] = last_s
            times = self._times_of(part_id)
            times[part_id] = last_s
            times.move_to_end(part_id)
            if len(times) > MAX_ANSWERED_PARTS:
                times.popitem(last=False)

    def last_s(self, part_id: str) -> float:
        """Return the time of the last answer, minus infinity for none."""
        found = self.suspect_times.get(part_id)
        if found is None:
            return self._times_of(part_id).get(part_id, -math.inf)
        return found

    def hold(self, part_ids: Iterable[str]) -> None:
        """Keep the times of suspects until they are released."""
        for part_id in part_ids:
            self.suspect_times[part_id] = self.last_s(part_id)

    def retain(self, part_ids: Collection[str]) -> None:
        """Release all suspects but some."""
        self.suspect_times = {
            part_id: at_s
            for part_id, at_s in self.suspect_times.items()
            if part_id in part_ids
        }

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
