"""Tells crashes of targets from single broken responses.

A target has crashed if it breaks off a response and then refuses connections.
The prompts that it had just begun to answer may be the cause; those that are
known to be one are refused.
"""

import asyncio
import dataclasses
import time
from collections import defaultdict
from collections.abc import Iterable
from typing import Protocol

from dandelionplank.delivery.attempt import SUCCESS_STATUSES, Attempt
from dandelionplank.delivery.connections import ConnectionPool
from dandelionplank.delivery.requests import CallerRequest
from dandelionplank.errors import ErrorCode, RefusalError, TargetError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.crashes import CrashKey
from dandelionplank.routing.retries import AttemptState
from dandelionplank.targets import Target

STEP = 'crashes'
# A request is no suspect if its response went on for longer than this.
SUSPECT_RESPONSE_S = 0.25
# A response that goes on for this long shows that its prompt is sound.
SOUND_RESPONSE_S = 0.5
# Responses that break within this time break for the same reason.
SAME_CRASH_S = 1.0
MAX_LOGGED_PARTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenResponse:
    """A response that broke off before it had gone on for long.

    :param at_s: monotonic time at which it broke off
    :param part_ids: parts of the prompt that other prompts may share
    :param is_complete: it is complete unless the target has crashed, as only
        the end of the connection marks its end
    """

    at_s: float
    part_ids: tuple[str, ...]
    is_complete: bool


class CrashRecorder(Protocol):
    """Collects evidence of the prompts that crash targets."""

    def quarantine_left_s(self, part_ids: Iterable[str]) -> float:
        """Return how long a prompt may not be sent, zero if it may."""

    def record_crash(self, key: CrashKey, part_ids: Iterable[str]) -> None:
        """Record the parts of the prompts open at a target that crashed."""

    def record_answer(self, part_ids: Iterable[str], at_s: float) -> None:
        """Record that a target began an answer that it went on with."""


class CrashWatch:
    """Finds crashed targets, and the parts of the prompts open at them."""

    def __init__(self, pool: ConnectionPool, recorder: CrashRecorder) -> None:
        """Hold the broken responses of targets that may have crashed."""
        self.pool = pool
        self.recorder = recorder
        self.broken: dict[Target, list[BrokenResponse]] = defaultdict(list)
        self.checks: dict[Target, asyncio.Task[None]] = {}

    def check_prompt(self, request: CallerRequest) -> None:
        """Refuse a request whose prompt holds a quarantined part.

        :raises RefusalError: the request must not be sent to any target
        """
        work = request.metadata.work
        if work is None:
            return
        left_s = self.recorder.quarantine_left_s(work.shared_part_ids)
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
        if response is None or response.status not in SUCCESS_STATUSES:
            return
        now_s = time.monotonic()
        began_s = attempt.first_bytes_s or now_s
        if not response.is_unframed or now_s - began_s > SUSPECT_RESPONSE_S:
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
        part_ids = _shared_parts(attempt)
        if not part_ids:
            return
        target = attempt.grant.load.target
        self.broken[target].append(BrokenResponse(now_s, part_ids, is_complete))
        if target not in self.checks:
            self.checks[target] = asyncio.ensure_future(self._check(target))

    def _record_answer(self, attempt: Attempt, began_s: float) -> None:
        """Record that a target went on with an answer."""
        attempt.is_recorded_sound = True
        self.recorder.record_answer(_shared_parts(attempt), began_s)

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
        suspects = {
            part_id
            for broken in self.broken.pop(target, ())
            if now_s - broken.at_s < SAME_CRASH_S
            for part_id in broken.part_ids
        }
        if not suspects:
            return
        METRICS.add('target_crashes_total')
        log_event(
            Event.TARGET_CRASHED,
            target=target.name,
            started_ms=target.started_ms,
            parts=len(suspects),
            suspects=sorted(suspects)[:MAX_LOGGED_PARTS],
        )
        self.recorder.record_crash((target.name, target.started_ms), suspects)


def _began_just_now(attempt: Attempt, now_s: float) -> bool:
    """Return whether a response broke off early, or had not begun."""
    if attempt.state is not AttemptState.UNKNOWN:
        return False
    began_s = attempt.first_bytes_s
    return began_s is None or now_s - began_s < SUSPECT_RESPONSE_S


def _shared_parts(attempt: Attempt) -> tuple[str, ...]:
    """Return the parts of a prompt that other prompts may share."""
    work = attempt.request.metadata.work
    return work.shared_part_ids if work else ()


def _is_refused(error: TargetError) -> bool:
    """Return whether a target's machine refused the connection.

    A connection that is not established in time says nothing of the target:
    the link to it may be cut.
    """
    return isinstance(error.__cause__, ConnectionRefusedError)
