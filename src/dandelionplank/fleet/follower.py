"""Task that keeps the view of configuration, targets and peers current."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Protocol

from dandelionplank.errors import StoreConflictError, StoreError
from dandelionplank.events import Event
from dandelionplank.fleet.changes import StoredChange, StoreRevision
from dandelionplank.fleet.clock import boot_time_s
from dandelionplank.fleet.confirmation import (
    CONFIRMED_AGE_SHARE,
    QUERY_PERIOD_S,
    ConfirmationLog,
    ViewConfirmer,
    ViewResponse,
)
from dandelionplank.fleet.evidence import ConfigurationRecord
from dandelionplank.fleet.registry import RELISTING_GRACE_S
from dandelionplank.fleet.view import FleetView
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.routes import RouteTable
from dandelionplank.routing.streamversions import StreamRecord
from dandelionplank.targets import Target

# Minimum time between the starts of two watches. Targets that start together
# change the store one by one; reading each change separately would cost one
# call per change and instance.
WATCH_PERIOD_S = 0.5
PAUSE_STEP_S = 0.05
MAX_PAUSE_S = 0.5
EXPIRY_PERIOD_S = 0.1
# Maximum wait for a report of another instance before the first use of a view,
# which shows whether the store was restored without the latest configuration.
PEER_REPORT_WAIT_S = 1.0
PEER_REPORT_POLL_S = 0.01
# Reports that a target may miss before the platform drops its entry.
MISSED_REPORTS = 2


# Takes the name of an instance and its record, None if it was removed.
StreamListener = Callable[[str, StreamRecord | None], None]


class ChangeSink(Protocol):
    """Receives changes of the store from the platform's adapter."""

    def listing_began(self, revision: StoreRevision) -> None:
        """Record the revision of the documents that follow."""

    def changed(self, change: StoredChange) -> None:
        """Record a change before it is decoded."""

    def configured(self, table: RouteTable) -> None:
        """Apply a configuration."""

    def configuration_recorded(
        self, record: ConfigurationRecord, revision: int
    ) -> None:
        """Apply the record of the version that was current in an era.

        :param revision: number of the change that wrote it
        """

    def target_listed(self, target: Target) -> None:
        """Add or update a target."""

    def target_removed(self, name: str) -> None:
        """Record that a target's entry was removed."""

    def peer_listed(self, name: str, address: str) -> None:
        """Record another instance's address."""

    def peer_removed(self, name: str) -> None:
        """Record that another instance's entry was removed."""

    def data_center_evacuated(self, name: str, revision: int) -> None:
        """Record that nothing may be sent to the targets of a data centre.

        :param revision: number of the change that set the order
        """

    def data_center_restored(self, name: str) -> None:
        """Record that the targets of a data centre may be used again."""

    def streams_recorded(
        self, instance: str, record: StreamRecord | None
    ) -> None:
        """Record the open streams of another instance, none if removed."""

    def part_quarantined(
        self, part_id: str, age_s: float, left_s: float
    ) -> None:
        """Record a quarantined part of prompts.

        :param age_s: time since the first crash that it explains
        :param left_s: time until the quarantine ends
        """


class ChangeSource(Protocol):
    """Reads the store's documents; implemented by the platform's adapter."""

    async def resync(
        self, sink: ChangeSink
    ) -> tuple[frozenset[str], StoreRevision]:
        """Read all documents.

        :return: names of the targets that are listed, and the revision
        :raises StoreError: the store did not respond
        """

    async def follow(
        self,
        sink: ChangeSink,
        revision: StoreRevision,
        wait_s: float,
    ) -> StoreRevision | None:
        """Wait for changes after a revision.

        :return: the revision reached, none if a resync is needed because the
            store has dropped its history or was restored
        :raises StoreError: the store did not respond
        """

    async def record_configuration(
        self, record: ConfigurationRecord, revision: int
    ) -> None:
        """Write the record of the configuration in force in an era.

        :param revision: number of its last change, zero if there is none
        :raises StoreConflictError: it has changed since
        :raises StoreError: it may not have been written
        """

    def apply(self, change: StoredChange, sink: ChangeSink) -> None:
        """Decode a change that another instance has passed on."""


class StoreFollower:
    """Applies changes of the store to the view and confirms its age."""

    def __init__(
        self,
        view: FleetView,
        source: ChangeSource,
        target_report_s: float,
        on_targets_removed: Callable[[tuple[str, ...]], None],
        confirmer: ViewConfirmer,
    ) -> None:
        """Hold the source of changes and the view that it updates.

        :param target_report_s: period at which targets renew their entries
        :param on_targets_removed: called with the names of removed targets
        :param confirmer: queries other instances whether the view is current
        """
        self.view = view
        self.source = source
        self.entry_lapse_s = target_report_s * MISSED_REPORTS
        self.on_targets_removed = on_targets_removed
        self.confirmer = confirmer
        self.confirmations = ConfirmationLog(confirmer.watcher_role)
        self.last_response_s = time.monotonic()
        self.store_back_s = float('-inf')
        self.failures = 0
        self.batch: list[StoredChange] = []
        self.stream_listeners: list[StreamListener] = []
        # Documents are being applied that may be older than known ones.
        self.is_older_copy = False

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if await self._confirm_with_watchers():
                await asyncio.sleep(QUERY_PERIOD_S)
            else:
                await self._watch()

    async def run_expiry(self) -> None:
        """Drop targets that were not listed again within the grace."""
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            expired = self.view.registry.expire(time.monotonic())
            if expired:
                self._drop_targets(expired, 'not listed again')

    def listing_began(self, revision: StoreRevision) -> None:
        """Record whether the store was restored since the last listing.

        Targets may need some time to list themselves again.
        """
        self.view.evacuations.begin_listing()
        before = self.view.evidence.era
        self.view.enter_era(revision.era)
        self.is_older_copy = before not in {None, revision.era}
        if self.is_older_copy:
            self.store_back_s = time.monotonic()
            log_event(
                Event.STORE_RESTORED,
                era=revision.era,
                before=before,
                revision=revision.number,
            )
            for listener in self.view.restoration_listeners:
                listener()

    def changed(self, change: StoredChange) -> None:
        """Record a change for the instances that query this one."""
        self.batch.append(change)

    def configured(self, table: RouteTable) -> None:
        """Apply a configuration.

        One that is listed may be an older one of a restored store's copy; one
        that changes after the listing was written since.
        """
        self.view.configure(table)
        self.view.record_stored(
            table.version, is_listed=self.view.revision is None
        )

    def configuration_recorded(
        self, record: ConfigurationRecord, revision: int
    ) -> None:
        """Apply the record of the version that was current in an era."""
        self.view.apply_record(record, revision)

    def target_listed(self, target: Target) -> None:
        """Add or update a target."""
        if self.is_older_copy and self.view.registry.has_left(target):
            return
        for listener in self.view.entry_listeners:
            listener(target, time.monotonic())
        was_known = target.name in self.view.registry.targets
        if not self.view.registry.put(target):
            return
        if target.name in self.view.registry.targets:
            log_event(
                Event.TARGET_LISTED,
                target=target.name,
                service=target.service,
                version=target.version,
                address=target.address.text,
            )
        elif was_known:
            self._drop_targets((target.name,), 'draining')

    def target_removed(self, name: str) -> None:
        """Record that a target's entry was removed."""
        until_s = self.store_back_s + RELISTING_GRACE_S
        if time.monotonic() < until_s:
            self.view.registry.mark_missing(name, until_s)
        elif self.view.registry.remove(name):
            self._drop_targets((name,), 'entry removed')

    def peer_listed(self, name: str, address: str) -> None:
        """Record another instance's address."""
        self.view.peers[name] = address

    def peer_removed(self, name: str) -> None:
        """Record that another instance's entry was removed."""
        self.view.remove_peer(name)

    def data_center_evacuated(self, name: str, revision: int) -> None:
        """Give no more work to the targets of a data centre."""
        self.view.evacuate(name, revision)

    def data_center_restored(self, name: str) -> None:
        """Use the targets of a data centre again."""
        self.view.restore(name, 'key removed')

    def streams_recorded(
        self, instance: str, record: StreamRecord | None
    ) -> None:
        """Pass a record of open streams on to the listeners."""
        for listener in self.stream_listeners:
            listener(instance, record)

    def part_quarantined(
        self, part_id: str, age_s: float, left_s: float
    ) -> None:
        """Pass a quarantine on to the listeners."""
        for listener in self.view.quarantine_listeners:
            listener(part_id, age_s, left_s)

    async def _confirm_with_watchers(self) -> bool:
        """Query the watchers; return whether the view is recent."""
        if self.view.revision is None or self.failures:
            return False
        self.confirmations.record_role(self.confirmer.watcher_role)
        if self.confirmations.role.is_watcher:
            return False
        for _ in self.confirmations.role.watchers:
            if await self._query_watcher():
                return True
        return False

    async def _query_watcher(self) -> bool:
        """Apply what one watcher knows; return whether the view is recent."""
        queried_at_s = boot_time_s()
        response = await self.confirmer.query(self.confirmations.role)
        if response is None:
            self.confirmations.record('no response', self.view.age_s)
            return False
        self._apply_changes(response)
        if response.revision == self.view.revision:
            self.view.confirm(queried_at_s - response.age_s)
            self.last_response_s = time.monotonic()
        elif self.view.revision and response.revision > self.view.revision:
            # The watcher cannot pass on all that it has.
            return False
        limit_s = self.view.change_bound_s * CONFIRMED_AGE_SHARE
        is_recent = self.view.age_s < limit_s
        self.confirmations.record(
            '' if is_recent else 'confirmation too old', self.view.age_s
        )
        return is_recent

    def _apply_changes(self, response: ViewResponse) -> None:
        """Apply the changes that a watcher has passed on.

        Changes from before the present revision are skipped, as other calls
        may have applied them meanwhile.
        """
        revision = self.view.revision
        reached = response.reached
        if revision is None or reached <= revision:
            return
        self.batch.clear()
        for change in response.changes:
            if change.revision > revision.number:
                self.source.apply(change, self)
        self._advance(reached)
        METRICS.add('changes_passed_on_total', len(response.changes))

    async def _watch(self) -> None:
        """Call the store once, then pause until the next call is due."""
        start_s = time.monotonic()
        try:
            # A call without a wait confirms the view sooner than a watch.
            await self._step(
                0
                if self.failures
                else self.view.change_bound_s
                * self.confirmations.role.wait_share
            )
        except StoreError as error:
            self.failures += 1
            if self.failures == 1:
                self.view.evidence.record_failure(self.view.age_s)
                log_event(
                    Event.STORE_DOWN,
                    why=error.reason,
                    view_age_s=round(self.view.age_s, 2),
                )
            await self._learn_from_others()
            pause_s = min(MAX_PAUSE_S, PAUSE_STEP_S * self.failures)
            await asyncio.sleep(pause_s * (0.5 + random.random()))
            return
        await self._record_configuration()
        pause_s = start_s + WATCH_PERIOD_S - time.monotonic()
        if self.view.table:
            await asyncio.sleep(max(0.0, pause_s))

    async def _learn_from_others(self) -> None:
        """Apply the changes that other instances have while the store fails.

        The store may serve them and turn this instance away. Their responses
        do not confirm the view: its age stays that of the last own contact.
        """
        for role in self.confirmer.watcher_role.substitutes():
            response = await self.confirmer.query(role)
            if response is None:
                continue
            silent_s = time.monotonic() - self.last_response_s
            if silent_s > self.entry_lapse_s:
                # The store may have been down for all; entries that lapsed
                # meanwhile are removed before their targets list them again.
                self.store_back_s = time.monotonic()
            self._apply_changes(response)

    async def _step(self, wait_s: float) -> None:
        """Read all documents, or wait for the next changes."""
        queried_at_s = boot_time_s()
        METRICS.add('store_calls_total')
        if self.view.revision is None:
            try:
                listed, revision = await self.source.resync(self)
            finally:
                self.is_older_copy = False
            self._record_contact()
            self.view.confirm(queried_at_s)
            for name in self.view.registry.targets.keys() - listed:
                self.target_removed(name)
            for name in self.view.evacuations.take_unlisted():
                self.view.restore(name, 'not listed')
            self.view.revision = revision
            await self._use_view()
            return
        self.batch.clear()
        self._advance(
            await self.source.follow(self, self.view.revision, wait_s)
        )
        self._record_contact()
        if self.view.revision is None:
            log_event(Event.VIEW_RESYNCED, why='history dropped or restored')
        else:
            self.view.confirm(queried_at_s)
            await self._use_view()

    async def _use_view(self) -> None:
        """Let requests use the view unless a peer has a newer one."""
        if self.view.has_targets:
            return
        start_s = time.monotonic()
        deadline_s = start_s + PEER_REPORT_WAIT_S
        others = self.view.peers.keys() - {self.confirmer.watcher_role.name}
        while others and self.view.evidence.newest is None:
            if time.monotonic() > deadline_s:
                break
            await asyncio.sleep(PEER_REPORT_POLL_S)
        self.view.has_targets = not self.view.is_behind
        if self.view.has_targets:
            log_event(
                Event.VIEW_USED,
                version=self.view.version,
                peer_version=self.view.evidence.newest,
                listed=len(others),
                era=self.view.evidence.era,
                waited_s=round(time.monotonic() - start_s, 2),
            )

    async def _record_configuration(self) -> None:
        """Record the configuration in a restored store, which may lack it.

        Instances that start later learn from it whether they may rely on what
        the store holds.
        """
        record = self.view.due_record
        if record is None or not self.confirmer.watcher_role.is_watcher:
            return
        evidence = self.view.evidence
        try:
            await self.source.record_configuration(
                record, evidence.record_revision
            )
        except StoreConflictError:
            # Another instance has written it; the next watch reads that one.
            return
        except StoreError as error:
            log_event(Event.STORE_DOWN, why=error.reason, write='configuration')
            return
        evidence.record = record

    def _advance(self, revision: StoreRevision | None) -> None:
        """Set the revision that the changes of the batch have reached."""
        if self.view.revision is not None and revision is not None:
            self.view.changes.record(self.view.revision, revision, self.batch)
        self.batch.clear()
        self.view.revision = revision

    def _record_contact(self) -> None:
        """Record that the store has responded."""
        now_s = time.monotonic()
        silent_s = now_s - self.last_response_s
        if self.failures:
            log_event(Event.STORE_BACK, silent_s=round(silent_s, 2))
            self.view.evidence.record_outage(silent_s)
            if silent_s > self.entry_lapse_s:
                self.store_back_s = now_s
        self.failures = 0
        self.last_response_s = now_s

    def _drop_targets(self, names: tuple[str, ...], why: str) -> None:
        """Log removed targets and drop their state."""
        for name in names:
            log_event(
                Event.TARGET_GONE,
                target=name,
                why=why,
                view_age_s=round(self.view.age_s, 2),
            )
        self.on_targets_removed(names)
