"""A caller's request on its way to a target."""

import dataclasses
import time

from dandelionplank.fairness.waiting import Waiting
from dandelionplank.routing.routes import Route
from dandelionplank.routing.work import RequestFacts

# Cost of a plain call in tokens, for turns among accounts.
PLAIN_COST = 1000.0


@dataclasses.dataclass(slots=True)
class Trace:
    """How a request fared, for its log line.

    :param tries: targets that were tried
    :param target: the last one
    :param waited_s: time until a target was granted
    :param read_tokens: tokens that the target had to read, as estimated
    :param expected_s: expected time from the grant to the first event
    :param first_event_s: time from the grant to the first event
    :param longest_pause_s: longest time between two blocks of events
    """

    tries: int = 0
    target: str = ''
    waited_s: float = 0
    read_tokens: float = 0
    expected_s: float = 0
    first_event_s: float = 0
    tokens_per_s: float = 0
    longest_pause_s: float = 0

    def facts(self) -> dict[str, str | float]:
        """Return what is written to the log line."""
        return {
            'target': self.target,
            'tries': self.tries,
            'waited_s': round(self.waited_s, 3),
            'read_tokens': round(self.read_tokens),
            'expected_s': round(self.expected_s, 3),
            'first_event_s': round(self.first_event_s, 3),
            'tokens_per_s': round(self.tokens_per_s),
            'longest_pause_s': round(self.longest_pause_s, 3),
        }


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request, authenticated and routed.

    :param path: path and query exactly as the caller sent them
    :param account: account of the key, empty on public routes
    :param arrived_s: monotonic time of its arrival
    :param ends_s: monotonic time at which it is given up
    :param first_event_ends_s: monotonic time at which its caller leaves
        unless the answer has begun
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    facts: RequestFacts
    route: Route
    service: str
    account: str
    arrived_s: float
    ends_s: float
    first_event_ends_s: float
    trace: Trace = dataclasses.field(default_factory=Trace)

    @property
    def time_left_s(self) -> float:
        """Seconds until the request is given up."""
        return self.ends_s - time.monotonic()

    def to_waiting(self, avoided: tuple[str, ...]) -> Waiting:
        """Return the request's place among those that wait.

        :param avoided: targets that have failed it
        """
        work = self.facts.work
        return Waiting(
            self.facts.request_id,
            self.account,
            self.route,
            self.service,
            work,
            self.arrived_s,
            min(self.ends_s, self.first_event_ends_s),
            cost=work.cost if work else PLAIN_COST,
            avoided=avoided,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A target's answer that was read to its end."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
