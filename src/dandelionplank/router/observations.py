"""What this entry sees of the targets, reported to the dispatchers."""

import asyncio
import dataclasses
import time
from collections import deque
from collections.abc import Callable, Mapping
from statistics import median
from typing import Protocol

from dandelionplank.messages import TargetReport
from dandelionplank.router.tickets import TicketTask

StallHandler = Callable[[], None]
LateHandler = Callable[[str], None]
SAMPLE_S = 0.05
LATE_FACTOR = 4.0
LATE_FLOOR_S = 0.05
LATE_WINDOW_S = 0.12
LATE_WINDOW_PACES = 8.0
KEPT_SAMPLES = 40
LEAST_STREAMS = 3
KEPT_FIRST_TOKENS = 200
LEAST_FIRST_TOKENS = 20
FIRST_TOKEN_QUANTILE = 0.95
FIRST_TOKEN_FACTOR = 2.0
PACE_SMOOTHING = 0.3


class Counted(Protocol):
    """Counts the events of an answer as they arrive."""

    events: int


@dataclasses.dataclass
class EventCount:
    """A count of events for answers that come in one piece."""

    events: int = 0


@dataclasses.dataclass(frozen=True)
class EventSample:
    """How many events had arrived at a moment."""

    at_s: float
    events: int


@dataclasses.dataclass(eq=False)
class ObservedStream:
    """An attempt whose answer is arriving.

    :param answer: counts the events that have arrived
    :param stall: called once when it makes no progress for too long
    :param late: called with the target when the stream lags behind its pool
    :param is_short: its prompt is short, so a late first token means a slow
        target
    """

    pool: str
    target: str
    answer: Counted
    stall: StallHandler | None = None
    late: LateHandler | None = None
    is_short: bool = False
    started_at_s: float = dataclasses.field(default_factory=time.monotonic)
    seen_events: int = 0
    last_events: int = 0
    samples: deque[EventSample] = dataclasses.field(
        default_factory=lambda: deque(maxlen=KEPT_SAMPLES),
    )
    progress_at_s: float = 0
    first_at_s: float = 0
    ended_at_s: float = 0
    is_stalled: bool = False

    def __post_init__(self) -> None:
        """Count what an earlier segment of the answer has brought."""
        self.progress_at_s = self.started_at_s
        self.seen_events = self.answer.events
        self.last_events = self.answer.events

    def note_first(self, now_s: float) -> None:
        """Note when the first event arrived."""
        if not self.first_at_s:
            self.first_at_s = now_s

    def sample(self, now_s: float) -> None:
        """Note how many events have arrived until now."""
        events = self.answer.events
        if events != self.last_events:
            self.last_events = events
            self.progress_at_s = now_s
        if self.first_at_s:
            self.samples.append(EventSample(now_s, events))

    def recent_rate(self, pace_s: float, now_s: float) -> float | None:
        """Return events a second over the last moments, none if too new.

        :param pace_s: usual time between events
        """
        window_s = max(LATE_WINDOW_S, LATE_WINDOW_PACES * pace_s)
        earlier = [
            each for each in self.samples if each.at_s <= now_s - window_s
        ]
        if not earlier:
            return None
        span_s = now_s - earlier[-1].at_s
        return (self.answer.events - earlier[-1].events) / span_s

    def take_new_events(self) -> int:
        """Return how many events have arrived since the last report."""
        new = self.answer.events - self.seen_events
        self.seen_events = self.answer.events
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
        self.pace_s: dict[str, float] = {}
        self.first_s: dict[str, deque[float]] = {}

    def open(self, stream: ObservedStream) -> ObservedStream:
        """Begin to observe an attempt."""
        self.streams.add(stream)
        return stream

    def close(self, stream: ObservedStream) -> None:
        """End the observation of an attempt."""
        self.streams.discard(stream)
        stream.ended_at_s = time.monotonic()
        self.ended.append(stream)

    async def run(self) -> None:
        """Sample all streams; report them once a period."""
        reported_at_s = time.monotonic()
        while True:
            await asyncio.sleep(SAMPLE_S if self.streams else self.period_s)
            now_s = time.monotonic()
            self.sample(now_s)
            if now_s - reported_at_s >= self.period_s:
                self.report(reported_at_s, now_s)
                reported_at_s = now_s

    def sample(self, now_s: float) -> None:
        """Look for streams that lag or have stalled."""
        for stream in tuple(self.streams):
            stream.sample(now_s)
        for late in self._late_streams(now_s):
            if late.late:
                late.late(late.target)
        self.interrupt_stalled(now_s)

    def report(self, since_s: float, now_s: float) -> None:
        """Send the sums of a period to the dispatchers."""
        windows: dict[tuple[str, str], TargetWindow] = {}
        for stream in (*self.streams, *self.ended):
            key = (stream.pool, stream.target)
            window = windows.setdefault(key, TargetWindow())
            _add_stream(window, stream, since_s, now_s)
            if stream.is_short and stream.first_at_s >= since_s:
                self._learn_first(stream)
        self.ended.clear()
        self._learn_pace(windows)
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
            if silent_s < self.progress_timeout_s or stream.is_stalled:
                continue
            stream.is_stalled = True
            if stream.stall:
                stream.stall()

    def _late_streams(self, now_s: float) -> list[ObservedStream]:
        """Return the streams that lag behind the usual and behind the rest.

        When all streams of a pool are slow at once, none is late: there is
        no better target to move to.
        """
        late = [
            stream
            for stream in self.streams
            if not stream.first_at_s and self._is_first_late(stream, now_s)
        ]
        rates: dict[str, dict[ObservedStream, float]] = {}
        for stream in self.streams:
            pace_s = self.pace_s.get(stream.pool)
            if not stream.first_at_s or pace_s is None:
                continue
            rate = stream.recent_rate(pace_s, now_s)
            if rate is not None:
                rates.setdefault(stream.pool, {})[stream] = rate
        for pool, by_stream in rates.items():
            late.extend(find_laggards(by_stream, self.pace_s[pool]))
        return late

    def _is_first_late(self, stream: ObservedStream, now_s: float) -> bool:
        """Tell whether a short prompt waits too long for its first token."""
        firsts = self.first_s.get(stream.pool, ())
        if not stream.is_short or len(firsts) < LEAST_FIRST_TOKENS:
            return False
        usual_s = sorted(firsts)[int(len(firsts) * FIRST_TOKEN_QUANTILE)]
        waited_s = now_s - stream.started_at_s
        return waited_s > max(LATE_FLOOR_S, FIRST_TOKEN_FACTOR * usual_s)

    def _learn_first(self, stream: ObservedStream) -> None:
        """Keep how long a short prompt waited for its first token."""
        firsts = self.first_s.setdefault(
            stream.pool,
            deque(maxlen=KEPT_FIRST_TOKENS),
        )
        firsts.append(stream.first_at_s - stream.started_at_s)

    def _learn_pace(
        self,
        windows: dict[tuple[str, str], TargetWindow],
    ) -> None:
        """Keep each pool's usual time between tokens."""
        samples: dict[str, list[float]] = {}
        for (pool, _target), window in windows.items():
            if window.tokens:
                pace_s = window.stream_seconds / window.tokens
                samples.setdefault(pool, []).append(pace_s)
        for pool, paces in samples.items():
            usual_s = median(paces)
            present_s = self.pace_s.get(pool, usual_s)
            change_s = PACE_SMOOTHING * (usual_s - present_s)
            self.pace_s[pool] = present_s + change_s


def _add_stream(
    window: TargetWindow,
    stream: ObservedStream,
    since_s: float,
    now_s: float,
) -> None:
    """Add what a stream did in the period to its target's sums."""
    until_s = stream.ended_at_s or now_s
    new_tokens = stream.take_new_events()
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


def find_laggards(
    rates: Mapping[ObservedStream, float],
    pace_s: float,
) -> list[ObservedStream]:
    """Return the streams far slower than the usual and than the median.

    :param rates: events a second of one pool's streams
    :param pace_s: usual time between the pool's events
    """
    limit = 1 / (LATE_FACTOR * pace_s)
    if len(rates) >= LEAST_STREAMS:
        limit = min(limit, median(rates.values()) / LATE_FACTOR)
    return [stream for stream, rate in rates.items() if rate < limit]
