"""Targets that this instance must not use though owners may grant them.

Owners do not know which targets have turned another instance away, and learn
an order to evacuate a data centre at another time.
"""

from dandelionplank.fleet.registry import TargetRegistry
from dandelionplank.routing.load import TargetLoad
from dandelionplank.targets import Target


class AvoidedTargets:
    """Targets that tickets name as those to avoid: pure state, no I/O."""

    def __init__(self, registry: TargetRegistry) -> None:
        """Hold the registry of all targets; none is avoided at first."""
        self.registry = registry
        self.closed: dict[str, TargetLoad] = {}
        self.excluded: dict[str, Target] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of the targets to avoid."""
        return (*self.closed, *self.excluded)

    def record_closed(self, load: TargetLoad) -> None:
        """Record that a target has turned this instance away."""
        self.closed[load.target.name] = load
        if load.availability.is_leaving:
            self.registry.record_leaving(load.target)

    def record_excluded(self, target: Target) -> None:
        """Record that a target was granted against an order.

        Only these are named in tickets: a list of all targets of a data centre
        would not fit.
        """
        self.excluded[target.name] = target

    def renew(self, now_s: float) -> None:
        """Forget the targets that may be used again or are listed no more."""
        listed = self.registry.targets
        self.closed = {
            name: load
            for name, load in self.closed.items()
            if name in listed and not load.availability.is_open(now_s)
        }
        self.excluded = {
            name: target
            for name, target in self.excluded.items()
            if name in listed and self.registry.is_excluded(target)
        }
