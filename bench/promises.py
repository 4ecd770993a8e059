"""Promises of gateways, checked from what callers and targets saw."""

import dataclasses
from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path

from bench.platform import WHOLE_STREAM
from dandelionplank_standins.platformengine import Run

# Paths, and whether a request to it may run a second time.
KINDS = {
    '/chat/': False,
    '/draft/': True,
    '/book/': False,
    '/look/': True,
    '/mine/': True,
}
STREAMS = ('/chat/', '/draft/')
KEYED = ('/chat/', '/draft/', '/mine/')
NOT_RUN = frozenset((408, 421, 429, 503))
SUCCESS = 200


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller and what it got.

    :param status: zero while there is no whole answer
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
    def may_repeat(self) -> bool:
        """Whether the request may run a second time."""
        return KINDS[self.prefix]


def unasked_runs(sent: Mapping[str, Call], runs: Iterable[Run]) -> list[str]:
    """Return runs that no caller asked for."""
    return [
        f'{run.request_id} ran, but was not sent so'
        for run in runs
        if run.request_id not in sent or run.body != run.request_id.encode()
    ]


def repeated_runs(sent: Mapping[str, Call], runs: Iterable[Run]) -> list[str]:
    """Return requests that ran more often than they may."""
    counts = Counter(run.request_id for run in runs)
    return [
        f'{request_id} ran {count} times'
        for request_id, count in counts.items()
        if count > 1 and request_id in sent and not sent[request_id].may_repeat
    ]


def denied_runs(sent: Mapping[str, Call], runs: Iterable[Run]) -> list[str]:
    """Return requests that ran although their callers were told otherwise."""
    calls = (sent[run.request_id] for run in runs if run.request_id in sent)
    return [
        f'{call.request_id} ran, and got {call.status}'
        for call in calls
        if call.status in NOT_RUN and not call.may_repeat
    ]


def revoked_runs(
    sent: Mapping[str, Call],
    runs: Iterable[Run],
    last_use_s: Mapping[str, float],
) -> list[str]:
    """Return requests that ran with a key revoked long before.

    :param last_use_s: monotonic time after which a key admits no request
    """
    calls = (sent[run.request_id] for run in runs if run.request_id in sent)
    return [
        f'{call.request_id} ran with a revoked key'
        for call in calls
        if call.prefix in KEYED
        and call.sent_s > last_use_s.get(call.key, call.sent_s)
    ]


def foreign_answers(calls: Iterable[Call]) -> list[str]:
    """Return successes that are not the target's whole answer."""
    broken = []
    for call in calls:
        wanted = call.request_id.encode()
        if call.prefix in STREAMS:
            wanted = WHOLE_STREAM
        if call.status == SUCCESS and call.body != wanted:
            broken.append(f'{call.request_id} got {call.body[:80]!r}')
    return broken


def unstructured_lines(logs: Iterable[Path]) -> list[str]:
    """Return log lines that are no structured events."""
    return [
        f'{log.name}: {line[:120]!r}'
        for log in logs
        for line in log.read_bytes().splitlines()
        if not line.startswith(b'{"time":')
    ]
