"""How far a request has come, and what its log line will tell."""

import dataclasses
import time

from dandelionplank.delivery.events import StreamEvent
from dandelionplank.delivery.requests import CallerRequest, WholeAnswer
from dandelionplank.errors import DandelionplankError, Outcome
from dandelionplank.routing.scheduler import Grant


@dataclasses.dataclass(slots=True)
class Progress:
    """What has happened to a request so far.

    :param runs: targets that have got the request and may have run it
    :param tries: targets that were tried
    :param last_event_id: last event that the caller got, none before
    :param failure: a target's whole answer that reports a failure
    """

    runs: int = 0
    tries: int = 0
    is_started: bool = False
    last_event_id: int | None = None
    failure: WholeAnswer | None = None
    avoided: tuple[str, ...] = ()

    def last_answer(self, error: DandelionplankError) -> WholeAnswer:
        """Return a target's own failure, or raise what ended the request.

        :param error: it says "not run" afterwards only if no target may have
            run the request
        """
        if self.failure:
            return self.failure
        if self.runs:
            error.outcome = Outcome.UNKNOWN
        raise error

    @property
    def resume_point(self) -> str:
        """Id of the last event passed on, empty before the first one."""
        return '' if self.last_event_id is None else str(self.last_event_id)


def new_events(events: list[StreamEvent], progress: Progress) -> bytes:
    """Return the events that the caller does not have yet."""
    fresh = []
    for event in events:
        if event.event_id is not None:
            last = progress.last_event_id
            if last is not None and event.event_id <= last:
                continue
            progress.last_event_id = event.event_id
        fresh.append(event.raw)
    return b''.join(fresh)


def note_grant(request: CallerRequest, grant: Grant) -> None:
    """Keep for the log line what decided the attempt."""
    trace = request.trace
    trace.tries += 1
    trace.target = grant.load.target.name
    trace.waited_s = grant.sent.sent_s - request.arrived_s
    trace.read_tokens = grant.sent.read_tokens
    trace.expected_s = grant.expected_s
    trace.tokens_per_s = grant.load.tokens_per_s


def note_first_event(request: CallerRequest, grant: Grant) -> None:
    """Keep for the log line how long the target took to begin."""
    if not request.trace.first_event_s:
        request.trace.first_event_s = time.monotonic() - grant.sent.sent_s


def note_pause(request: CallerRequest, passed_s: float) -> float:
    """Keep the longest pause for the log line and return the time.

    :param passed_s: when the events before were passed on, zero if none were
    """
    now_s = time.monotonic()
    if passed_s:
        trace = request.trace
        trace.longest_pause_s = max(trace.longest_pause_s, now_s - passed_s)
    return now_s
