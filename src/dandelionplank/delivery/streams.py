"""Passes the events of a stream on to the caller."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

from dandelionplank.delivery.attempt import Attempt
from dandelionplank.delivery.bounds import MAX_IDLE_BYTES
from dandelionplank.delivery.codec import RequestCodec
from dandelionplank.delivery.events import StreamEvent
from dandelionplank.delivery.progress import (
    Progress,
    new_events,
    record_pause,
)
from dandelionplank.delivery.requests import CallerRequest
from dandelionplank.targets import Target

# A resumable stream that is silent for this many times its gap target is
# resumed at another target.
SILENCE_GAP_FACTOR = 5
# Events with this field are progress; comments and empty events are not.
DATA_FIELD = b'data:'


class CallerSink(Protocol):
    """Receives the events of a stream for the caller."""

    async def start(
        self,
        status: int,
        reason: str,
        headers: Mapping[str, str],
    ) -> None:
        """Send the head of the response."""

    async def write(self, block: bytes) -> None:
        """Send complete events."""


class StreamOrigins(Protocol):
    """Knows at which software version a stream may begin or go on."""

    async def allowed_versions(self, request: CallerRequest) -> tuple[str, ...]:
        """Return the versions that may take a request, none for any.

        :raises RefusalError: its caller takes up a stream, and the version
            that began it is not known
        """

    def record_begin(self, request: CallerRequest, target: Target) -> None:
        """Record the target whose event is the first that is passed on."""

    def record_end(self, request: CallerRequest) -> None:
        """Record that a stream is complete."""

    async def run(self) -> None:
        """Keep what other instances need to know, until cancelled."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRelay:
    """Passes the events of one attempt to the caller.

    :param on_start: called before the first event is passed on
    :param on_events: called for each block of events received
    :param reserve_target: reserves another target to resume the stream, and
        returns whether there is one
    """

    request: CallerRequest
    progress: Progress
    sink: CallerSink
    codec: RequestCodec
    on_start: Callable[[], None]
    on_events: Callable[[], None]
    reserve_target: Callable[[], Awaitable[bool]]

    @property
    def silence_limit_s(self) -> float | None:
        """Longest time without progress, None if only the deadline counts."""
        route = self.request.route
        if route.can_resume and route.gap_target_s:
            return route.gap_target_s * SILENCE_GAP_FACTOR
        return None

    async def run(self, attempt: Attempt) -> None:
        """Pass complete events on until the stream ends.

        Events that the caller has already, and comments, are no progress: a
        stalled stream may send them for ever.

        :raises TargetError: the stream is truncated, makes no progress and
            another target may resume it, or sends many bytes without progress
        """
        last_passed_s = 0.0
        progress_s = time.monotonic()
        idle_bytes = 0
        while events := await self._next_events(attempt, progress_s):
            self.on_events()
            last_passed_s = record_pause(self.request, last_passed_s)
            block = new_events(events, self.progress)
            idle_bytes += sum(len(event.raw) for event in events)
            if DATA_FIELD in block:
                progress_s = last_passed_s
                idle_bytes = 0
            elif idle_bytes > MAX_IDLE_BYTES:
                raise attempt.stream_error(f'no progress in {idle_bytes} bytes')
            if block:
                await self._send_head(attempt)
                await self.sink.write(block)
        await self._send_head(attempt)

    async def _send_head(self, attempt: Attempt) -> None:
        """Send the head of the response once, before the first event."""
        if self.progress.is_started:
            return
        self.progress.is_started = True
        self.on_start()
        response = attempt.response
        assert response is not None
        await self.sink.start(
            response.status,
            response.reason,
            self.codec.caller_headers(response.headers),
        )

    async def _next_events(
        self,
        attempt: Attempt,
        progress_s: float,
    ) -> list[StreamEvent]:
        """Return the next events, none at the end of the stream.

        A slow stream is given up only for a target that is to resume it.

        :param progress_s: monotonic time of the last new event
        """
        silence_limit_s = self.silence_limit_s
        if silence_limit_s is None:
            return await attempt.read_events()
        left_s = progress_s + silence_limit_s - time.monotonic()
        while True:
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    return await attempt.read_events()
            except TimeoutError as error:
                if await self.reserve_target():
                    raise attempt.stream_error(
                        f'no progress for {silence_limit_s} s'
                    ) from error
            left_s = silence_limit_s
