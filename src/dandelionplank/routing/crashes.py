"""Which requests crash targets: pure state, no I/O and no clock.

A crash makes suspects of all requests that the target had just begun to
answer: of each request as a whole, and of the parts of its prompt. A part that
is in several crashes, and in no answer since the first of them, is
quarantined. Every crash that it explains then counts for it alone, so that
parts that are merely in the same requests are spared. The identity of a
request, equal for its repetitions, is treated as one more part of it.
"""

import dataclasses
import math
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Collection, Iterable

# Crashes that prove a part, and those that prove one which was answered in the
# time before.
PROVEN_CRASHES = 3
PROVEN_CRASHES_IF_ANSWERED = 5
ANSWERED_BEFORE_S = 30.0
# Time between the first crash and a decision, in which prompts that lost their
# targets for another reason are answered elsewhere.
SETTLE_S = 2.0
# Difference between the clocks of two instances, which is the delay of their
# messages.
CLOCK_MARGIN_S = 0.5
CRASH_TTL_S = 120.0
QUARANTINE_S = 600.0
# A quarantine of another instance that ends this soon is not taken over, so
# that instances do not prolong it for each other.
MIN_ADOPTED_S = 5.0
MAX_CRASHES = 256
MAX_ANSWERED_PARTS = 8192
MAX_QUARANTINES = 32
MAX_SUSPECTS = 128
MAX_PART_ID_LENGTH = 64
# Prefix of the identities of requests; the id of a part of a prompt contains
# no colon.
REQUEST_PREFIX = 'r:'

# Name of a target and the Unix time of its start in milliseconds.
CrashKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a target.

    :param at_s: monotonic time
    :param part_ids: parts of the prompts that it had just begun to answer
    """

    at_s: float
    part_ids: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A part that no target receives.

    :param since_s: monotonic time of the first crash that it explains
    :param until_s: monotonic time of its end
    """

    since_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineChange:
    """A part that was quarantined or released.

    :param targets: targets that crashed on it, as far as known here
    :param left_s: time until the quarantine ends, zero if it has ended
    """

    part_id: str
    targets: tuple[str, ...]
    left_s: float


class CrashLog:
    """The latest crashes."""

    def __init__(self) -> None:
        """Hold the crashes by target."""
        self.crashes: OrderedDict[CrashKey, Crash] = OrderedDict()

    def add(self, key: CrashKey, at_s: float, part_ids: Iterable[str]) -> None:
        """Record a crash; reports of the same crash are joined."""
        suspects = set(filter(_is_valid, part_ids))
        known = self.crashes.get(key)
        if known:
            at_s = min(at_s, known.at_s)
            suspects |= known.part_ids
        kept = frozenset(sorted(suspects)[:MAX_SUSPECTS])
        self.crashes[key] = Crash(at_s, kept)
        if len(self.crashes) > MAX_CRASHES:
            self.crashes.popitem(last=False)

    def expire(self, now_s: float) -> None:
        """Drop crashes that are too old to count."""
        for key, crash in tuple(self.crashes.items()):
            if now_s - crash.at_s > CRASH_TTL_S:
                self.crashes.pop(key)

    def unexplained(
        self, quarantined: Collection[str]
    ) -> dict[CrashKey, Crash]:
        """Return the crashes that no quarantined part explains."""
        return {
            key: crash
            for key, crash in self.crashes.items()
            if crash.part_ids.isdisjoint(quarantined)
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
        for part_id in filter(_is_valid, part_ids):
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


class CrashEvidence:
    """Crashes and answers of all instances, and the parts in quarantine."""

    def __init__(self) -> None:
        """Hold no evidence at first."""
        self.crashes = CrashLog()
        self.answered = AnsweredParts()
        self.quarantines: dict[str, Quarantine] = {}

    def left_s(self, part_ids: Iterable[str], now_s: float) -> float:
        """Return how long a prompt may not be sent, zero if it may."""
        found = filter(None, map(self.quarantines.get, part_ids))
        last_s = max((known.until_s for known in found), default=now_s)
        return max(0.0, last_s - now_s)

    def adopt(self, part_id: str, quarantine: Quarantine, now_s: float) -> bool:
        """Take over another instance's quarantine; return whether it is new."""
        if len(self.quarantines) >= MAX_QUARANTINES or not _is_valid(part_id):
            return False
        is_new = (
            part_id not in self.quarantines
            and quarantine.until_s - now_s > MIN_ADOPTED_S
            and not self._is_sound(part_id, quarantine.since_s)
        )
        if is_new:
            self.quarantines[part_id] = quarantine
        return is_new

    def decide(self, now_s: float) -> list[QuarantineChange]:
        """Quarantine and release parts; return the changes."""
        self.crashes.expire(now_s)
        changes = self._release(now_s)
        while len(self.quarantines) < MAX_QUARANTINES:
            change = self._quarantine_worst(now_s)
            if change is None:
                break
            changes.append(change)
        return changes

    def suspects(self) -> dict[str, list[Crash]]:
        """Return the crashes that count for each part."""
        found: dict[str, list[Crash]] = defaultdict(list)
        for crash in self.crashes.unexplained(self.quarantines).values():
            for part_id in crash.part_ids:
                found[part_id].append(crash)
        return found

    def _is_sound(self, part_id: str, first_s: float) -> bool:
        """Return whether a part was answered after its first crash."""
        return self.answered.last_s(part_id) > first_s + CLOCK_MARGIN_S

    def _release(self, now_s: float) -> list[QuarantineChange]:
        """Release the parts that were answered or whose time has passed."""
        released = [
            part_id
            for part_id, quarantine in self.quarantines.items()
            if now_s >= quarantine.until_s
            or self._is_sound(part_id, self._first_s(part_id, quarantine))
        ]
        for part_id in released:
            self.quarantines.pop(part_id)
        return [QuarantineChange(part_id, (), 0) for part_id in released]

    def _first_s(self, part_id: str, quarantine: Quarantine) -> float:
        """Return when the first crash with a quarantined part was.

        A report of an earlier one may arrive after the decision.
        """
        crashes_s = (
            crash.at_s
            for crash in self.crashes.crashes.values()
            if part_id in crash.part_ids
        )
        return min(quarantine.since_s, min(crashes_s, default=math.inf))

    def _quarantine_worst(self, now_s: float) -> QuarantineChange | None:
        """Quarantine the part that explains most crashes, if one is proven.

        Of two with as many crashes, the identity of a request, which refuses
        no other request, or else the one that was not answered for longer.
        Parts that are in the same crashes wait for one that distinguishes
        them, and so do identities.
        """
        proven = {
            part_id: tuple(crashes)
            for part_id, crashes in self.suspects().items()
            if self._is_proven(part_id, crashes, now_s)
        }
        rivals = Counter(
            (is_request(part_id), crashes)
            for part_id, crashes in proven.items()
        )
        ranked = [
            (
                len(crashes),
                is_request(part_id),
                -self.answered.last_s(part_id),
                part_id,
            )
            for part_id, crashes in proven.items()
            if rivals[is_request(part_id), crashes] == 1
            or len(crashes) >= PROVEN_CRASHES_IF_ANSWERED
        ]
        if not ranked:
            return None
        part_id = max(ranked)[-1]
        explained = {
            key: crash.at_s
            for key, crash in self.crashes.unexplained(self.quarantines).items()
            if part_id in crash.part_ids
        }
        self.quarantines[part_id] = Quarantine(
            min(explained.values()), now_s + QUARANTINE_S
        )
        targets = tuple(sorted(name for name, _ in explained))
        return QuarantineChange(part_id, targets, QUARANTINE_S)

    def _is_proven(
        self, part_id: str, crashes: list[Crash], now_s: float
    ) -> bool:
        """Return whether the crashes with a part are enough."""
        first_s = min(crash.at_s for crash in crashes)
        last_s = self.answered.last_s(part_id)
        required = PROVEN_CRASHES
        if last_s > first_s - ANSWERED_BEFORE_S:
            required = PROVEN_CRASHES_IF_ANSWERED
        return (
            len(crashes) >= required
            and now_s - first_s >= SETTLE_S
            and not self._is_sound(part_id, first_s)
        )


def is_request(part_id: str) -> bool:
    """Return whether an id is the identity of a request."""
    return part_id.startswith(REQUEST_PREFIX)


def _is_valid(part_id: str) -> bool:
    """Return whether an id is short enough to be held and sent."""
    return len(part_id) <= MAX_PART_ID_LENGTH
