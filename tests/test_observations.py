"""What entries report of targets."""

from dandelionplank.router.observations import (
    EventCount,
    ObservationTask,
    ObservedStream,
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
    stream = ObservedStream('p', 't', 0.0, lambda: None, answer)
    stream.first_at_s = 0.01
    task.streams.add(stream)
    task.close(stream)
    stream.ended_at_s = 0.2
    task.report(0.0, 0.25)
    report = sent.reports[0]
    assert report.tokens == 20
    assert abs(report.stream_seconds - 0.19) < 1e-9
    task.report(0.25, 0.5)
    assert len(sent.reports) == 1


def test_a_silent_stream_is_interrupted_once():
    """A stream without progress is interrupted when its time is over."""
    interrupted = []
    task = ObservationTask(SentReports(), 0.25, 10)
    stream = task.open('p', 't', lambda: interrupted.append(1), EventCount())
    task.interrupt_stalled(stream.started_at_s + 9)
    assert not interrupted
    for seconds in (11, 12):
        task.interrupt_stalled(stream.started_at_s + seconds)
    assert interrupted == [1]
