"""Tells crashes of targets from single broken responses.

A target has crashed if it breaks off a response and then refuses connections.
The prompts that it had just begun to answer may be the cause.
"""

import asyncio
import dataclasses
import time
from collections import defaultdict

from dandelionplank.delivery.attempt import Attempt
from dandelionplank.delivery.connections import ConnectionPool
from dandelionplank.errors import ErrorCode, TargetError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.retries import AttemptState
from dandelionplank.targets import Target

# A request is no suspect if its response went on for longer than this.
SUSPECT_RESPONSE_S = 0.25
# Responses that break within this time break for the same reason.
SAME_CRASH_S = 1.0
MAX_LOGGED_PARTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenResponse:
    """A response that broke off before it had gone on for long.

    :param at_s: monotonic time at which it broke off
    :param part_ids: parts of the prompt that other prompts may share
    """

    at_s: float
    part_ids: tuple[str, ...]


class CrashWatch:
    """Finds crashed targets, and the parts of the prompts open at them."""

    def __init__(self, pool: ConnectionPool) -> None:
        """Hold the broken responses of targets that may have crashed."""
        self.pool = pool
        self.broken: dict[Target, list[BrokenResponse]] = defaultdict(list)
        self.checks: dict[Target, asyncio.Task[None]] = {}

    def record_failure(self, attempt: Attempt, error: TargetError) -> None:
        """Record a failed attempt, and check whether the target is alive."""
        target = attempt.grant.load.target
        now_s = time.monotonic()
        if error.code is ErrorCode.TARGET_UNREACHABLE:
            if _is_refused(error):
                self._record_crash(target, now_s)
            return
        part_ids = _suspects(attempt, now_s)
        if not part_ids:
            return
        self.broken[target].append(BrokenResponse(now_s, part_ids))
        if target not in self.checks:
            self.checks[target] = asyncio.ensure_future(self._check(target))

    async def _check(self, target: Target) -> None:
        """Open a connection to a target, and keep it if one is accepted."""
        try:
            connection = await self.pool.open(target)
        except TargetError as error:
            if _is_refused(error):
                self._record_crash(target, time.monotonic())
        else:
            self.pool.release(target, connection)
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


def _suspects(attempt: Attempt, now_s: float) -> tuple[str, ...]:
    """Return the parts of a prompt whose response broke off early."""
    work = attempt.request.metadata.work
    if work is None or attempt.state is not AttemptState.UNKNOWN:
        return ()
    began_s = attempt.first_bytes_s
    if began_s is not None and now_s - began_s > SUSPECT_RESPONSE_S:
        return ()
    return work.shared_part_ids


def _is_refused(error: TargetError) -> bool:
    """Return whether a target's machine refused the connection.

    A connection that is not established in time says nothing of the target:
    the link to it may be cut.
    """
    return isinstance(error.__cause__, ConnectionRefusedError)
