"""Passes the events of a stream on to the caller."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Protocol

from dandelionplank.delivery.attempt import Attempt
from dandelionplank.delivery.codec import RequestCodec
from dandelionplank.delivery.events import StreamEvent
from dandelionplank.delivery.progress import (
    Progress,
    new_events,
    record_first_event,
    record_pause,
)
from dandelionplank.delivery.requests import CallerRequest
from dandelionplank.routing.scheduler import Grant

# A resumable stream that is silent for this many times its gap target is
# resumed at another target.
SILENCE_GAP_FACTOR = 5


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


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRelay:
    """Passes the events of one attempt to the caller.

    :param on_events: called for each block of events received
    """

    request: CallerRequest
    progress: Progress
    sink: CallerSink
    codec: RequestCodec
    on_events: Callable[[Grant], None]

    @property
    def silence_limit_s(self) -> float | None:
        """Longest wait for events, None if only the deadline limits it."""
        route = self.request.route
        if route.can_resume and route.gap_target_s:
            return route.gap_target_s * SILENCE_GAP_FACTOR
        return None

    async def run(self, attempt: Attempt) -> None:
        """Pass complete events on until the stream ends.

        :raises TargetError: the stream is truncated or silent for too long
        """
        stream = attempt.events()
        last_passed_s = 0.0
        while True:
            events = await self._next_events(attempt, stream)
            if events is None:
                break
            record_first_event(self.request, attempt.grant)
            self.on_events(attempt.grant)
            last_passed_s = record_pause(self.request, last_passed_s)
            block = new_events(events, self.progress)
            if block:
                await self._send_head(attempt)
                await self.sink.write(block)
        await self._send_head(attempt)

    async def _send_head(self, attempt: Attempt) -> None:
        """Send the head of the response once, before the first event."""
        if self.progress.is_started:
            return
        self.progress.is_started = True
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
        stream: AsyncIterator[list[StreamEvent]],
    ) -> list[StreamEvent] | None:
        """Return the next events, None at the end of the stream."""
        silence_limit_s = self.silence_limit_s
        if silence_limit_s is None:
            return await anext(stream, None)
        try:
            async with asyncio.timeout(silence_limit_s):
                return await anext(stream, None)
        except TimeoutError as error:
            raise attempt.stream_error(
                f'silent for {silence_limit_s} s'
            ) from error
