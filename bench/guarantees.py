"""Checks the gateways' guarantees against callers' and targets' records."""

import dataclasses
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path

from bench.platform import COMPLETE_STREAM
from dandelionplank_standins.platformtarget import ExecutedRequest

# Path prefixes, and whether a request to the path is retryable.
RETRYABLE_BY_PREFIX = {
    '/chat/': False,
    '/draft/': True,
    '/book/': False,
    '/look/': True,
    '/mine/': True,
}
STREAM_PREFIXES = ('/chat/', '/draft/')
KEYED_PREFIXES = ('/chat/', '/draft/', '/mine/')
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
HTTP_OK = 200
# Time after the store's acknowledgement from which an order to evacuate a data
# centre is in force: 5 s, and 6 s more because the soak makes the store fail.
# It covers the pauses of the relays, which hold requests back for up to 3 s.
EVACUATED_AFTER_S = 5.0
UNSTABLE_STORE_S = 6.0


@dataclasses.dataclass(slots=True)
class Evacuation:
    """A time in which the store held an order to evacuate a data centre.

    :param start_s: monotonic time at which the store held the order
    :param end_s: monotonic time from which it did not, infinite if it does
    """

    data_center: str
    start_s: float
    end_s: float = math.inf

    def forbids(self, now_s: float) -> bool:
        """Return whether no request may reach the data centre at a time."""
        in_force_s = self.start_s + EVACUATED_AFTER_S + UNSTABLE_STORE_S
        return in_force_s < now_s < self.end_s


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller and its response.

    :param status: zero until a complete response has arrived
    :param gateway: number of the gateway that it was sent to
    """

    request_id: str
    prefix: str
    key: str
    gateway: int
    sent_s: float
    status: int = 0
    body: bytes = b''

    @property
    def is_retryable(self) -> bool:
        """Return whether the request is retryable."""
        return RETRYABLE_BY_PREFIX[self.prefix]


def unrequested_runs(
    sent: Mapping[str, Call], runs: Iterable[ExecutedRequest]
) -> list[str]:
    """Return runs whose request id or body no caller has sent."""
    return [
        f'{run.request_id} ran, but no caller sent it with this body'
        for run in runs
        if run.request_id not in sent or run.body != run.request_id.encode()
    ]


def duplicate_runs(
    sent: Mapping[str, Call], runs: Iterable[ExecutedRequest]
) -> list[str]:
    """Return requests that ran more than once and are not retryable."""
    counts = Counter(run.request_id for run in runs)
    return [
        f'{request_id} ran {count} times'
        for request_id, count in counts.items()
        if count > 1
        and request_id in sent
        and not sent[request_id].is_retryable
    ]


def refused_runs(
    sent: Mapping[str, Call], runs: Iterable[ExecutedRequest]
) -> list[str]:
    """Return requests that ran although their status says that they did not."""
    calls = (sent[run.request_id] for run in runs if run.request_id in sent)
    return [
        f'{call.request_id} ran, but its caller got status {call.status}'
        for call in calls
        if call.status in NOT_EXECUTED_STATUSES and not call.is_retryable
    ]


def revoked_key_runs(
    sent: Mapping[str, Call],
    runs: Iterable[ExecutedRequest],
    valid_until_s: Mapping[str, float],
) -> list[str]:
    """Return requests that ran, but were sent after their key's revocation.

    :param valid_until_s: monotonic time after which a request with the key
        must be refused
    """
    calls = (sent[run.request_id] for run in runs if run.request_id in sent)
    return [
        f'{call.request_id} ran with a revoked key'
        for call in calls
        if call.prefix in KEYED_PREFIXES
        and call.sent_s > valid_until_s.get(call.key, call.sent_s)
    ]


def evacuated_runs(
    runs: Mapping[str, Iterable[ExecutedRequest]],
    evacuations: Iterable[Evacuation],
) -> list[str]:
    """Return requests that ran in a data centre while that was evacuated.

    :param runs: what the targets of each data centre executed
    """
    return [
        f'{run.request_id} ran in the evacuated data centre '
        f'{evacuation.data_center}, '
        f'{run.started_at_s - evacuation.start_s:.2f} s after the order'
        for evacuation in evacuations
        for run in runs.get(evacuation.data_center, ())
        if evacuation.forbids(run.started_at_s)
    ]


def joined_streams(
    sent: Mapping[str, Call], runs: Iterable[ExecutedRequest]
) -> list[str]:
    """Return streams that went on at another software version."""
    last_versions: dict[str, str] = {}
    joined = []
    for run in sorted(runs, key=lambda each: each.started_at_s):
        before = last_versions.get(run.request_id, run.version)
        last_versions[run.request_id] = run.version
        is_resumed = 'Last-Event-Id' in run.headers
        if is_resumed and run.request_id in sent and before != run.version:
            joined.append(
                f'{run.request_id} went on at {run.version} after {before}'
            )
    return joined


def incorrect_responses(calls: Iterable[Call]) -> list[str]:
    """Return successes whose body is not the target's complete response."""
    incorrect = []
    for call in calls:
        expected = call.request_id.encode()
        if call.prefix in STREAM_PREFIXES:
            expected = COMPLETE_STREAM
        if call.status == HTTP_OK and call.body != expected:
            incorrect.append(f'{call.request_id} got {call.body[:80]!r}')
    return incorrect


def unstructured_log_lines(logs: Iterable[Path]) -> list[str]:
    """Return log lines that are not structured events."""
    return [
        f'{log.name}: {line[:120]!r}'
        for log in logs
        for line in log.read_bytes().splitlines()
        if not line.startswith(b'{"time":')
    ]
