"""Which requests crash targets: pure state, no I/O and no clock.

A crash makes suspects of all requests that the target had just begun to
answer: of each request as a whole, and of the parts of its prompt. A suspect
that is in several crashes, and in no answer since the first of them, is
quarantined, and explains these crashes, so that others that are merely in them
are spared.

Of a request and a part of its prompt that were in the same crashes, the request
is quarantined: that refuses no other one. Once another request with the part
is in a crash, the part explains more crashes than the request did; the earlier
ones then count for the part again.
"""

import dataclasses
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from dandelionplank.routing.crashlog import (
    AnsweredParts,
    Crash,
    CrashKey,
    CrashLog,
    is_request,
    is_valid,
)

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
# Time in which the answers that the other instances know of arrive.
ANSWERS_KNOWN_S = 1.0
QUARANTINE_S = 600.0
# A quarantine of another instance that ends this soon is not taken over, so
# that instances do not prolong it for each other.
MIN_ADOPTED_S = 5.0
MAX_QUARANTINES = 32


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


class CrashEvidence:
    """Crashes and answers of all instances, and the parts in quarantine.

    Identities of requests are treated as parts unless stated otherwise.
    """

    def __init__(self) -> None:
        """Hold no evidence at first."""
        self.answered = AnsweredParts()
        self.crashes = CrashLog(self.answered)
        self.quarantines: dict[str, Quarantine] = {}

    @property
    def shared_quarantines(self) -> frozenset[str]:
        """Return the parts of prompts in quarantine, without identities."""
        return frozenset(
            part_id for part_id in self.quarantines if not is_request(part_id)
        )

    @property
    def request_quarantines(self) -> frozenset[str]:
        """Return the identities of requests in quarantine."""
        return frozenset(filter(is_request, self.quarantines))

    def left_s(self, part_ids: Iterable[str], now_s: float) -> float:
        """Return how long a prompt may not be sent, zero if it may."""
        found = filter(None, map(self.quarantines.get, part_ids))
        last_s = max((known.until_s for known in found), default=now_s)
        return max(0.0, last_s - now_s)

    def adopt(self, part_id: str, quarantine: Quarantine, now_s: float) -> bool:
        """Take over another instance's quarantine; return whether it is new."""
        if len(self.quarantines) >= MAX_QUARANTINES or not is_valid(part_id):
            return False
        is_new = (
            part_id not in self.quarantines
            and quarantine.until_s - now_s > MIN_ADOPTED_S
            and not self._is_sound(part_id, quarantine.since_s)
            and not self._is_superseded(part_id, self._quarantined_keys())
        )
        if is_new:
            self.quarantines[part_id] = quarantine
        return is_new

    def decide(self, now_s: float) -> list[QuarantineChange]:
        """Quarantine and release parts; return the changes."""
        changes = self._release(now_s)
        self.crashes.expire(now_s, self.request_quarantines)
        while len(self.quarantines) < MAX_QUARANTINES:
            change = self._quarantine_worst(now_s)
            if change is None:
                break
            changes.append(change)
            changes.extend(self._release(now_s))
        return changes

    def suspects(self) -> dict[str, list[Crash]]:
        """Return the crashes of each part that no other part explains."""
        found: dict[str, list[Crash]] = defaultdict(list)
        for crash in self.crashes.without(self.shared_quarantines).values():
            for part_id in crash.part_ids:
                found[part_id].append(crash)
        return found

    def _is_sound(self, part_id: str, first_s: float) -> bool:
        """Return whether a part was answered after its first crash."""
        return self.answered.last_s(part_id) > first_s + CLOCK_MARGIN_S

    def _is_superseded(
        self, part_id: str, quarantined: Mapping[str, set[CrashKey]]
    ) -> bool:
        """Return whether a quarantined part explains all that a request does.

        Another request does so only if it explains more.

        :param quarantined: crashes that each part in quarantine was in
        """
        if not is_request(part_id):
            return False
        explained = self.crashes.keys_of(part_id)
        return bool(explained) and any(
            explained < keys or (explained == keys and not is_request(other))
            for other, keys in quarantined.items()
        )

    def _quarantined_keys(self) -> dict[str, set[CrashKey]]:
        """Return the crashes that each part in quarantine was in."""
        return {
            part_id: self.crashes.keys_of(part_id)
            for part_id in self.quarantines
        }

    def _release(self, now_s: float) -> list[QuarantineChange]:
        """Release the parts that are no longer suspect, or not for longer."""
        quarantined = self._quarantined_keys()
        released = [
            part_id
            for part_id, quarantine in self.quarantines.items()
            if now_s >= quarantine.until_s
            or self._is_sound(part_id, self._first_s(part_id, quarantine))
            or self._is_superseded(part_id, quarantined)
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

    def _counted(self) -> dict[str, dict[CrashKey, Crash]]:
        """Return the crashes that count for each part.

        Those that a quarantined request explains count only for a part that
        was in all of them, and in another one that nothing explains.
        """
        crashes = self.crashes.without(self.shared_quarantines)
        by_part: dict[str, set[CrashKey]] = defaultdict(set)
        for key, crash in crashes.items():
            for part_id in crash.part_ids:
                by_part[part_id].add(key)
        explained_by = [
            by_part.pop(part_id)
            for part_id in self.quarantines
            if part_id in by_part
        ]
        explained = set().union(*explained_by)
        counted: dict[str, dict[CrashKey, Crash]] = {}
        for part_id, keys in by_part.items():
            fresh = keys - explained
            if fresh and len(keys) >= PROVEN_CRASHES:
                fresh = fresh.union(
                    *(each for each in explained_by if each <= keys)
                )
                counted[part_id] = {
                    key: crash for key, crash in crashes.items() if key in fresh
                }
        return counted

    def _quarantine_worst(self, now_s: float) -> QuarantineChange | None:
        """Quarantine the part that explains most crashes, if one is proven.

        Parts that are in the same crashes wait for one that distinguishes
        them. If none has when there are enough crashes for any part, and the
        answers of other instances had time to arrive, a part of prompts comes
        before the identity of a request, the one that was not answered for
        longer before the other, and the one that is listed later before the
        other: fewer prompts share the later parts.
        """
        proven = {
            part_id: crashes
            for part_id, crashes in self._counted().items()
            if self._is_proven(part_id, crashes, now_s)
        }
        rivals = Counter(map(tuple, proven.values()))
        positions = self._positions() if len(proven) > 1 else {}
        ranked = [
            (
                len(crashes),
                not is_request(part_id),
                -self.answered.last_s(part_id),
                positions.get(part_id, 0),
                part_id,
            )
            for part_id, crashes in proven.items()
            if rivals[tuple(crashes)] == 1
            or _is_enough_for_any(crashes.values(), now_s)
        ]
        if not ranked:
            return None
        part_id = max(ranked)[-1]
        explained = proven[part_id]
        self.quarantines[part_id] = Quarantine(
            min(crash.at_s for crash in explained.values()),
            now_s + QUARANTINE_S,
        )
        targets = tuple(sorted(name for name, _ in explained))
        return QuarantineChange(part_id, targets, QUARANTINE_S)

    def _positions(self) -> dict[str, int]:
        """Return the places of the suspects in the listings of crashes."""
        return {
            part_id: position
            for crash in self.crashes.crashes.values()
            for position, part_id in enumerate(crash.carriers)
        }

    def _is_proven(
        self, part_id: str, crashes: Mapping[CrashKey, Crash], now_s: float
    ) -> bool:
        """Return whether the crashes with a part are enough."""
        first_s = min(crash.at_s for crash in crashes.values())
        last_s = self.answered.last_s(part_id)
        required = PROVEN_CRASHES
        if last_s > first_s - ANSWERED_BEFORE_S:
            required = PROVEN_CRASHES_IF_ANSWERED
        return (
            len(crashes) >= required
            and now_s - first_s >= SETTLE_S
            and not self._is_sound(part_id, first_s)
            and not self._is_of_one_request(part_id, crashes.values(), first_s)
        )

    def _is_of_one_request(
        self, part_id: str, crashes: Iterable[Crash], first_s: float
    ) -> bool:
        """Return whether one request with a part may have caused all crashes.

        :param first_s: monotonic time of the first one
        """
        common = set.intersection(
            *(each.carriers_of(part_id) for each in crashes)
        )
        return not all(self._is_sound(identity, first_s) for identity in common)


def _is_enough_for_any(crashes: Iterable[Crash], now_s: float) -> bool:
    """Return whether crashes prove one of several parts that were in all."""
    times_s = sorted(crash.at_s for crash in crashes)
    if len(times_s) < PROVEN_CRASHES_IF_ANSWERED:
        return False
    return now_s - times_s[PROVEN_CRASHES_IF_ANSWERED - 1] >= ANSWERS_KNOWN_S
