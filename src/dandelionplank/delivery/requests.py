"""A caller's request, its trace, and the complete response to it."""

import dataclasses
import hashlib
import time

from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.routing.crashlog import REQUEST_PREFIX
from dandelionplank.routing.routes import Route
from dandelionplank.routing.work import RequestMetadata

# Cost in tokens of a request to a plain service, for the scheduling order
# among accounts.
PLAIN_COST = 1000.0
IDENTITY_BYTES = 10
LENGTH_BYTES = 4


def cost_of(metadata: RequestMetadata) -> float:
    """Return the cost of a request in tokens, for the scheduling order."""
    return metadata.work.cost if metadata.work else PLAIN_COST


@dataclasses.dataclass(slots=True)
class Trace:
    """Placement and times of a request, for its log line.

    :param tries: targets that were tried
    :param target: the last one
    :param version: its software version
    :param waited_s: time until a target was granted
    :param uncached_tokens: estimated tokens of the prompt not in the cache
    :param expected_s: expected time from the grant to the first event
    :param first_event_s: time from the grant to the first event
    :param tokens_per_s: speed of the target as known here, zero if another
        instance granted it
    :param longest_pause_s: longest time between two blocks of events
    """

    tries: int = 0
    target: str = ''
    version: str = ''
    waited_s: float = 0
    uncached_tokens: float = 0
    expected_s: float = 0
    first_event_s: float = 0
    tokens_per_s: float = 0
    longest_pause_s: float = 0

    def log_fields(self) -> dict[str, str | float]:
        """Return the fields of the log line."""
        return {
            'target': self.target,
            'version': self.version,
            'tries': self.tries,
            'waited_s': round(self.waited_s, 3),
            'read_tokens': round(self.uncached_tokens),
            'expected_s': round(self.expected_s, 3),
            'first_event_s': round(self.first_event_s, 3),
            'tokens_per_s': round(self.tokens_per_s),
            'longest_pause_s': round(self.longest_pause_s, 3),
        }


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request, authenticated and routed.

    :param path: path and query exactly as the caller sent them
    :param account: account of the key, empty on public routes
    :param arrived_s: monotonic time of its arrival
    :param deadline_s: monotonic time at which it times out
    :param first_event_deadline_s: monotonic time at which its caller
        disconnects unless the response has started
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    metadata: RequestMetadata
    route: Route
    service: str
    account: str
    arrived_s: float
    deadline_s: float
    first_event_deadline_s: float
    trace: Trace = dataclasses.field(default_factory=Trace)

    @property
    def time_left_s(self) -> float:
        """Seconds until the request times out."""
        return self.deadline_s - time.monotonic()

    @property
    def cost(self) -> float:
        """Cost in tokens, for the scheduling order among accounts."""
        return cost_of(self.metadata)

    @property
    def work_key(self) -> tuple[str, str]:
        """Account and service, for which refusals are repeated."""
        return self.account, self.service

    def identity(self, version: str) -> str:
        """Return what the repetitions of this request have in common.

        A digest, because it appears in logs and in messages to instances.

        :param version: software version of the target that executes it
        """
        digest = hashlib.blake2b(digest_size=IDENTITY_BYTES)
        for text in (self.account, self.method, self.path, version):
            encoded = text.encode('utf-8', 'surrogateescape')
            digest.update(len(encoded).to_bytes(LENGTH_BYTES, 'big'))
            digest.update(encoded)
        digest.update(self.body)
        return REQUEST_PREFIX + digest.hexdigest()

    def to_waiting_request(
        self, avoided: tuple[str, ...], versions: tuple[str, ...] = ()
    ) -> WaitingRequest:
        """Return the request as the scheduler queues it.

        :param avoided: targets that were already tried
        :param versions: software versions that may take it, none for any
        """
        return WaitingRequest(
            self.metadata.request_id,
            self.account,
            self.route.objective_s,
            self.service,
            self.metadata.work,
            self.arrived_s,
            min(self.deadline_s, self.first_event_deadline_s),
            cost=self.cost,
            avoided=avoided,
            versions=versions,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A target's response that was read to its end."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
