"""Tells crashes of targets from single broken responses.

A target has crashed if it breaks off a response and then refuses connections.
The requests that it had just begun to answer may be the cause; those that are
known to be one are refused.
"""

import asyncio
import dataclasses
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

from dandelionplank.delivery.attempt import (
    FIRST_SERVER_ERROR_STATUS,
    SUCCESS_STATUSES,
    Attempt,
)
from dandelionplank.delivery.connections import ConnectionPool
from dandelionplank.delivery.requests import CallerRequest
from dandelionplank.errors import ErrorCode, RefusalError, TargetError
from dandelionplank.metrics import METRICS
from dandelionplank.routing.crashlog import CrashKey, evidence_id
from dandelionplank.routing.retries import AttemptState
from dandelionplank.targets import Target

STEP = 'crashes'
# A response that goes on for this long shows that its prompt is sound. Until
# then it makes its request a suspect.
SOUND_RESPONSE_S = 0.5
# Responses that break within this time break for the same reason.
SAME_CRASH_S = 1.0

# Returns the software versions of the targets of a service.
VersionsOf = Callable[[str], Iterable[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenResponse:
    """A response that broke off before it had gone on for long.

    :param at_s: monotonic time at which it broke off
    :param part_ids: identity of the request, and the parts of its prompt that
        other prompts may share
    :param is_complete: it is complete unless the target has crashed, as only
        the end of the connection marks its end
    """

    at_s: float
    part_ids: tuple[str, ...]
    is_complete: bool


class CrashRecorder(Protocol):
    """Collects evidence of the requests that crash targets."""

    @property
    def has_quarantines(self) -> bool:
        """Return whether any part is in quarantine."""

    def quarantine_left_s(self, part_ids: Iterable[str]) -> float:
        """Return how long a request may not be sent, zero if it may."""

    def record_crash(self, key: CrashKey, part_ids: Iterable[str]) -> None:
        """Record the requests open at a target that crashed.

        :param part_ids: requests, each as its identity and its parts
        """

    def record_answer(self, part_ids: Iterable[str], at_s: float) -> None:
        """Record that a target began an answer that it went on with."""


class CrashWatch:
    """Finds crashed targets, and the parts of the requests open at them."""

    def __init__(
        self,
        pool: ConnectionPool,
        recorder: CrashRecorder,
        versions_of: VersionsOf,
    ) -> None:
        """Hold the broken responses of targets that may have crashed."""
        self.pool = pool
        self.recorder = recorder
        self.versions_of = versions_of
        self.broken: dict[Target, list[BrokenResponse]] = defaultdict(list)
        self.checks: dict[Target, asyncio.Task[None]] = {}

    def check_request(self, request: CallerRequest) -> None:
        """Refuse a request that is quarantined, or a part of its prompt.

        :raises RefusalError: the request must not be sent to any target
        """
        if not self.recorder.has_quarantines:
            return
        versions = self.versions_of(request.service)
        left_s = self.recorder.quarantine_left_s(
            (*map(request.identity, versions), *_shared_parts(request))
        )
        if left_s > 0:
            raise RefusalError(
                step=STEP,
                peer=request.service,
                code=ErrorCode.PROMPT_QUARANTINED,
                request_id=request.metadata.request_id,
                retry_after_s=left_s,
            )

    def record_events(self, attempt: Attempt) -> None:
        """Record a response that goes on as an answer, once."""
        began_s = attempt.first_bytes_s
        if began_s is None or attempt.is_recorded_sound:
            return
        if time.monotonic() - began_s >= SOUND_RESPONSE_S:
            self._record_answer(attempt, began_s)

    def record_response(self, attempt: Attempt) -> None:
        """Record a complete response.

        A crash may look like the end of a short response that only the end of
        its connection delimits.
        """
        response = attempt.response
        if response is None or not _is_answer(attempt.request, response.status):
            return
        now_s = time.monotonic()
        began_s = attempt.first_bytes_s or now_s
        if not response.is_unframed or now_s - began_s > SOUND_RESPONSE_S:
            self._record_answer(attempt, began_s)
        else:
            self._suspect(attempt, now_s, is_complete=True)

    def record_failure(self, attempt: Attempt, error: TargetError) -> None:
        """Record a failed attempt, and check whether the target is alive."""
        target = attempt.grant.load.target
        now_s = time.monotonic()
        if error.code is ErrorCode.TARGET_UNREACHABLE:
            if _is_refused(error):
                self._record_crash(target, now_s)
            return
        if _began_just_now(attempt, now_s):
            self._suspect(attempt, now_s, is_complete=False)

    def _suspect(
        self, attempt: Attempt, now_s: float, *, is_complete: bool
    ) -> None:
        """Check whether the target of a response is alive."""
        target = attempt.grant.load.target
        self.broken[target].append(
            BrokenResponse(now_s, _suspect_ids(attempt), is_complete)
        )
        if target not in self.checks:
            self.checks[target] = asyncio.ensure_future(self._check(target))

    def _record_answer(self, attempt: Attempt, began_s: float) -> None:
        """Record that a target went on with an answer."""
        attempt.is_recorded_sound = True
        self.recorder.record_answer(_suspect_ids(attempt), began_s)

    async def _check(self, target: Target) -> None:
        """Open a connection to a target, and keep it if one is accepted."""
        try:
            connection = await self.pool.open(target)
        except TargetError as error:
            if _is_refused(error):
                self._record_crash(target, time.monotonic())
        else:
            self.pool.release(target, connection)
            for broken in self.broken.pop(target, ()):
                if broken.is_complete:
                    self.recorder.record_answer(broken.part_ids, broken.at_s)
        finally:
            self.checks.pop(target, None)
            self.broken.pop(target, None)

    def _record_crash(self, target: Target, now_s: float) -> None:
        """Record a crash if responses of the target have just broken off."""
        suspects = [
            part_id
            for broken in self.broken.pop(target, ())
            if now_s - broken.at_s < SAME_CRASH_S
            for part_id in broken.part_ids
        ]
        if not suspects:
            return
        METRICS.add('target_crashes_total')
        self.recorder.record_crash((target.name, target.started_ms), suspects)


def _began_just_now(attempt: Attempt, now_s: float) -> bool:
    """Return whether a response broke off early, or had not begun."""
    if attempt.state is not AttemptState.UNKNOWN:
        return False
    began_s = attempt.first_bytes_s
    return began_s is None or now_s - began_s < SOUND_RESPONSE_S


def _is_answer(request: CallerRequest, status: int) -> bool:
    """Return whether a status shows that a target has run a request."""
    if request.metadata.work is None:
        return status < FIRST_SERVER_ERROR_STATUS
    return status in SUCCESS_STATUSES


def _suspect_ids(attempt: Attempt) -> tuple[str, ...]:
    """Return what an attempt's target may have crashed on."""
    request = attempt.request
    version = attempt.grant.load.target.version
    return (request.identity(version), *_shared_parts(request))


def _shared_parts(request: CallerRequest) -> tuple[str, ...]:
    """Return the parts of a prompt that other prompts may share."""
    work = request.metadata.work
    return tuple(map(evidence_id, work.shared_part_ids)) if work else ()


def _is_refused(error: TargetError) -> bool:
    """Return whether a target's machine refused the connection.

    A connection that is not established in time says nothing of the target:
    the link to it may be cut.
    """
    return isinstance(error.__cause__, ConnectionRefusedError)
