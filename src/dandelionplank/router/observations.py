"""What this entry sees of the targets, reported to the dispatchers."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Protocol

from dandelionplank.messages import TargetReport
from dandelionplank.router.tickets import TicketTask

StallHandler = Callable[[], None]


class Counted(Protocol):
    """Counts the events of an answer as they arrive."""

    events: int


@dataclasses.dataclass
class EventCount:
    """A count of events for answers that come in one piece."""

    events: int = 0


@dataclasses.dataclass(eq=False)
class ObservedStream:
    """An attempt whose answer is arriving.

    :param stall: called once when it makes no progress for too long
    :param answer: counts the events that have arrived
    """

    pool: str
    target: str
    started_at_s: float
    stall: StallHandler
    answer: Counted
    seen_events: int = 0
    progress_at_s: float = 0
    first_at_s: float = 0
    ended_at_s: float = 0
    is_stalled: bool = False

    def note_first(self, now_s: float) -> None:
        """Note when the first event arrived."""
        if not self.first_at_s:
            self.first_at_s = now_s

    def take_new_events(self, now_s: float) -> int:
        """Return how many events have arrived since the last sample."""
        new = self.answer.events - self.seen_events
        self.seen_events = self.answer.events
        if new:
            self.progress_at_s = now_s
        return new


@dataclasses.dataclass
class TargetWindow:
    """Sums over the streams of one target in one report period."""

    streams: int = 0
    tokens: int = 0
    stream_seconds: float = 0
    first_tokens: int = 0
    first_token_seconds: float = 0
    waiting_first: int = 0
    oldest_wait_s: float = 0


class ObservationTask:
    """Samples all open streams once a period.

    Nothing is done per chunk: timers, comparisons and reports are made once
    a period for all streams together.
    """

    def __init__(
        self,
        tickets: TicketTask,
        period_s: float,
        progress_timeout_s: float,
    ) -> None:
        """Start without streams."""
        self.tickets = tickets
        self.period_s = period_s
        self.progress_timeout_s = progress_timeout_s
        self.streams: set[ObservedStream] = set()
        self.ended: list[ObservedStream] = []

    def open(
        self,
        pool: str,
        target: str,
        stall: StallHandler,
        answer: Counted,
    ) -> ObservedStream:
        """Begin to observe an attempt."""
        now_s = time.monotonic()
        stream = ObservedStream(
            pool,
            target,
            now_s,
            stall,
            answer,
            progress_at_s=now_s,
        )
        self.streams.add(stream)
        return stream

    def close(self, stream: ObservedStream) -> None:
        """End the observation of an attempt."""
        self.streams.discard(stream)
        stream.ended_at_s = time.monotonic()
        self.ended.append(stream)

    async def run(self) -> None:
        """Report and look for stalled streams once a period."""
        sampled_at_s = time.monotonic()
        while True:
            await asyncio.sleep(self.period_s)
            now_s = time.monotonic()
            self.report(sampled_at_s, now_s)
            self.interrupt_stalled(now_s)
            sampled_at_s = now_s

    def report(self, since_s: float, now_s: float) -> None:
        """Send the sums of a period to the dispatchers."""
        windows: dict[tuple[str, str], TargetWindow] = {}
        for stream in (*self.streams, *self.ended):
            key = (stream.pool, stream.target)
            window = windows.setdefault(key, TargetWindow())
            _add_stream(window, stream, since_s, now_s)
        self.ended.clear()
        for (pool, target), window in windows.items():
            view = self.tickets.view_of(pool)
            self.tickets.links.send(
                view.dispatcher,
                TargetReport(pool, target, **dataclasses.asdict(window)),
            )

    def interrupt_stalled(self, now_s: float) -> None:
        """Interrupt streams that made no progress for too long."""
        for stream in tuple(self.streams):
            silent_s = now_s - stream.progress_at_s
            if silent_s > self.progress_timeout_s and not stream.is_stalled:
                stream.is_stalled = True
                stream.stall()


def _add_stream(
    window: TargetWindow,
    stream: ObservedStream,
    since_s: float,
    now_s: float,
) -> None:
    """Add what a stream did in the period to its target's sums."""
    until_s = stream.ended_at_s or now_s
    new_tokens = stream.take_new_events(now_s)
    window.streams += 1
    if not stream.first_at_s:
        window.waiting_first += 1
        window.oldest_wait_s = max(
            window.oldest_wait_s,
            until_s - stream.started_at_s,
        )
        return
    if stream.first_at_s >= since_s:
        window.first_tokens += 1
        window.first_token_seconds += stream.first_at_s - stream.started_at_s
    window.tokens += new_tokens
    window.stream_seconds += until_s - max(since_s, stream.first_at_s)
