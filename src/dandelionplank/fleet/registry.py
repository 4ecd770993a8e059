"""Targets as the store lists them: pure state, no I/O and no clock.

Designed for targets that drain, restart under the same id, or disappear from
the list because their leases expired during an outage of the store. A store
that was restored from an older copy lists targets that have left, too.
"""

from collections import Counter
from collections.abc import Iterable, Set

import msgspec

from dandelionplank.targets import Target, TargetState

# Time after an outage within which the platform lists live targets again.
RELISTING_GRACE_S = 2.0
# Number of targets that have left which are remembered.
MAX_LEFT_TARGETS = 4096


class TargetRegistry:
    """Targets that may be given work."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self.targets: dict[str, Target] = {}
        self.drained_incarnations: dict[str, int] = {}
        self.left_incarnations: dict[str, int] = {}
        self.remove_at_s: dict[str, float] = {}
        self.by_service: dict[str, tuple[Target, ...]] = {}
        self.excluded_data_centers: Set[str] = frozenset()
        self.excluded_by_service: dict[str, int] = {}

    def put(self, target: Target) -> bool:
        """Apply a target's stored record.

        Draining is final for one incarnation: a record of it that arrives
        afterwards with another state is outdated.

        :return: whether the registry has changed
        """
        self.remove_at_s.pop(target.name, None)
        known = self.targets.get(target.name)
        if known and target.started_ms < known.started_ms:
            return False
        if target.state is TargetState.DRAINING:
            self.drained_incarnations[target.name] = target.started_ms
            return self.remove(target.name)
        if self.drained_incarnations.get(target.name) == target.started_ms:
            return False
        # How long a target stays cold changes with each entry, the target does
        # not.
        listed = target
        if target.cold_left_s is not None:
            listed = msgspec.structs.replace(target, cold_left_s=None)
        if known == listed:
            return False
        self.targets[target.name] = listed
        self._index()
        return True

    def record_leaving(self, target: Target) -> None:
        """Ignore later records of a target that is leaving.

        It stays until the store removes it or lists it as draining.
        """
        self.drained_incarnations[target.name] = target.started_ms

    def remove(self, name: str) -> bool:
        """Remove a target; return whether it was known."""
        self.remove_at_s.pop(name, None)
        removed = self.targets.pop(name, None)
        if removed is None:
            return False
        self._record_left(removed)
        self._index()
        return True

    def exclude(self, data_centers: Set[str]) -> None:
        """Give no work to the targets of some data centres, only to others.

        They stay registered, with their connections and running requests.
        """
        self.excluded_data_centers = data_centers
        self._index()

    def is_excluded(self, target: Target) -> bool:
        """Return whether a target is in an excluded data centre.

        The latest entry of the target counts, as it may have moved.
        """
        latest = self.targets.get(target.name, target)
        return latest.data_center in self.excluded_data_centers

    def is_withdrawn(self, service: str) -> bool:
        """Return whether a service has targets, all of them excluded."""
        return (
            service in self.excluded_by_service
            and service not in self.by_service
        )

    def has_left(self, target: Target) -> bool:
        """Return whether this start of a target has been removed."""
        return self.left_incarnations.get(target.name) == target.started_ms

    def mark_missing(self, name: str, until_s: float) -> None:
        """Keep an unlisted target until a given time.

        :param until_s: monotonic time at which it is removed
        """
        if name in self.targets:
            self.remove_at_s.setdefault(name, until_s)

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Remove and return the targets that were not listed again in time."""
        expired = tuple(
            name
            for name, until_s in self.remove_at_s.items()
            if until_s <= now_s
        )
        for name in expired:
            self.remove(name)
        return expired

    def of_service(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that may be given work, by name."""
        return self.by_service.get(service, ())

    def _record_left(self, target: Target) -> None:
        """Remember a target that has left."""
        self.left_incarnations.pop(target.name, None)
        self.left_incarnations[target.name] = target.started_ms
        if len(self.left_incarnations) > MAX_LEFT_TARGETS:
            self.left_incarnations.pop(next(iter(self.left_incarnations)))

    def _index(self) -> None:
        """Rebuild the index of targets by service."""
        found: dict[str, list[Target]] = {}
        excluded: Counter[str] = Counter()
        for target in _by_name(self.targets.values()):
            if target.data_center in self.excluded_data_centers:
                excluded[target.service] += 1
            else:
                found.setdefault(target.service, []).append(target)
        self.excluded_by_service = dict(excluded)
        self.by_service = {
            service: tuple(targets) for service, targets in found.items()
        }


def _by_name(targets: Iterable[Target]) -> list[Target]:
    """Return targets sorted by name."""
    return sorted(targets, key=_name_of)


def _name_of(target: Target) -> str:
    """Return a target's name."""
    return target.name
