"""What this instance knows of configuration, targets and peers."""

import math
from collections.abc import Callable

from dandelionplank.events import Event
from dandelionplank.fleet.clock import boot_time_s
from dandelionplank.fleet.registry import TargetRegistry
from dandelionplank.logs import log_event
from dandelionplank.routing.routes import RouteTable
from dandelionplank.targets import Target

# Part of the bound on revoked keys at which keyed requests are refused.
KEY_AGE_SHARE = 0.8
# A refusal of a route or key needs a view that is not older than this.
DENIAL_AGE_S = 2.5
# Beyond this age an instance asks to be left out, if others know more.
READY_AGE_SHARE = 0.5
# Stands for the age of a view that was never proven, in reports and logs.
UNPROVEN_AGE_S = 1_000_000.0

TableListener = Callable[[RouteTable], None]


class FleetView:
    """Holds one configuration and the targets, with the age of the proof."""

    def __init__(self, revoked_after_s: float) -> None:
        """Start knowing nothing.

        :param revoked_after_s: a revoked key is refused after this time
        """
        self.revoked_after_s = revoked_after_s
        self.table: RouteTable | None = None
        self.registry = TargetRegistry()
        self.peers: dict[str, str] = {}
        self.revision: int | None = None
        self.proven_s = -math.inf
        self.has_targets = False
        self.listeners: list[TableListener] = []

    @property
    def age_s(self) -> float:
        """Seconds since the view was certainly current."""
        return boot_time_s() - self.proven_s

    @property
    def known_age_s(self) -> float:
        """Age for reports and log lines, bounded if nothing is proven."""
        return min(self.age_s, UNPROVEN_AGE_S)

    @property
    def is_known(self) -> bool:
        """Whether there are a configuration and targets."""
        return self.table is not None and self.has_targets

    @property
    def may_admit_keys(self) -> bool:
        """Whether no key can have been revoked long ago unnoticed."""
        return self.age_s < self.revoked_after_s * KEY_AGE_SHARE

    @property
    def may_deny(self) -> bool:
        """Whether an unknown route or key may be told so."""
        return self.age_s < DENIAL_AGE_S

    @property
    def is_stale(self) -> bool:
        """Whether another instance may know more."""
        return self.age_s > self.revoked_after_s * READY_AGE_SHARE

    def prove(self, asked_s: float) -> None:
        """Note that the view was current when the store was asked."""
        self.proven_s = max(self.proven_s, asked_s)

    def configure(self, table: RouteTable) -> None:
        """Put a newer configuration in force; an older one is ignored."""
        known = self.table
        if known and table.version <= known.version:
            return
        log_event(
            Event.CONFIGURED,
            version=table.version,
            before=known.version if known else 0,
            routes=sum(len(routes) for routes in table.by_host.values()),
            keys=len(table.accounts),
        )
        self.table = table
        for listener in self.listeners:
            listener(table)

    def targets_of(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that may be given work."""
        return self.registry.of_service(service)
