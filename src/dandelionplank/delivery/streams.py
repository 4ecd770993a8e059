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
    note_first_event,
    note_pause,
)
from dandelionplank.delivery.requests import CallerRequest
from dandelionplank.routing.scheduler import Grant

# A resumable stream that is silent for this many times its longest pause on
# time goes on at another target.
SILENCE_PAUSES = 5


class CallerSink(Protocol):
    """Where a stream's events go."""

    async def start(
        self,
        status: int,
        reason: str,
        headers: Mapping[str, str],
    ) -> None:
        """Send the head of the answer."""

    async def write(self, block: bytes) -> None:
        """Send whole events."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRelay:
    """One attempt's events on their way to the caller.

    :param on_events: is told of each block of events that came
    """

    request: CallerRequest
    progress: Progress
    sink: CallerSink
    codec: RequestCodec
    on_events: Callable[[Grant], None]

    @property
    def silence_s(self) -> float | None:
        """Longest wait for events, none if only the deadline ends it."""
        route = self.request.route
        if route.can_resume and route.gap_target_s:
            return route.gap_target_s * SILENCE_PAUSES
        return None

    async def run(self, attempt: Attempt) -> None:
        """Pass whole events on until the stream ends.

        :raises TargetError: the stream breaks off or falls silent
        """
        stream = attempt.events()
        passed_s = 0.0
        while True:
            events = await self._next_events(attempt, stream)
            if events is None:
                break
            note_first_event(self.request, attempt.grant)
            self.on_events(attempt.grant)
            passed_s = note_pause(self.request, passed_s)
            block = new_events(events, self.progress)
            if block:
                await self._start(attempt)
                await self.sink.write(block)
        await self._start(attempt)

    async def _start(self, attempt: Attempt) -> None:
        """Send the head of the answer before the first event."""
        if self.progress.is_started:
            return
        self.progress.is_started = True
        answer = attempt.answer
        assert answer is not None
        await self.sink.start(
            answer.status,
            answer.reason,
            self.codec.caller_headers(answer.headers),
        )

    async def _next_events(
        self,
        attempt: Attempt,
        stream: AsyncIterator[list[StreamEvent]],
    ) -> list[StreamEvent] | None:
        """Return the next events, nothing at the end of the stream."""
        silence_s = self.silence_s
        if silence_s is None:
            return await anext(stream, None)
        try:
            async with asyncio.timeout(silence_s):
                return await anext(stream, None)
        except TimeoutError as error:
            raise attempt.broken(f'silent for {silence_s} s') from error
