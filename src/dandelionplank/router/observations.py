"""Observes targets through this entry's streams, for the dispatchers."""

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
SAMPLE_PERIOD_S = 0.05
LATE_FACTOR = 4.0
MIN_LATE_WAIT_S = 0.05
LATE_WINDOW_S = 0.12
LATE_WINDOW_INTERVALS = 8.0
MAX_SAMPLES = 40
MIN_COMPARED_STREAMS = 3
MAX_FIRST_TOKEN_WAITS = 200
MIN_FIRST_TOKEN_WAITS = 20
FIRST_TOKEN_QUANTILE = 0.95
FIRST_TOKEN_FACTOR = 2.0
INTERVAL_SMOOTHING = 0.3


class HasEventCount(Protocol):
    """Counts the events of a response as they arrive."""

    events: int


@dataclasses.dataclass
class EventCount:
    """Holds the event count of a response that arrives in one piece."""

    events: int = 0


@dataclasses.dataclass(frozen=True)
class EventSample:
    """Holds how many events had arrived at a given time."""

    at_s: float
    events: int


@dataclasses.dataclass(eq=False)
class ObservedStream:
    """Holds the progress of an attempt whose response is being received.

    :param response: counts the events that have arrived
    :param on_stall: called once when the stream makes no progress for too long
    :param on_late: called with the target if the first token is late or the
        rate low compared with the pool
    :param is_short: its prompt is short, so a late first token indicates a
        slow target
    :param reported_events: events included in earlier reports
    :param sampled_events: events that had arrived at the last sample
    """

    pool: str
    target: str
    response: HasEventCount
    on_stall: StallHandler | None = None
    on_late: LateHandler | None = None
    is_short: bool = False
    started_at_s: float = dataclasses.field(default_factory=time.monotonic)
    reported_events: int = 0
    sampled_events: int = 0
    samples: deque[EventSample] = dataclasses.field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES),
    )
    progress_at_s: float = 0
    first_event_at_s: float = 0
    ended_at_s: float = 0
    is_stalled: bool = False

    def __post_init__(self) -> None:
        """Start from the events of earlier segments of the response."""
        self.progress_at_s = self.started_at_s
        self.reported_events = self.response.events
        self.sampled_events = self.response.events

    def record_first_event(self, now_s: float) -> None:
        """Record when the first event arrived."""
        if not self.first_event_at_s:
            self.first_event_at_s = now_s

    def sample(self, now_s: float) -> None:
        """Record how many events have arrived until now."""
        events = self.response.events
        if events != self.sampled_events:
            self.sampled_events = events
            self.progress_at_s = now_s
        if self.first_event_at_s:
            self.samples.append(EventSample(now_s, events))

    def recent_rate(
        self, token_interval_s: float, now_s: float
    ) -> float | None:
        """Return events per second in a recent window, None if too new.

        :param token_interval_s: usual time between events
        """
        window_s = max(LATE_WINDOW_S, LATE_WINDOW_INTERVALS * token_interval_s)
        earlier = [
            each for each in self.samples if each.at_s <= now_s - window_s
        ]
        if not earlier:
            return None
        span_s = now_s - earlier[-1].at_s
        return (self.response.events - earlier[-1].events) / span_s

    def take_new_events(self) -> int:
        """Return how many events have arrived since the last report."""
        new = self.response.events - self.reported_events
        self.reported_events = self.response.events
        return new


@dataclasses.dataclass
class TargetWindow:
    """Holds sums over the streams of one target in one report period."""

    streams: int = 0
    tokens: int = 0
    stream_seconds: float = 0
    first_tokens: int = 0
    first_token_seconds: float = 0
    waiting_first: int = 0
    oldest_wait_s: float = 0


class ObservationTask:
    """Samples all open streams periodically.

    No work is done per chunk: timeouts, comparisons and reports are handled
    periodically for all streams together.
    """

    def __init__(
        self,
        tickets: TicketTask,
        period_s: float,
        progress_timeout_s: float,
    ) -> None:
        """Set the periods of reports and timeouts.

        :param tickets: knows the dispatcher of each pool
        :param period_s: time between reports
        :param progress_timeout_s: longest time without progress, after which
            a stream is interrupted
        """
        self.tickets = tickets
        self.period_s = period_s
        self.progress_timeout_s = progress_timeout_s
        self.streams: set[ObservedStream] = set()
        self.ended: list[ObservedStream] = []
        self.token_intervals_s: dict[str, float] = {}
        self.first_token_waits_s: dict[str, deque[float]] = {}

    def open(self, stream: ObservedStream) -> ObservedStream:
        """Start to observe an attempt."""
        self.streams.add(stream)
        return stream

    def close(self, stream: ObservedStream) -> None:
        """Stop observing an attempt; the next report still includes it."""
        self.streams.discard(stream)
        stream.ended_at_s = time.monotonic()
        self.ended.append(stream)

    async def run(self) -> None:
        """Sample all streams; report them once a period."""
        reported_at_s = time.monotonic()
        while True:
            await asyncio.sleep(
                SAMPLE_PERIOD_S if self.streams else self.period_s
            )
            now_s = time.monotonic()
            self.sample(now_s)
            if now_s - reported_at_s >= self.period_s:
                self.report(reported_at_s, now_s)
                reported_at_s = now_s

    def sample(self, now_s: float) -> None:
        """Sample all streams and call the handlers of late and stalled ones."""
        for stream in tuple(self.streams):
            stream.sample(now_s)
        for late_stream in self._late_streams(now_s):
            if late_stream.on_late:
                late_stream.on_late(late_stream.target)
        self.interrupt_stalled(now_s)

    def report(self, since_s: float, now_s: float) -> None:
        """Send the sums of a period to the dispatchers."""
        windows: dict[tuple[str, str], TargetWindow] = {}
        for stream in (*self.streams, *self.ended):
            key = (stream.pool, stream.target)
            window = windows.setdefault(key, TargetWindow())
            _add_stream(window, stream, since_s, now_s)
            if stream.is_short and stream.first_event_at_s >= since_s:
                self._record_first_token_wait(stream)
        self.ended.clear()
        self._update_token_intervals(windows)
        for (pool, target), window in windows.items():
            view = self.tickets.pool_view(pool)
            self.tickets.links.send(
                view.dispatcher,
                TargetReport(pool, target, **dataclasses.asdict(window)),
            )

    def interrupt_stalled(self, now_s: float) -> None:
        """Interrupt streams that have made no progress for too long."""
        for stream in tuple(self.streams):
            silent_s = now_s - stream.progress_at_s
            if silent_s < self.progress_timeout_s or stream.is_stalled:
                continue
            stream.is_stalled = True
            if stream.on_stall:
                stream.on_stall()

    def _late_streams(self, now_s: float) -> list[ObservedStream]:
        """Return the streams whose first token is late or whose rate is low.

        Rates are compared with the pool's usual rate and current median:
        when all are slow at once, none is returned, because there is no
        better target to move to.
        """
        late_streams = [
            stream
            for stream in self.streams
            if not stream.first_event_at_s
            and self._is_first_token_late(stream, now_s)
        ]
        rates: dict[str, dict[ObservedStream, float]] = {}
        for stream in self.streams:
            token_interval_s = self.token_intervals_s.get(stream.pool)
            if not stream.first_event_at_s or token_interval_s is None:
                continue
            rate = stream.recent_rate(token_interval_s, now_s)
            if rate is not None:
                rates.setdefault(stream.pool, {})[stream] = rate
        for pool, by_stream in rates.items():
            late_streams.extend(
                find_slow_streams(by_stream, self.token_intervals_s[pool])
            )
        return late_streams

    def _is_first_token_late(
        self, stream: ObservedStream, now_s: float
    ) -> bool:
        """Return whether a short prompt waits too long for its first token."""
        waits_s = self.first_token_waits_s.get(stream.pool, ())
        if not stream.is_short or len(waits_s) < MIN_FIRST_TOKEN_WAITS:
            return False
        usual_s = sorted(waits_s)[int(len(waits_s) * FIRST_TOKEN_QUANTILE)]
        waited_s = now_s - stream.started_at_s
        return waited_s > max(MIN_LATE_WAIT_S, FIRST_TOKEN_FACTOR * usual_s)

    def _record_first_token_wait(self, stream: ObservedStream) -> None:
        """Record how long a short prompt waited for its first token."""
        waits_s = self.first_token_waits_s.setdefault(
            stream.pool,
            deque(maxlen=MAX_FIRST_TOKEN_WAITS),
        )
        waits_s.append(stream.first_event_at_s - stream.started_at_s)

    def _update_token_intervals(
        self,
        windows: dict[tuple[str, str], TargetWindow],
    ) -> None:
        """Update each pool's usual time between tokens."""
        samples: dict[str, list[float]] = {}
        for (pool, _target), window in windows.items():
            # No interval precedes the first token of a stream.
            intervals = window.tokens - window.first_tokens
            if intervals > 0:
                token_interval_s = window.stream_seconds / intervals
                samples.setdefault(pool, []).append(token_interval_s)
        for pool, intervals_s in samples.items():
            usual_s = median(intervals_s)
            current_s = self.token_intervals_s.get(pool, usual_s)
            change_s = INTERVAL_SMOOTHING * (usual_s - current_s)
            self.token_intervals_s[pool] = current_s + change_s


def _add_stream(
    window: TargetWindow,
    stream: ObservedStream,
    since_s: float,
    now_s: float,
) -> None:
    """Add a stream's activity in the period to its target's sums."""
    until_s = stream.ended_at_s or now_s
    new_tokens = stream.take_new_events()
    window.streams += 1
    if not stream.first_event_at_s:
        window.waiting_first += 1
        window.oldest_wait_s = max(
            window.oldest_wait_s,
            until_s - stream.started_at_s,
        )
        return
    if stream.first_event_at_s >= since_s:
        window.first_tokens += 1
        window.first_token_seconds += (
            stream.first_event_at_s - stream.started_at_s
        )
    window.tokens += new_tokens
    window.stream_seconds += until_s - max(since_s, stream.first_event_at_s)


def find_slow_streams(
    rates: Mapping[ObservedStream, float],
    token_interval_s: float,
) -> list[ObservedStream]:
    """Return the streams far slower than usual and than the median.

    :param rates: events per second of one pool's streams
    :param token_interval_s: usual time between the pool's events
    """
    min_rate = 1 / (LATE_FACTOR * token_interval_s)
    if len(rates) >= MIN_COMPARED_STREAMS:
        min_rate = min(min_rate, median(rates.values()) / LATE_FACTOR)
    return [stream for stream, rate in rates.items() if rate < min_rate]
