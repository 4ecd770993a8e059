"""Task that assigns targets to requests as the scheduler decides."""

import asyncio
import time
from collections.abc import Mapping
from typing import Protocol

from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet.peers import decay
from dandelionplank.routing.scheduler import Grant, Rejection, Scheduler

# How often waiting requests are checked if no other event triggers a pass.
POLL_PERIOD_S = 0.02
STEP = 'queue'
# Pause of a target that reports that it is full, and of one that reports that
# the request names another target.
FULL_PAUSE_S = 0.1
MISDIRECTED_PAUSE_S = 2.0


class TargetAssigner(Protocol):
    """Assigns targets to requests and learns what became of them."""

    async def acquire(self, waiting: WaitingRequest) -> Grant:
        """Wait for a target.

        :raises RefusalError: the request was rejected and not executed
        """

    def service_levels(self) -> Mapping[str, float]:
        """Return the service that accounts received lately, fleet-wide."""

    def record_first_event(self, grant: Grant) -> None:
        """Record that a target has started to respond."""

    def record_outcome(self, grant: Grant, *, is_success: bool) -> None:
        """Record the outcome of a request in the target's health."""

    def record_unreachable(self, grant: Grant) -> None:
        """Record that a target accepted no connection."""

    def record_not_executed(
        self, grant: Grant, *, is_misdirected: bool
    ) -> None:
        """Pause a target that did not execute a request."""

    def record_closed(self, grant: Grant) -> None:
        """Record that a target has turned this instance away."""

    def is_excluded(self, grant: Grant) -> bool:
        """Return whether an order forbids requests to a granted target."""

    def record_excluded(self, grant: Grant) -> None:
        """Record that a target was granted against an order.

        The instance that granted it may not know the order yet.
        """

    def release(self, grant: Grant) -> None:
        """Record that a request has left its target."""


class Dispatcher:
    """Suspends requests until the scheduler grants or rejects them."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Hold the scheduler and the futures of waiting requests."""
        self.scheduler = scheduler
        self.futures: dict[int, asyncio.Future[Grant]] = {}
        self.due_services: set[str] = set()
        self.is_pass_scheduled = False

    async def acquire(self, waiting: WaitingRequest) -> Grant:
        """Wait for a target.

        :raises RefusalError: the request was rejected and not executed
        """
        now_s = time.monotonic()
        rejection = self.scheduler.submit(waiting, now_s)
        if rejection:
            raise _refusal(rejection)
        future: asyncio.Future[Grant] = (
            asyncio.get_running_loop().create_future()
        )
        self.futures[id(waiting)] = future
        try:
            self._run_pass(waiting.service, now_s)
            return await future
        except asyncio.CancelledError:
            if _has_grant(future):
                self.release(future.result())
            raise
        finally:
            self.futures.pop(id(waiting), None)
            self.scheduler.withdraw(waiting)

    def service_levels(self) -> Mapping[str, float]:
        """Return the service that accounts received lately, fleet-wide."""
        self.scheduler.refresh_service_levels(time.monotonic())
        return self.scheduler.service_levels

    def record_first_event(self, grant: Grant) -> None:
        """Record that a target has started to respond."""
        now_s = time.monotonic()
        grant.load.record_first_event(grant.sent, now_s)
        self.scheduler.cold.record_response(grant.load.target, now_s)
        self.wake(grant.waiting.service)

    def record_outcome(self, grant: Grant, *, is_success: bool) -> None:
        """Record the outcome of a request in the target's health."""
        now_s = time.monotonic()
        grant.load.health.record_response(now_s, is_success=is_success)
        if is_success:
            self.scheduler.cold.record_response(grant.load.target, now_s)
        else:
            self._record_failure(grant, now_s)

    def record_unreachable(self, grant: Grant) -> None:
        """Record that a target accepted no connection."""
        now_s = time.monotonic()
        grant.load.health.record_unreachable(now_s)
        self.scheduler.cold.record_unreachable(
            grant.load.target, grant.sent.sent_s, now_s
        )
        self._record_failure(grant, now_s)

    def record_not_executed(
        self, grant: Grant, *, is_misdirected: bool
    ) -> None:
        """Pause a target that did not execute a request."""
        now_s = time.monotonic()
        pause_s = MISDIRECTED_PAUSE_S if is_misdirected else FULL_PAUSE_S
        grant.load.health.pause_until(now_s + pause_s)
        if not is_misdirected:
            self._record_failure(grant, now_s)

    def record_closed(self, grant: Grant) -> None:
        """Check the waiting requests: their targets may all be closed."""
        self.wake(grant.waiting.service)

    def release(self, grant: Grant) -> None:
        """Record that a request has left its target, or never reached it."""
        if not grant.sent.is_prefilled:
            self._refund(grant)
        grant.load.record_end(grant.sent)
        self.wake(grant.waiting.service)

    def exclude_targets(self) -> None:
        """Place all waiting requests without the targets excluded now."""
        self.scheduler.snapshots.clear()
        for service in self.scheduler.queues:
            self.wake(service)

    def wake(self, service: str) -> None:
        """Schedule a pass over a service's waiting requests."""
        self.due_services.add(service)
        if not self.is_pass_scheduled:
            self.is_pass_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_due_passes)

    async def run(self) -> None:
        """Check all waiting requests periodically and expire late ones."""
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            if not self.futures:
                continue
            now_s = time.monotonic()
            for rejection in self.scheduler.expire(now_s):
                future = self.futures.get(id(rejection.waiting))
                if future and not future.done():
                    future.set_exception(_refusal(rejection))
            for service in tuple(self.scheduler.queues):
                self._run_pass(service, now_s)

    def _record_failure(self, grant: Grant, now_s: float) -> None:
        """Record in the pace of a target that it failed a request."""
        self.scheduler.cold.record_failure(
            grant.load.target, grant.sent.sent_s, grant.load.running, now_s
        )

    def _refund(self, grant: Grant) -> None:
        """Take back the charge for a request that its target did not begin.

        The instance that granted the target has charged it. Part of the charge
        has decayed since.
        """
        if grant.ticket_number >= 0:
            return
        now_s = time.monotonic()
        cost = grant.waiting.cost * decay(now_s - grant.sent.sent_s)
        self.scheduler.local_service_levels.refund(
            grant.waiting.account, cost, now_s
        )

    def _run_due_passes(self) -> None:
        """Run the scheduled passes."""
        self.is_pass_scheduled = False
        services = tuple(self.due_services)
        self.due_services.clear()
        for service in services:
            self._run_pass(service, time.monotonic())

    def _run_pass(self, service: str, now_s: float) -> None:
        """Run one scheduling pass and resume the requests it granted."""
        for grant in self.scheduler.run_pass(service, now_s):
            future = self.futures.get(id(grant.waiting))
            if future is None or future.done():
                self.release(grant)
                continue
            future.set_result(grant)


def _has_grant(future: 'asyncio.Future[Grant]') -> bool:
    """Return whether a future holds a grant, and no error."""
    if not future.done() or future.cancelled():
        return False
    return future.exception() is None


def _refusal(rejection: Rejection) -> RefusalError:
    """Return the error for a rejected request."""
    return RefusalError(
        rejection.reason,
        step=STEP,
        peer=rejection.waiting.service,
        code=ErrorCode.QUEUE_TIMEOUT,
        request_id=rejection.waiting.request_id,
        retry_after_s=rejection.retry_after_s,
    )
