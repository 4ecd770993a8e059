"""Source of typed store changes, and this instance's entry in the store."""

import contextlib
import time

import msgspec

from dandelionplank.errors import StoreConflictError
from dandelionplank.events import Event
from dandelionplank.fleet.changes import StoredChange, StoreRevision
from dandelionplank.fleet.evidence import ConfigurationRecord
from dandelionplank.fleet.follower import ChangeSink
from dandelionplank.logs import log_event
from dandelionplank.platform import names
from dandelionplank.platform.documents import (
    MalformedDocumentError,
    QuarantineDocument,
    decode_configuration,
    decode_configuration_record,
    decode_data_center,
    decode_peer_address,
    decode_quarantine,
    decode_stream_record,
    decode_target,
)
from dandelionplank.platform.store import (
    LeaseEndedError,
    PlatformStore,
    RevisionCompactedError,
    StoreLease,
)
from dandelionplank.routing.streamversions import (
    STREAM_AGE_S,
    StreamRecord,
)

ALL_KEYS = ''
# Characters of the reason why a document cannot be decoded.
MAX_LOGGED_REASON = 200


class StoreChangeSource:
    """Reads configuration, targets and peers by one range or one watch."""

    def __init__(self, store: PlatformStore) -> None:
        """Hold the client that reads the store."""
        self.store = store
        self.known_malformed: set[str] = set()

    async def resync(
        self, sink: ChangeSink
    ) -> tuple[frozenset[str], StoreRevision]:
        """Read all documents; see :class:`ChangeSource`."""
        batch = await self.store.read_range(ALL_KEYS)
        sink.listing_began(batch.revision)
        for change in batch.entries:
            self.apply(change, sink)
        listed = frozenset(
            change.key.removeprefix(names.TARGET_PREFIX)
            for change in batch.entries
            if change.key.startswith(names.TARGET_PREFIX)
        )
        return listed, batch.revision

    async def follow(
        self,
        sink: ChangeSink,
        revision: StoreRevision,
        wait_s: float,
    ) -> StoreRevision | None:
        """Wait for changes; see :class:`ChangeSource`."""
        try:
            batch = await self.store.watch(ALL_KEYS, revision.number, wait_s)
        except RevisionCompactedError:
            return None
        if batch.revision.era != revision.era:
            return None
        for change in batch.entries:
            self.apply(change, sink)
        return max(revision, batch.revision)

    async def record_configuration(
        self, record: ConfigurationRecord, revision: int
    ) -> None:
        """Write the record of a configuration; see :class:`ChangeSource`."""
        await self.store.put(
            names.CONFIGURATION_RECORD_KEY,
            msgspec.json.encode(record),
            expected_revision=revision,
        )

    def apply(self, change: StoredChange, sink: ChangeSink) -> None:
        """Decode one change and pass it to the sink by its kind."""
        sink.changed(change)
        try:
            for prefix, apply in _APPLIED_BY_PREFIX:
                if change.key.startswith(prefix):
                    apply(change, sink)
        except MalformedDocumentError as error:
            self._log_malformed(change.key, error.reason)
        except Exception as error:
            # One document must not end the following of all others.
            self._log_malformed(change.key, repr(error))
        else:
            self.known_malformed.discard(change.key)

    def _log_malformed(self, key: str, reason: str) -> None:
        """Log a document that cannot be decoded, once until it can be."""
        if key not in self.known_malformed:
            self.known_malformed.add(key)
            log_event(
                Event.DOCUMENT_MALFORMED,
                key=key,
                why=reason[:MAX_LOGGED_REASON],
            )


def _apply_configuration(change: StoredChange, sink: ChangeSink) -> None:
    """Pass on a configuration; the last one outlives its entry."""
    is_configuration = change.key == names.CONFIGURATION_KEY
    if is_configuration and change.document is not None:
        sink.configured(decode_configuration(change.document))


def _apply_configuration_record(change: StoredChange, sink: ChangeSink) -> None:
    """Pass on the record of the configuration in force in an era.

    :raises MalformedDocumentError: the entry is no such record
    """
    is_record = change.key == names.CONFIGURATION_RECORD_KEY
    if is_record and change.document is not None:
        record = decode_configuration_record(change.document)
        sink.configuration_recorded(record, change.revision)


def _apply_target(change: StoredChange, sink: ChangeSink) -> None:
    """Pass on a change of a target's entry; a malformed one names no target.

    :raises MalformedDocumentError: the entry describes no valid target
    """
    name = change.key.removeprefix(names.TARGET_PREFIX)
    if change.document is None:
        sink.target_removed(name)
        return
    try:
        target = decode_target(name, change.document)
    except MalformedDocumentError:
        sink.target_removed(name)
        raise
    sink.target_listed(target)


def _apply_peer(change: StoredChange, sink: ChangeSink) -> None:
    """Pass on a change of another instance's entry."""
    name = change.key.removeprefix(names.PEER_PREFIX)
    if change.document is None:
        sink.peer_removed(name)
    else:
        sink.peer_listed(name, decode_peer_address(change.document))


def _apply_quarantine(change: StoredChange, sink: ChangeSink) -> None:
    """Pass on a new quarantine; it ends by its time, not with its entry.

    An outage of the store may end the lease of the entry early.
    """
    if change.document is None:
        return
    document = decode_quarantine(change.document)
    now_ms = time.time() * names.MS_PER_SECOND
    sink.part_quarantined(
        change.key.removeprefix(names.QUARANTINE_PREFIX),
        max(0.0, now_ms - document.first_ms) / names.MS_PER_SECOND,
        (document.until_ms - now_ms) / names.MS_PER_SECOND,
    )


def _apply_evacuation(change: StoredChange, sink: ChangeSink) -> None:
    """Pass on an order to evacuate a data centre, or the end of one.

    The key is the order: its value is not read, so that no value can make an
    order ineffective.

    :raises MalformedDocumentError: the key names no data centre
    """
    name = decode_data_center(change.key.removeprefix(names.EVACUATION_PREFIX))
    if change.document is None:
        sink.data_center_restored(name)
    else:
        sink.data_center_evacuated(name, change.revision)


def _apply_streams(change: StoredChange, sink: ChangeSink) -> None:
    """Pass on the record of an instance's open streams, or its removal.

    :raises MalformedDocumentError: the entry is no such record
    """
    instance = change.key.removeprefix(names.STREAM_PREFIX)
    if change.document is None:
        sink.streams_recorded(instance, None)
    else:
        sink.streams_recorded(instance, decode_stream_record(change.document))


_APPLIED_BY_PREFIX = (
    (names.CONFIGURATION_KEY, _apply_configuration),
    (names.CONFIGURATION_RECORD_KEY, _apply_configuration_record),
    (names.TARGET_PREFIX, _apply_target),
    (names.PEER_PREFIX, _apply_peer),
    (names.QUARANTINE_PREFIX, _apply_quarantine),
    (names.EVACUATION_PREFIX, _apply_evacuation),
    (names.STREAM_PREFIX, _apply_streams),
)


class StoreQuarantines:
    """Entries of the quarantined parts in the store, each under a lease."""

    def __init__(self, store: PlatformStore) -> None:
        """Hold the leases of the entries that were written here."""
        self.store = store
        self.leases: dict[str, StoreLease] = {}

    async def put(self, part_id: str, age_s: float, left_s: float) -> None:
        """Write an entry unless there is one.

        :param age_s: time since the first crash that it explains
        :raises StoreError: it may not have been written
        """
        now_s = time.time()
        document = QuarantineDocument(
            int((now_s - age_s) * names.MS_PER_SECOND),
            int((now_s + left_s) * names.MS_PER_SECOND),
        )
        lease = await self.store.grant_lease(left_s)
        try:
            await self.store.put(
                names.QUARANTINE_PREFIX + part_id,
                msgspec.json.encode(document),
                lease,
                expected_revision=0,
            )
        except StoreConflictError:
            await self.store.revoke_lease(lease)
        else:
            self.leases[part_id] = lease

    async def remove(self, part_id: str) -> None:
        """Remove an entry that was written here.

        :raises StoreError: it stays until its lease ends
        """
        lease = self.leases.pop(part_id, None)
        if lease:
            await self.store.revoke_lease(lease)


class StoreStreamRecords:
    """Record of this instance's open streams in the store, under a lease.

    It outlives the process, so that the streams that a kill interrupts can be
    taken up at the software version that began them.
    """

    def __init__(self, store: PlatformStore, name: str) -> None:
        """Hold the key of the record; nothing is written.

        :param name: this instance
        """
        self.store = store
        self.key = names.STREAM_PREFIX + name
        self.lease: StoreLease | None = None
        self.renewed_s = float('-inf')

    async def put(self, record: StreamRecord) -> None:
        """Write the record.

        :raises StoreError: it may not have been written
        """
        lease = await self._renewed_lease()
        try:
            await self.store.put(self.key, msgspec.json.encode(record), lease)
        except LeaseEndedError:
            self.lease = None
            raise

    async def remove(self) -> None:
        """Remove the record.

        :raises StoreError: it stays until its lease ends
        """
        lease = self.lease
        self.lease = None
        if lease:
            await self.store.revoke_lease(lease)

    async def read(self) -> dict[str, StreamRecord]:
        """Return the records of all instances by their names.

        :raises StoreError: the store did not respond
        """
        batch = await self.store.read_range(names.STREAM_PREFIX)
        found = {}
        for change in batch.entries:
            instance = change.key.removeprefix(names.STREAM_PREFIX)
            if change.document is not None:
                with contextlib.suppress(MalformedDocumentError):
                    found[instance] = decode_stream_record(change.document)
        return found

    async def _renewed_lease(self) -> StoreLease:
        """Return a lease that lasts for as long as the record is needed.

        :raises StoreError: there is none
        """
        now_s = time.monotonic()
        if self.lease and now_s - self.renewed_s > STREAM_AGE_S / 2:
            try:
                await self.store.renew_lease(self.lease)
            except LeaseEndedError:
                self.lease = None
            else:
                self.renewed_s = now_s
        if self.lease is None:
            self.lease = await self.store.grant_lease(2 * STREAM_AGE_S)
            self.renewed_s = now_s
        return self.lease


class StorePresence:
    """Entry of this instance in the store, under a lease."""

    def __init__(self, store: PlatformStore, name: str, address: str) -> None:
        """Hold the key and the document of the entry; nothing is written.

        :param address: ``ip:port`` at which this instance receives peer reports
        """
        self.store = store
        self.key = names.PEER_PREFIX + name
        self.document = msgspec.json.encode(address)
        self.lease: StoreLease | None = None

    async def renew(self, ttl_s: float) -> None:
        """Write the entry, or renew its lease.

        :raises StoreError: the entry may be missing
        """
        if self.lease and await self._renew_lease(self.lease):
            return
        self.lease = None
        lease = await self.store.grant_lease(ttl_s)
        await self.store.put(self.key, self.document, lease)
        self.lease = lease

    async def leave(self) -> None:
        """Remove the entry.

        :raises StoreError: it stays until its lease expires
        """
        if self.lease:
            await self.store.revoke_lease(self.lease)

    async def _renew_lease(self, lease: StoreLease) -> bool:
        """Renew the lease; return whether it still exists."""
        self.lease = None
        try:
            await self.store.renew_lease(lease)
        except LeaseEndedError:
            return False
        self.lease = lease
        return True
