"""Membership table: which instances are alive.

Implements SWIM: an instance that does not respond to direct and indirect
probes is suspected, then declared dead; it refutes a suspicion by raising its
incarnation. The table only decides which instance has which role, so two
tables that differ reduce scheduling quality but do not affect safety.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

import msgspec

from dandelionplank.instances import Instance, InstanceStatus

UPDATES_PER_PROBE = 8
RETRANSMIT_FACTOR = 3
DEAD_RETENTION_S = 60.0


@dataclasses.dataclass(frozen=True)
class StatusChange:
    """An instance whose status has changed in the table."""

    instance: Instance


@dataclasses.dataclass
class PendingUpdate:
    """An update and the number of messages that still carry it."""

    instance: Instance
    remaining: int


class MemberTable:
    """One instance's view of the fleet.

    :param own: the instance that owns the table
    :param suspicion_s: time after which a suspect is declared dead
    """

    def __init__(self, own: Instance, suspicion_s: float) -> None:
        """Hold the members by id, at first only the own instance."""
        self.own = own
        self.suspicion_s = suspicion_s
        self.members: dict[str, Instance] = {own.id: own}
        self.changed_at_s: dict[str, float] = {}
        self.pending_updates: dict[str, PendingUpdate] = {}
        self.probe_order: list[str] = []

    @property
    def present(self) -> tuple[str, ...]:
        """Ids of alive and suspected instances, including this one."""
        return tuple(
            name for name, each in self.members.items() if each.is_present
        )

    @property
    def peers(self) -> tuple[str, ...]:
        """Ids of the other alive and suspected instances."""
        return tuple(name for name in self.present if name != self.own.id)

    def seed(
        self,
        listed: Iterable[Instance],
        now_s: float,
    ) -> list[StatusChange]:
        """Add unknown instances from the platform's list."""
        unknown = [each for each in listed if each.id not in self.members]
        return self.merge(unknown, now_s)

    def merge(
        self,
        updates: Iterable[Instance],
        now_s: float,
    ) -> list[StatusChange]:
        """Merge updates of other instances; the newer status wins.

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
        """Suspect an instance that responded to no probe."""
        member = self.members.get(name)
        if member is None or member.status is not InstanceStatus.ALIVE:
            return []
        return self.merge(
            (_with_status(member, InstanceStatus.SUSPECT),), now_s
        )

    def record_alive(
        self, sender: Instance, now_s: float
    ) -> list[StatusChange]:
        """Record a message from an instance and drop a local suspicion."""
        current = self.members.get(sender.id)
        if (
            current is not None
            and current.incarnation == sender.incarnation
            and current.status is InstanceStatus.SUSPECT
        ):
            self._store(_with_status(current, InstanceStatus.ALIVE), now_s)
        return self.merge((sender,), now_s)

    def expire(self, now_s: float) -> list[StatusChange]:
        """Declare long-suspected instances dead and drop old entries."""
        changes = []
        for name, member in tuple(self.members.items()):
            age_s = now_s - self.changed_at_s.get(name, now_s)
            if member.status is InstanceStatus.SUSPECT:
                if age_s >= self.suspicion_s:
                    dead = _with_status(member, InstanceStatus.DEAD)
                    changes.extend(self.merge((dead,), now_s))
            elif not member.is_present and age_s >= DEAD_RETENTION_S:
                self.members.pop(name)
                self.changed_at_s.pop(name, None)
        return changes

    def leave(self) -> Instance:
        """Mark this instance as having left and return the update to send."""
        self.own = _with_status(self.own, InstanceStatus.LEFT)
        self.members[self.own.id] = self.own
        self._queue_update(self.own)
        return self.own

    def next_probe(self, rng: random.Random) -> str:
        """Return the next peer to probe, each once per shuffled round.

        :return: the peer's id, empty if there are no peers
        """
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
            self.pending_updates.values(),
            key=lambda pending: -pending.remaining,
        )[:UPDATES_PER_PROBE]
        for pending in chosen:
            pending.remaining -= 1
            if pending.remaining <= 0:
                self.pending_updates.pop(pending.instance.id, None)
        return tuple(each.instance for each in chosen)

    def _merge_one(
        self,
        update: Instance,
        now_s: float,
    ) -> StatusChange | None:
        """Merge one update if it is newer than the table's entry."""
        current = self.members.get(update.id)
        if current is not None and _rank(update) <= _rank(current):
            return None
        if current is None and not update.is_present:
            return None
        self._store(update, now_s)
        self._queue_update(update)
        if current is not None and (
            current.status is update.status
            and current.incarnation == update.incarnation
        ):
            return None
        return StatusChange(update)

    def _refute(self, update: Instance) -> None:
        """Refute a false report on this instance by raising its incarnation."""
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
        self._queue_update(self.own)

    def _store(self, update: Instance, now_s: float) -> None:
        """Replace an instance's entry and record the time of change."""
        self.members[update.id] = update
        self.changed_at_s[update.id] = now_s

    def _queue_update(self, update: Instance) -> None:
        """Queue an update for the next messages."""
        rounds = math.ceil(math.log2(len(self.members) + 1))
        self.pending_updates[update.id] = PendingUpdate(
            update, RETRANSMIT_FACTOR * rounds
        )


def _rank(member: Instance) -> tuple[int, int]:
    """Return the precedence of an update: incarnation, then status."""
    return (member.incarnation, member.status)


def _with_status(member: Instance, status: InstanceStatus) -> Instance:
    """Return a copy of an instance with another status."""
    return msgspec.structs.replace(member, status=status)
