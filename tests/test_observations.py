"""What entries report of targets."""

from dandelionplank.router.observations import (
    EventCount,
    ObservationTask,
    ObservedStream,
    find_slow_streams,
)


class SentReports:
    """Stands in for tickets and links and keeps what is sent."""

    def __init__(self):
        self.reports = []
        self.links = self
        self.dispatcher = 'r0'

    def view_of(self, pool):
        """Return a view whose dispatcher is fixed."""
        assert pool
        return self

    def send(self, peer, message):
        """Keep a message."""
        assert peer == self.dispatcher
        self.reports.append(message)


def test_a_stream_that_has_ended_counts_only_its_own_time():
    """A short stream does not look slow because the period is longer."""
    sent = SentReports()
    task = ObservationTask(sent, 0.25, 10)
    answer = EventCount(20)
    stream = ObservedStream('p', 't', answer, started_at_s=0.0)
    stream.reported_events = 0
    stream.first_event_at_s = 0.01
    task.streams.add(stream)
    task.close(stream)
    stream.ended_at_s = 0.2
    task.report(0.0, 0.25)
    report = sent.reports[0]
    assert report.tokens == 20
    assert round(report.stream_seconds * 1000) == 190
    task.report(0.25, 0.5)
    assert len(sent.reports) == 1


def test_a_silent_stream_is_interrupted_once():
    """A stream without progress is interrupted when its time is over."""
    interrupted = []
    task = ObservationTask(SentReports(), 0.25, 10)
    stream = task.open(
        ObservedStream(
            'p', 't', EventCount(), stall=lambda: interrupted.append(1)
        )
    )
    task.interrupt_stalled(stream.started_at_s + 9)
    assert not interrupted
    for seconds in (11, 12):
        task.interrupt_stalled(stream.started_at_s + seconds)
    assert len(interrupted) == 1


def test_a_stream_that_turns_slow_is_noticed_whatever_the_phase():
    """A stream at a tenth of the usual pace lags, one at the pace does not."""
    token_interval_s = 0.01
    for phase in range(10):
        answer = EventCount()
        stream = ObservedStream('p', 't', answer, started_at_s=0)
        stream.first_event_at_s = 0.01
        late_at = None
        for step in range(60):
            now_s = 0.05 * step
            slow_s = max(0.0, now_s - 1 - phase / 100)
            answer.events = int(min(now_s, 1) * 100 + slow_s * 10)
            stream.sample(now_s)
            rate = stream.recent_rate(token_interval_s, now_s)
            late = rate is not None and find_slow_streams(
                {stream: rate}, token_interval_s
            )
            if late_at is None and late:
                late_at = now_s
        assert late_at is not None
        assert 11 <= round(late_at * 10) <= 13


def test_streams_that_are_all_slow_do_not_move():
    """Only a stream that is slower than the rest has somewhere to go."""
    streams = [ObservedStream('p', f't{n}', EventCount()) for n in range(5)]
    slow = dict.fromkeys(streams, 5.0)
    assert not find_slow_streams(slow, 0.01)
    slow[streams[0]] = 0.5
    assert find_slow_streams(slow, 0.01) == [streams[0]]
