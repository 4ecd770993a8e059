"""Task that keeps the record of this instance's open streams in the store."""

import asyncio
import contextlib
import itertools
import time
from collections.abc import Callable, Mapping
from typing import Protocol

from dandelionplank.delivery.requests import CallerRequest
from dandelionplank.errors import ErrorCode, RefusalError, StoreError
from dandelionplank.events import Event
from dandelionplank.fleet.view import KEY_AGE_SHARE, FleetView
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.routes import RouteTable
from dandelionplank.routing.streamversions import (
    StreamOrigin,
    StreamRecord,
    StreamVersions,
)
from dandelionplank.targets import Target

STEP = 'streams'
# Shortest time between two writes of one instance. What began since the last
# one is not known after a kill.
MIN_PERIOD_S = 0.25
# Writes of all instances together, per second.
FLEET_WRITES_PER_S = 50.0
# Time after which an unwritten record is tried again.
STORE_RETRY_S = 0.5
# Another instance writes what it has not yet written within this time.
UNKNOWN_RETRY_S = 0.5
# Callers choose the ids of requests; longer ones are not recorded.
MAX_ID_LENGTH = 64


class StreamRecordStore(Protocol):
    """Records of the instances in the store."""

    async def put(self, record: StreamRecord) -> None:
        """Write the record of this instance.

        :raises StoreError: it may not have been written
        """

    async def remove(self) -> None:
        """Remove the record of this instance.

        :raises StoreError: it stays until its lease ends
        """

    async def read(self) -> Mapping[str, StreamRecord]:
        """Return the records of all instances by their names.

        :raises StoreError: the store did not respond
        """


class StreamRecordKeeper:
    """Binds streams to the software version that began them."""

    def __init__(
        self,
        instance: str,
        view: FleetView,
        store: StreamRecordStore,
        count_instances: Callable[[], int],
    ) -> None:
        """Hold the streams, at first none.

        :param instance: name of this instance
        :param count_instances: returns how many instances share the store
        """
        self.instance = instance
        self.view = view
        self.store = store
        self.count_instances = count_instances
        self.versions = StreamVersions()
        self.services: frozenset[str] = frozenset()
        self.written: StreamRecord | None = None
        self.has_written = False
        self.changed = asyncio.Event()
        self.reading: asyncio.Task[Mapping[str, StreamRecord]] | None = None

    @property
    def period_s(self) -> float:
        """Shortest time between two writes."""
        return max(MIN_PERIOD_S, self.count_instances() / FLEET_WRITES_PER_S)

    async def allowed_versions(self, request: CallerRequest) -> tuple[str, ...]:
        """Return the versions that may take a request, none for any.

        :raises RefusalError: its caller takes up a stream, and the version
            that began it is not known
        """
        if not request.route.can_resume:
            return ()
        if not request.metadata.last_event_id:
            return self._begin_versions(request.service)
        begun = _stream_id(request, request.metadata.resumes)
        origin = self.versions.recorded_origin_of(begun)
        source = 'known'
        if origin is None and await self._read_records():
            origin = self._origin_of(begun, request.service)
            source = 'read'
        self._log_taken_up(request, origin, source)
        if origin is None or origin.service != request.service:
            raise RefusalError(
                step=STEP,
                peer=request.service,
                code=ErrorCode.STREAM_UNKNOWN,
                request_id=request.metadata.request_id,
                retry_after_s=UNKNOWN_RETRY_S,
            )
        return (origin.version,)

    def record_begin(self, request: CallerRequest, target: Target) -> None:
        """Record the target whose event is the first that is passed on."""
        origin = StreamOrigin(target.service, target.version)
        now_s = time.monotonic()
        for stream_id in _stream_ids(request):
            self.versions.record_begin(stream_id, origin, now_s)

    def record_end(self, request: CallerRequest) -> None:
        """Record that a stream is complete."""
        self.versions.record_end(*_stream_ids(request))

    def apply_record(self, instance: str, record: StreamRecord | None) -> None:
        """Apply a record that the store has changed.

        The one of an earlier process of this instance is taken over.
        """
        now_s = time.monotonic()
        if instance != self.instance:
            self.versions.apply_record(instance, record, now_s)
        elif record and not self.has_written:
            self.versions.adopt(record, now_s)

    async def run(self) -> None:
        """Write the record while several versions serve, until cancelled."""
        while True:
            self.changed.clear()
            if self.view.is_loaded:
                await self._write()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.period_s):
                    await self.changed.wait()

    def store_again(self) -> None:
        """Write the record again, which a restored store may lack."""
        self.written = None
        self.changed.set()

    def configure(self, table: RouteTable) -> None:
        """Keep records of the services whose streams may be taken up."""
        routes = itertools.chain.from_iterable(table.by_host.values())
        resumable = [route for route in routes if route.can_resume]
        self.services = frozenset(
            choice.service for route in resumable for choice in route.choices
        )
        self.changed.set()

    def see_entry(self, target: Target, now_s: float) -> None:
        """Announce the version of a new target at once."""
        if target.service not in self.services:
            return
        known = self.versions.seen_s[target.service]
        if target.version not in known:
            self.changed.set()
        known[target.version] = now_s

    def _see(self, now_s: float) -> None:
        """Record the versions that are listed now."""
        listed = {
            service: self.view.versions_of(service) for service in self.services
        }
        self.versions.see(listed, now_s)

    def _begin_versions(self, service: str) -> tuple[str, ...]:
        """Return the versions at which a stream may begin, none for any.

        An instance whose view is older than the limit for keys takes no
        request.
        """
        limit_s = self.view.revoked_after_s * KEY_AGE_SHARE
        return self.versions.begin_versions(
            service,
            frozenset(self.view.versions_of(service)),
            time.monotonic() - limit_s,
        )

    def _origin_of(self, begun: str, service: str) -> StreamOrigin | None:
        """Return where a stream began after the records have been read.

        An instance that was cut off or stood still may know one version where
        the others have seen another one since. The records name both.

        :param begun: id of the stream
        """
        if not self.view.may_admit_keys:
            return self.versions.recorded_origin_of(begun)
        return self.versions.origin_of(begun, service, time.monotonic())

    async def _read_records(self) -> bool:
        """Read the records of all instances, once for all that wait.

        :return: whether the store responded
        """
        if self.reading is None:
            self.reading = asyncio.ensure_future(self.store.read())
            self.reading.add_done_callback(_take_error)
        reading = self.reading
        try:
            records = await asyncio.shield(reading)
        except StoreError as error:
            log_event(Event.STORE_DOWN, why=error.reason, read='streams')
            return False
        finally:
            if self.reading is reading:
                self.reading = None
        for instance, record in records.items():
            self.apply_record(instance, record)
        return True

    async def _write(self) -> None:
        """Write the record if it has changed, or remove it."""
        now_s = time.monotonic()
        self._see(now_s)
        record = self.versions.own_record(now_s)
        if record == self.written:
            return
        METRICS.add('stream_records_total')
        if (record is None) != (self.written is None):
            log_event(
                Event.STREAMS_RECORDED,
                versions=record.versions if record else None,
            )
        self.has_written = True
        try:
            await (self.store.put(record) if record else self.store.remove())
        except StoreError as error:
            log_event(Event.STORE_DOWN, why=error.reason, write='streams')
            await asyncio.sleep(STORE_RETRY_S)
            return
        self.written = record
        if record:
            self.versions.announce(record, time.monotonic())

    def _log_taken_up(
        self, request: CallerRequest, origin: StreamOrigin | None, source: str
    ) -> None:
        """Log by what the version of a stream is known."""
        log_event(
            Event.STREAM_TAKEN_UP,
            request=request.metadata.request_id,
            resumes=request.metadata.resumes,
            last_event=request.metadata.last_event_id,
            service=origin.service if origin else '',
            version=origin.version if origin else None,
            known_from=source if origin else 'nothing',
            versions=sorted(
                self.versions.possible_versions(
                    request.service, time.monotonic()
                )
            ),
        )


def _stream_id(request: CallerRequest, request_id: str) -> str:
    """Return the id of a stream, empty if it is not recorded.

    Two accounts may use the same id of a request.

    :param request_id: request whose response brings its first event
    """
    if not 0 < len(request_id) <= MAX_ID_LENGTH:
        return ''
    return f'{request.account}/{request_id}'


def _stream_ids(request: CallerRequest) -> tuple[str, ...]:
    """Return the ids by which a caller may take up the stream of a request."""
    metadata = request.metadata
    own = _stream_id(request, metadata.request_id)
    if not metadata.last_event_id:
        return (own,)
    return own, _stream_id(request, metadata.resumes)


def _take_error(reading: 'asyncio.Task[Mapping[str, StreamRecord]]') -> None:
    """Take the error of a read whose callers have all left."""
    if not reading.cancelled():
        reading.exception()
