"""Observation of streams: reports, timeouts and slow streams."""

from dandelionplank.router.observations import (
    EventCount,
    ObservationTask,
    ObservedStream,
    find_slow_streams,
)


class FakeTickets:
    """Replaces the ticket task and its links; records the reports sent."""

    def __init__(self):
        self.reports = []
        self.links = self
        self.dispatcher = 'r0'

    def pool_view(self, pool):
        """Return this object, which has a fixed dispatcher."""
        assert pool
        return self

    def send(self, peer, message):
        """Record a report."""
        assert peer == self.dispatcher
        self.reports.append(message)


def test_ended_stream_is_measured_only_until_its_end():
    """Otherwise a stream shorter than the period would appear slow."""
    tickets = FakeTickets()
    task = ObservationTask(tickets, 0.25, 10)
    response = EventCount(20)
    stream = ObservedStream('p', 't', response, started_at_s=0.0)
    stream.reported_events = 0
    stream.first_event_at_s = 0.01
    task.streams.add(stream)
    task.close(stream)
    stream.ended_at_s = 0.2
    task.report(0.0, 0.25)
    report = tickets.reports[0]
    assert report.tokens == 20
    assert round(report.stream_seconds * 1000) == 190
    task.report(0.25, 0.5)
    assert len(tickets.reports) == 1


def test_stream_without_progress_is_interrupted_once():
    """A stream is interrupted after 10 s without progress, and not again."""
    interrupted = []
    task = ObservationTask(FakeTickets(), 0.25, 10)
    stream = task.open(
        ObservedStream(
            'p', 't', EventCount(), on_stall=lambda: interrupted.append(1)
        )
    )
    task.interrupt_stalled(stream.started_at_s + 9)
    assert not interrupted
    for silent_s in (11, 12):
        task.interrupt_stalled(stream.started_at_s + silent_s)
    assert len(interrupted) == 1


def test_slowed_stream_is_detected_at_any_phase_of_the_samples():
    """A stream is slow at a tenth of the usual rate, not at the usual rate."""
    token_interval_s = 0.01
    for phase in range(10):
        response = EventCount()
        stream = ObservedStream('p', 't', response, started_at_s=0)
        stream.first_event_at_s = 0.01
        late_at_s = None
        for step in range(60):
            now_s = 0.05 * step
            slow_s = max(0.0, now_s - 1 - phase / 100)
            response.events = int(min(now_s, 1) * 100 + slow_s * 10)
            stream.sample(now_s)
            rate = stream.recent_rate(token_interval_s, now_s)
            late = rate is not None and find_slow_streams(
                {stream: rate}, token_interval_s
            )
            if late_at_s is None and late:
                late_at_s = now_s
        assert late_at_s is not None
        assert 11 <= round(late_at_s * 10) <= 13


def test_no_stream_is_slow_when_all_streams_are_equally_slow():
    """A stream is slow only if it is also far slower than the median."""
    streams = [ObservedStream('p', f't{n}', EventCount()) for n in range(5)]
    slow = dict.fromkeys(streams, 5.0)
    assert not find_slow_streams(slow, 0.01)
    slow[streams[0]] = 0.5
    assert find_slow_streams(slow, 0.01) == [streams[0]]


def test_usual_stream_is_not_late_whenever_the_first_report_is_made():
    """A report soon after the first token must not raise the usual rate.

    The first token arrives after 5 ms, the others at 200 a second.
    """
    for report_at_ms in range(6, 60):
        late = []
        task = ObservationTask(FakeTickets(), 0.25, 10)
        response = EventCount()
        stream = task.open(
            ObservedStream(
                'p', 't', response, on_late=late.append, started_at_s=0
            )
        )
        stream.record_first_event(0.005)
        response.events = report_at_ms // 5
        task.report(0, report_at_ms / 1000)
        for step in range(2, 20):
            now_s = 0.05 * step
            response.events = int(now_s * 200)
            task.sample(now_s)
        assert not late, f'reported after {report_at_ms} ms'
