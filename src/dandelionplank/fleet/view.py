"""An instance's view of the configuration, the targets and its peers."""

import math
from collections.abc import Callable

from dandelionplank.events import Event
from dandelionplank.fleet.changes import ChangeLog, StoreRevision
from dandelionplank.fleet.clock import boot_time_s
from dandelionplank.fleet.evacuations import Evacuations
from dandelionplank.fleet.evidence import ConfigurationRecord, VersionEvidence
from dandelionplank.fleet.registry import TargetRegistry
from dandelionplank.logs import log_event
from dandelionplank.routing.routes import RouteTable
from dandelionplank.targets import Target

# Age of the view, as a share of revoked_after_s, from which keyed requests are
# refused.
KEY_AGE_SHARE = 0.8
# Age of the view from which no route or key is refused as unknown.
DENIAL_AGE_S = 2.5
# Age of the view, as a share of revoked_after_s, beyond which an instance is
# not ready if a peer's view is newer.
READY_AGE_SHARE = 0.5
# Age given in reports and logs for a view that was never confirmed.
UNCONFIRMED_AGE_S = 1_000_000.0
# Instances not listed any more whose last addresses are remembered.
MAX_FORMER_PEERS = 256
# Bound on the time after which the evacuation of a data centre is in force.
EVACUATED_AFTER_S = 5.0

TableListener = Callable[[RouteTable], None]
# Takes each entry of a target and the monotonic time at which it is read,
# whether it has changed or not.
EntryListener = Callable[[Target, float], None]
# Takes a part, the age of its first crash and the time left, in seconds.
QuarantineListener = Callable[[str, float, float], None]
# Takes the name of a data centre.
DataCenterListener = Callable[[str], None]


class FleetView:
    """Holds the configuration, the targets and the time of confirmation."""

    def __init__(self, revoked_after_s: float) -> None:
        """Hold the configuration and the targets, at first none.

        :param revoked_after_s: a revoked key is refused after this time
        """
        self.revoked_after_s = revoked_after_s
        self.table: RouteTable | None = None
        self.registry = TargetRegistry()
        self.peers: dict[str, str] = {}
        self.former_peers: dict[str, str] = {}
        self.revision: StoreRevision | None = None
        self.changes = ChangeLog()
        self.confirmed_s = -math.inf
        self.evidence = VersionEvidence()
        self.has_targets = False
        self.listeners: list[TableListener] = []
        self.entry_listeners: list[EntryListener] = []
        self.quarantine_listeners: list[QuarantineListener] = []
        self.restoration_listeners: list[Callable[[], None]] = []
        self.evacuations = Evacuations()
        self.exclusion_listeners: list[Callable[[], None]] = []
        self.data_center_restored_listeners: list[DataCenterListener] = []

    @property
    def change_bound_s(self) -> float:
        """Return the time within which every change must be known here."""
        return min(self.revoked_after_s, EVACUATED_AFTER_S)

    @property
    def age_s(self) -> float:
        """Return the seconds since the view was last confirmed."""
        return boot_time_s() - self.confirmed_s

    @property
    def capped_age_s(self) -> float:
        """Return the age for reports and logs, finite even if unconfirmed."""
        return min(self.age_s, UNCONFIRMED_AGE_S)

    @property
    def is_loaded(self) -> bool:
        """Return whether configuration and targets have been loaded."""
        return self.table is not None and self.has_targets

    @property
    def version(self) -> int:
        """Return the version of the configuration, zero for none."""
        return self.table.version if self.table else 0

    @property
    def may_admit_keys(self) -> bool:
        """Return whether the view is recent enough to accept keys."""
        return self.age_s < self.revoked_after_s * KEY_AGE_SHARE

    @property
    def may_reject_unknown(self) -> bool:
        """Return whether a route or key may be refused as unknown."""
        return self.age_s < DENIAL_AGE_S and not self.is_behind

    @property
    def is_behind(self) -> bool:
        """Return whether another instance has a newer configuration.

        A store that was restored from an older copy may lack it for a while.
        """
        return self.evidence.is_behind(self.version, boot_time_s())

    @property
    def is_stale(self) -> bool:
        """Return whether another instance may have a newer view."""
        return self.age_s > self.revoked_after_s * READY_AGE_SHARE

    def confirm(self, queried_at_s: float) -> None:
        """Record that the view was current at the time of a query.

        No response of the store confirms it while another instance has a newer
        configuration, or while a restored store may lack one.
        """
        if self.is_behind:
            return
        if self.evidence.is_recorded(self.version):
            self.end_doubt('recorded')
        if self.evidence.is_doubtful(boot_time_s()):
            self.evidence.doubt(queried_at_s)
            return
        self.end_doubt('not written again')
        self.evidence.failed_age_s = None
        self.confirmed_s = max(self.confirmed_s, queried_at_s)

    def enter_era(self, era: int) -> None:
        """Record the era of the store in a listing, before its documents."""
        self.evidence.begin_listing()
        now_s = boot_time_s()
        before = self.evidence.era
        is_doubtful = self.evidence.enter_era(
            era,
            self.confirmed_s,
            now_s,
            is_followed=self.may_admit_keys
            and self.evidence.is_followed(
                self.age_s, self.revoked_after_s * READY_AGE_SHARE
            ),
        )
        if is_doubtful:
            log_event(
                Event.VIEW_DOUBTED,
                era=era,
                before=before,
                version=self.version,
                view_age_s=round(self.capped_age_s, 2),
            )

    def end_doubt(self, why: str) -> None:
        """Rely on the configuration of a restored store.

        :param why: what shows that no newer one was lost, for the log
        """
        if not self.evidence.is_doubt_open:
            return
        confirmed_s = self.evidence.end_doubt()
        log_event(Event.VIEW_TRUSTED, why=why, version=self.version)
        if not self.is_behind:
            self.confirmed_s = max(self.confirmed_s, confirmed_s)

    def record_stored(self, version: int, *, is_listed: bool) -> None:
        """Record the version that the store holds.

        :param is_listed: it was read in a listing, so that it may be that of an
            older copy; else the operator has just written it
        """
        self.evidence.stored_version = version
        if not is_listed:
            self.evidence.is_written = True
            self.end_doubt('written again')

    def learn_version(self, version: int) -> None:
        """Record a version that is in force elsewhere.

        If a restored store has lost it, what the store has confirmed since does
        not count.
        """
        now_s = boot_time_s()
        is_newer = self.evidence.learn(version, now_s)
        if is_newer and self.is_behind and self.evidence.may_have_lost(now_s):
            self.confirmed_s = min(self.confirmed_s, self.evidence.relied_s)

    def learn_report(self, sender: str, version: int, age_s: float) -> None:
        """Record what another instance reports of its view.

        :param age_s: time since its view was confirmed
        """
        self.learn_version(version)
        is_relied_on = age_s < self.revoked_after_s * KEY_AGE_SHARE
        if is_relied_on and self.table and version == self.version:
            self.end_doubt(sender)

    def apply_record(self, record: ConfigurationRecord, revision: int) -> None:
        """Apply the store's record of the version in an era.

        :param revision: number of the change that wrote it
        """
        self.evidence.record = record
        self.evidence.record_revision = revision
        self.learn_version(record.version)
        if self.evidence.is_recorded(self.version):
            self.end_doubt('recorded')

    @property
    def due_record(self) -> ConfigurationRecord | None:
        """Return the record that a restored store lacks, if this view is sure.

        The version is recorded if the store has lost it; any other one is in
        the store itself.
        """
        if self.is_behind or not self.may_admit_keys or not self.table:
            return None
        return self.evidence.due_record(self.version)

    def configure(self, table: RouteTable) -> None:
        """Apply a configuration if its version is newer."""
        known = self.table
        if known and table.version <= known.version:
            return
        log_event(
            Event.CONFIGURED,
            version=table.version,
            before=known.version if known else 0,
            routes=sum(len(routes) for routes in table.by_host.values()),
            keys=None if table.accounts is None else len(table.accounts),
        )
        self.table = table
        for listener in self.listeners:
            listener(table)

    def remove_peer(self, name: str) -> None:
        """Remove an instance; its last address stays known for a while."""
        address = self.peers.pop(name, None)
        if address is None:
            return
        self.former_peers.pop(name, None)
        self.former_peers[name] = address
        if len(self.former_peers) > MAX_FORMER_PEERS:
            self.former_peers.pop(next(iter(self.former_peers)))

    @property
    def excluded_targets(self) -> int:
        """Return the number of targets in evacuated data centres."""
        return sum(self.registry.excluded_by_service.values())

    def evacuate(self, data_center: str, revision: int) -> None:
        """Give no more work to the targets of a data centre.

        :param revision: revision of the store that set the order
        """
        if not self.evacuations.order(data_center, revision):
            return
        self._exclude()
        log_event(
            Event.DATA_CENTER_EVACUATED,
            data_center=data_center,
            revision=revision,
            targets=sum(
                target.data_center == data_center
                for target in self.registry.targets.values()
            ),
            services_without_targets=[
                service
                for service in sorted(self.registry.excluded_by_service)
                if self.registry.is_withdrawn(service)
            ],
        )

    def restore(self, data_center: str, why: str) -> None:
        """Use the targets of a data centre again.

        :param why: cause, for the log
        """
        if not self.evacuations.end(data_center):
            return
        self._exclude()
        log_event(
            Event.DATA_CENTER_RESTORED,
            data_center=data_center,
            why=why,
        )
        for listener in self.data_center_restored_listeners:
            listener(data_center)

    def targets_of(self, service: str) -> tuple[Target, ...]:
        """Return the targets of a service that may be given work."""
        return self.registry.of_service(service)

    def versions_of(self, service: str) -> set[str]:
        """Return the software versions of these targets."""
        return {target.version for target in self.targets_of(service)}

    def _exclude(self) -> None:
        """Apply the evacuations in force to the registry."""
        self.registry.exclude(frozenset(self.evacuations.orders))
        for listener in self.exclusion_listeners:
            listener()
