"""Progress of a request over its attempts, and its log fields."""

import dataclasses
import time

from dandelionplank.delivery.events import StreamEvent
from dandelionplank.delivery.requests import CallerRequest, CompleteResponse
from dandelionplank.errors import DandelionplankError, Outcome
from dandelionplank.routing.scheduler import Grant


@dataclasses.dataclass(slots=True)
class Progress:
    """State of a request over its attempts.

    :param possible_executions: targets that may have executed the request
    :param tries: targets that were tried
    :param last_event_id: last event passed to the caller, None before the
        first one
    :param error_response: a target's complete response with a server error
    :param reserved: target that is to resume the stream, None if the next
        attempt still has to acquire one
    :param versions: software versions of the targets that may be tried, none
        for any
    """

    possible_executions: int = 0
    tries: int = 0
    is_started: bool = False
    last_event_id: int | None = None
    error_response: CompleteResponse | None = None
    avoided: tuple[str, ...] = ()
    reserved: Grant | None = None
    versions: tuple[str, ...] = ()

    def allows(self, grant: Grant) -> bool:
        """Return whether a granted target may be sent the request."""
        version = grant.load.target.version
        return not self.versions or version in self.versions

    def take_reserved(self) -> Grant | None:
        """Return the reserved target for the next attempt, if there is one."""
        grant = self.reserved
        self.reserved = None
        return grant

    def final_response(self, error: DandelionplankError) -> CompleteResponse:
        """Return a target's error response, or raise the last error.

        :param error: its outcome stays "not run" only if no target may have
            executed the request
        """
        if self.error_response:
            return self.error_response
        if self.possible_executions:
            error.outcome = Outcome.UNKNOWN
        raise error

    @property
    def resume_point(self) -> str:
        """Id of the last event passed on, empty before the first one."""
        return '' if self.last_event_id is None else str(self.last_event_id)


def new_events(events: list[StreamEvent], progress: Progress) -> bytes:
    """Return the events that were not passed to the caller yet."""
    fresh = []
    for event in events:
        if event.event_id is not None:
            last = progress.last_event_id
            if last is not None and event.event_id <= last:
                continue
            progress.last_event_id = event.event_id
        fresh.append(event.raw)
    return b''.join(fresh)


def record_grant(request: CallerRequest, grant: Grant) -> None:
    """Record the grant of an attempt for the log line."""
    trace = request.trace
    trace.tries += 1
    trace.target = grant.load.target.name
    trace.version = grant.load.target.version
    trace.waited_s = grant.sent.sent_s - request.arrived_s
    trace.uncached_tokens = grant.sent.uncached_tokens
    trace.expected_s = grant.expected_s
    # Another instance that granted the target knows its speed.
    is_own = grant.ticket_number < 0
    trace.tokens_per_s = grant.load.tokens_per_s if is_own else 0


def record_first_event(request: CallerRequest, grant: Grant) -> bool:
    """Record the time to the first event for the log line.

    :return: whether it is the first one of the request
    """
    if request.trace.first_event_s:
        return False
    request.trace.first_event_s = time.monotonic() - grant.sent.sent_s
    return True


def record_pause(request: CallerRequest, last_passed_s: float) -> float:
    """Record the longest pause for the log line and return the current time.

    :param last_passed_s: when the previous events were passed on, zero if
        there were none
    """
    now_s = time.monotonic()
    if last_passed_s:
        trace = request.trace
        trace.longest_pause_s = max(
            trace.longest_pause_s, now_s - last_passed_s
        )
    return now_s
