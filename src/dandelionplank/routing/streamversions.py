"""Software versions at which resumable streams began: pure state, no I/O.

What two versions of a target's software write does not fit together, and no
target checks it: a stream goes on at the version that began it, or not at all.
A caller may take a stream up at any instance, also after all of them were
killed. While targets of several versions serve, each instance therefore keeps
a record of its open streams in the store. While there is one version only,
nothing is written: it began all streams.
"""

import dataclasses
from collections import defaultdict
from collections.abc import Iterable, Mapping

import msgspec

# No caller takes a stream up that began longer ago.
STREAM_AGE_S = 30.0
# Streams that are remembered, and those in one record: the latest ones.
MAX_STREAMS = 20_000
MAX_RECORDED_STREAMS = 256


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Service and software version of the target that began a stream."""

    service: str
    version: str


class StreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """What one instance keeps in the store while several versions serve.

    :param versions: versions at which it may have begun streams, by service
    :param streams: ids of the requests that began its open streams
    """

    versions: dict[str, tuple[str, ...]]
    streams: tuple[tuple[StreamOrigin, tuple[str, ...]], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRecord:
    """A record and the monotonic time at which it was read."""

    record: StreamRecord
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OpenStream:
    """A stream that this instance passes on, and when it began here."""

    origin: StreamOrigin
    began_s: float


class StreamVersions:
    """Decides at which software version a stream may begin or go on."""

    def __init__(self) -> None:
        """Hold no stream and no version."""
        self.streams: dict[str, OpenStream] = {}
        self.seen_s: dict[str, dict[str, float]] = defaultdict(dict)
        # The only version of a service while there was one.
        self.established: dict[str, frozenset[str]] = {}
        # Monotonic time at which the store acknowledged each other version.
        self.announced_s: dict[str, dict[str, float]] = defaultdict(dict)
        self.records: dict[str, ReceivedRecord] = {}
        self.recorded: dict[str, StreamOrigin] = {}

    def see(self, listed: Mapping[str, Iterable[str]], now_s: float) -> None:
        """Record the versions of the targets that are listed.

        :param listed: versions by service
        """
        for service, versions in listed.items():
            for version in versions:
                self.seen_s[service][version] = now_s
            possible = self.possible_versions(service, now_s)
            if len(possible) == 1:
                self.established[service] = possible
                self.announced_s.pop(service, None)

    def announce(self, record: StreamRecord, now_s: float) -> None:
        """Record that the store has acknowledged a record."""
        for service, versions in record.versions.items():
            for version in versions:
                self.announced_s[service].setdefault(version, now_s)

    def record_begin(
        self, request_id: str, origin: StreamOrigin, now_s: float
    ) -> None:
        """Record that the first event of a request's stream is passed on."""
        if not request_id:
            return
        self.streams.pop(request_id, None)
        self.streams[request_id] = OpenStream(origin, now_s)
        if len(self.streams) > MAX_STREAMS:
            self.streams.pop(next(iter(self.streams)))

    def record_end(self, *request_ids: str) -> None:
        """Forget a stream that is complete: no caller takes it up."""
        for request_id in request_ids:
            self.streams.pop(request_id, None)

    def apply_record(
        self, instance: str, record: StreamRecord | None, now_s: float
    ) -> None:
        """Apply the record of another instance.

        :param record: none if it was removed
        """
        self.records.pop(instance, None)
        if record is not None:
            self.records[instance] = ReceivedRecord(record, now_s)
        self.recorded = {}
        for each in self.records.values():
            for origin, request_ids in each.record.streams:
                self.recorded.update(dict.fromkeys(request_ids, origin))

    def adopt(self, record: StreamRecord, now_s: float) -> None:
        """Take over the record of an earlier process of this instance."""
        for service, versions in record.versions.items():
            for version in versions:
                self.seen_s[service][version] = now_s
        for origin, request_ids in record.streams:
            for request_id in request_ids:
                self.record_begin(request_id, origin, now_s)

    def possible_versions(self, service: str, now_s: float) -> frozenset[str]:
        """Return the versions at which open streams may have begun."""
        recorded = (
            version
            for each in self.records.values()
            if now_s - each.received_s <= STREAM_AGE_S
            for version in each.record.versions.get(service, ())
        )
        return self._own_versions(service, now_s).union(recorded)

    def recorded_origin_of(self, request_id: str) -> StreamOrigin | None:
        """Return where a stream began by a record of it, None without one.

        :param request_id: request whose response brought its first event
        """
        known = self.streams.get(request_id)
        return known.origin if known else self.recorded.get(request_id)

    def origin_of(
        self, request_id: str, service: str, now_s: float
    ) -> StreamOrigin | None:
        """Return where a stream began, None if that is not known.

        Without a record of it, the only version there is began it.

        :param request_id: request whose response brought its first event
        :param service: service that its route states now
        """
        recorded = self.recorded_origin_of(request_id)
        if recorded:
            return recorded
        versions = self.possible_versions(service, now_s)
        return StreamOrigin(service, *versions) if len(versions) == 1 else None

    def begin_versions(
        self, service: str, listed: frozenset[str], known_by_s: float
    ) -> tuple[str, ...]:
        """Return the versions at which a stream may begin, none for any.

        A version that other instances may not know of yet is left out unless
        there is no other: they would take its streams for those of the others.

        :param known_by_s: monotonic time; what the store acknowledged before
            it is known to all instances that serve the stream's caller
        """
        usable = {
            version
            for version, announced_s in self.announced_s[service].items()
            if announced_s <= known_by_s
        }
        usable.update(self.established.get(service, ()))
        usable &= listed
        return tuple(sorted(usable)) if usable and usable != listed else ()

    def own_record(self, now_s: float) -> StreamRecord | None:
        """Return the record to keep in the store, None if none is needed."""
        self._forget_old(now_s)
        versions = {
            service: tuple(sorted(self._own_versions(service, now_s)))
            for service in self.seen_s
        }
        several = {
            service: found
            for service, found in versions.items()
            if len(found) > 1
        }
        if not several:
            return None
        latest = list(self.streams.items())[-MAX_RECORDED_STREAMS:]
        grouped: dict[StreamOrigin, list[str]] = defaultdict(list)
        for request_id, stream in latest:
            if stream.origin.service in several:
                grouped[stream.origin].append(request_id)
        return StreamRecord(
            several,
            tuple((origin, tuple(found)) for origin, found in grouped.items()),
        )

    def _own_versions(self, service: str, now_s: float) -> frozenset[str]:
        """Return the versions that this instance has seen lately."""
        return frozenset(
            version
            for version, seen_s in self.seen_s[service].items()
            if now_s - seen_s <= STREAM_AGE_S
        )

    def _forget_old(self, now_s: float) -> None:
        """Forget the streams that no caller takes up any more."""
        self.streams = {
            request_id: stream
            for request_id, stream in self.streams.items()
            if now_s - stream.began_s <= STREAM_AGE_S
        }
