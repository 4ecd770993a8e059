"""Targets as the store lists them: pure state, no I/O and no clock.

Answers to engines that drain, return under an old id, or vanish from the
list because their leases lapsed while the store was away.
"""

from collections.abc import Iterable

from dandelionplank.targets import Target, TargetState

# The platform lists live targets again within this time of its return.
RETURN_GRACE_S = 2.0


class TargetRegistry:
    """Keeps the targets that may be given work."""

    def __init__(self) -> None:
        """Start without targets."""
        self.targets: dict[str, Target] = {}
        self.retired: dict[str, int] = {}
        self.missing_until_s: dict[str, float] = {}
        self.by_service: dict[str, tuple[Target, ...]] = {}

    def put(self, target: Target) -> bool:
        """Take in a target's entry.

        Draining is final for one start of a target: an entry that says
        otherwise afterwards is older than what is known.

        :return: whether what is known has changed
        """
        self.missing_until_s.pop(target.name, None)
        known = self.targets.get(target.name)
        if known and target.started_ms < known.started_ms:
            return False
        if self.retired.get(target.name) == target.started_ms:
            return False
        if target.state is TargetState.DRAINING:
            self.retired[target.name] = target.started_ms
            return self.remove(target.name)
        if known == target:
            return False
        self.targets[target.name] = target
        self._index()
        return True

    def remove(self, name: str) -> bool:
        """Drop a target; tell whether it was known."""
        self.missing_until_s.pop(name, None)
        if self.targets.pop(name, None) is None:
            return False
        self._index()
        return True

    def miss(self, name: str, until_s: float) -> None:
        """Keep a target that is not listed until a time.

        :param until_s: monotonic time after which it counts as gone
        """
        if name in self.targets:
            self.missing_until_s.setdefault(name, until_s)

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Drop the targets that were not listed again in time."""
        gone = tuple(
            name
            for name, until_s in self.missing_until_s.items()
            if until_s <= now_s
        )
        for name in gone:
            self.remove(name)
        return gone

    def of_service(self, service: str) -> tuple[Target, ...]:
        """Return a service's targets in the order of their names."""
        return self.by_service.get(service, ())

    def _index(self) -> None:
        """Sort the targets by service again."""
        found: dict[str, list[Target]] = {}
        for target in _by_name(self.targets.values()):
            found.setdefault(target.service, []).append(target)
        self.by_service = {
            service: tuple(targets) for service, targets in found.items()
        }


def _by_name(targets: Iterable[Target]) -> list[Target]:
    """Order targets by name."""
    return sorted(targets, key=_name_of)


def _name_of(target: Target) -> str:
    """Return a target's name."""
    return target.name
