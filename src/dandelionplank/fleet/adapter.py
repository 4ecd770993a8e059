"""Components that the adapter of a platform provides to a gateway."""

import dataclasses
from typing import Any

from dandelionplank.delivery.codec import RequestCodec
from dandelionplank.fleet.crashreports import QuarantineStore
from dandelionplank.fleet.exchange import Presence
from dandelionplank.fleet.follower import ChangeSource
from dandelionplank.fleet.streamrecords import StreamRecordStore
from dandelionplank.fleet.warmup import CachedPartsReader


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Components that the platform's adapter provides.

    :param ready_path: path at which the balancer checks readiness
    """

    source: ChangeSource
    presence: Presence
    codec: RequestCodec
    ready_path: str
    fetch_cached_parts: CachedPartsReader
    quarantines: QuarantineStore
    stream_records: StreamRecordStore
    close: Any
