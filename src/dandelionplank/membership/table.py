"""Which instances are alive: suspicion, incarnations and their merge.

The scheme is SWIM's: an instance that does not answer direct and indirect
probes is suspected, then taken as failed; it refutes a suspicion by raising
its incarnation. The table decides only who plays which role, so two tables
that differ cost quality and never safety.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

import msgspec

from dandelionplank.instances import Instance, InstanceStatus

UPDATES_PER_PROBE = 8
SPREAD_FACTOR = 3
FORGET_DEAD_S = 60.0


@dataclasses.dataclass(frozen=True)
class StatusChange:
    """An instance whose status has changed in this table."""

    instance: Instance


@dataclasses.dataclass
class Rumour:
    """An update and how often it is still to be passed on."""

    instance: Instance
    remaining: int


class MemberTable:
    """What one instance believes of the others.

    :param own: the instance that keeps the table
    """

    def __init__(self, own: Instance, suspicion_s: float) -> None:
        """Start knowing only oneself."""
        self.own = own
        self.suspicion_s = suspicion_s
        self.members: dict[str, Instance] = {own.id: own}
        self.changed_at_s: dict[str, float] = {}
        self.rumours: dict[str, Rumour] = {}
        self.probe_order: list[str] = []

    @property
    def present(self) -> tuple[str, ...]:
        """Ids of instances that may play a role, this one included."""
        return tuple(
            name for name, each in self.members.items() if each.is_present
        )

    @property
    def peers(self) -> tuple[str, ...]:
        """Ids of the other instances that may play a role."""
        return tuple(name for name in self.present if name != self.own.id)

    def seed(
        self,
        listed: Iterable[Instance],
        now_s: float,
    ) -> list[StatusChange]:
        """Add instances of the platform's list that are not known yet."""
        unknown = [each for each in listed if each.id not in self.members]
        return self.merge(unknown, now_s)

    def merge(
        self,
        updates: Iterable[Instance],
        now_s: float,
    ) -> list[StatusChange]:
        """Take in what others believe; the newer belief wins.

        :param updates: instances with incarnation and status
        :param now_s: monotonic time
        :return: instances whose status changed here
        """
        changes = []
        for update in updates:
            if update.id == self.own.id:
                self._refute(update)
                continue
            change = self._merge_one(update, now_s)
            if change:
                changes.append(change)
        return changes

    def suspect(self, name: str, now_s: float) -> list[StatusChange]:
        """Note that an instance did not answer any probe."""
        member = self.members.get(name)
        if member is None or member.status is not InstanceStatus.ALIVE:
            return []
        return self.merge(
            (_with_status(member, InstanceStatus.SUSPECT),), now_s
        )

    def confirm(self, sender: Instance, now_s: float) -> list[StatusChange]:
        """Note that an instance has spoken; a suspicion here is dropped."""
        present = self.members.get(sender.id)
        if (
            present is not None
            and present.incarnation == sender.incarnation
            and present.status is InstanceStatus.SUSPECT
        ):
            self._store(_with_status(present, InstanceStatus.ALIVE), now_s)
        return self.merge((sender,), now_s)

    def expire(self, now_s: float) -> list[StatusChange]:
        """Take suspects as failed after the suspicion period."""
        changes = []
        for name, member in tuple(self.members.items()):
            age_s = now_s - self.changed_at_s.get(name, now_s)
            if member.status is InstanceStatus.SUSPECT:
                if age_s >= self.suspicion_s:
                    dead = _with_status(member, InstanceStatus.DEAD)
                    changes.extend(self.merge((dead,), now_s))
            elif not member.is_present and age_s >= FORGET_DEAD_S:
                self.members.pop(name)
                self.changed_at_s.pop(name, None)
        return changes

    def leave(self) -> Instance:
        """Mark this instance as leaving and return the update to spread."""
        self.own = _with_status(self.own, InstanceStatus.LEFT)
        self.members[self.own.id] = self.own
        self._spread(self.own)
        return self.own

    def next_probe(self, rng: random.Random) -> str:
        """Return the next peer to probe, each once a round, or nothing."""
        peers = set(self.peers)
        while self.probe_order:
            name = self.probe_order.pop()
            if name in peers:
                return name
        self.probe_order = sorted(peers)
        rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else ''

    def take_updates(self) -> tuple[Instance, ...]:
        """Return the updates to send with the next message."""
        chosen = sorted(
            self.rumours.values(),
            key=lambda rumour: -rumour.remaining,
        )[:UPDATES_PER_PROBE]
        for rumour in chosen:
            rumour.remaining -= 1
            if rumour.remaining <= 0:
                self.rumours.pop(rumour.instance.id, None)
        return tuple(each.instance for each in chosen)

    def _merge_one(
        self,
        update: Instance,
        now_s: float,
    ) -> StatusChange | None:
        """Take in one update if it is newer than what is known."""
        present = self.members.get(update.id)
        if present is not None and _rank(update) <= _rank(present):
            return None
        if present is None and not update.is_present:
            return None
        self._store(update, now_s)
        self._spread(update)
        if present is not None and (
            present.status is update.status
            and present.incarnation == update.incarnation
        ):
            return None
        return StatusChange(update)

    def _refute(self, update: Instance) -> None:
        """Raise the own incarnation above a false belief of others."""
        if self.own.status is InstanceStatus.LEFT or update.status is (
            InstanceStatus.ALIVE
        ):
            return
        if update.incarnation < self.own.incarnation:
            return
        self.own = msgspec.structs.replace(
            self.own,
            incarnation=update.incarnation + 1,
        )
        self.members[self.own.id] = self.own
        self._spread(self.own)

    def _store(self, update: Instance, now_s: float) -> None:
        """Replace what is known of an instance."""
        self.members[update.id] = update
        self.changed_at_s[update.id] = now_s

    def _spread(self, update: Instance) -> None:
        """Pass an update on with the next messages."""
        rounds = math.ceil(math.log2(len(self.members) + 1))
        self.rumours[update.id] = Rumour(update, SPREAD_FACTOR * rounds)


def _rank(member: Instance) -> tuple[int, int]:
    """Order beliefs about one instance."""
    return (member.incarnation, member.status)


def _with_status(member: Instance, status: InstanceStatus) -> Instance:
    """Return an instance with another status."""
    return msgspec.structs.replace(member, status=status)
