"""The task that hands targets to requests; decisions are the scheduler's."""

import asyncio
import time

from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.fairness.waiting import Waiting
from dandelionplank.routing.scheduler import Grant, Scheduler, Turndown

# How often waiting requests are looked at without any other event.
TICK_S = 0.02
STEP = 'queue'


class Dispatcher:
    """Lets requests wait until the scheduler grants or refuses them."""

    def __init__(self, scheduler: Scheduler) -> None:
        """Start without requests."""
        self.scheduler = scheduler
        self.futures: dict[int, asyncio.Future[Grant]] = {}
        self.due: set[str] = set()
        self.is_scheduled = False

    async def acquire(self, waiting: Waiting) -> Grant:
        """Wait for a target.

        :raises RefusalError: the request is not served and has not run
        """
        now_s = time.monotonic()
        turndown = self.scheduler.submit(waiting, now_s)
        if turndown:
            raise _refusal(turndown)
        future: asyncio.Future[Grant] = (
            asyncio.get_running_loop().create_future()
        )
        self.futures[id(waiting)] = future
        self._run(waiting.service, now_s)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                grant = future.result()
                self.release(grant)
            raise
        finally:
            self.futures.pop(id(waiting), None)
            self.scheduler.withdraw(waiting)

    def note_first_event(self, grant: Grant) -> None:
        """Note that a target has begun to answer."""
        grant.load.note_first_event(grant.sent, time.monotonic())
        self.wake(grant.waiting.service)

    def release(self, grant: Grant) -> None:
        """Note that a request is at its target no more."""
        grant.load.note_end(grant.sent)
        self.wake(grant.waiting.service)

    def wake(self, service: str) -> None:
        """Look at a service's waiting requests soon."""
        self.due.add(service)
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_due)

    async def run(self) -> None:
        """Look at all waiting requests now and then."""
        while True:
            await asyncio.sleep(TICK_S)
            if not self.futures:
                continue
            now_s = time.monotonic()
            for turndown in self.scheduler.expire(now_s):
                future = self.futures.get(id(turndown.waiting))
                if future and not future.done():
                    future.set_exception(_refusal(turndown))
            for service in tuple(self.scheduler.rooms):
                self._run(service, now_s)

    def _run_due(self) -> None:
        """Run the passes that were asked for."""
        self.is_scheduled = False
        due = tuple(self.due)
        self.due.clear()
        for service in due:
            self._run(service, time.monotonic())

    def _run(self, service: str, now_s: float) -> None:
        """Run one pass and wake the requests that were granted a target."""
        for grant in self.scheduler.run_pass(service, now_s):
            future = self.futures.get(id(grant.waiting))
            if future is None or future.done():
                grant.load.note_end(grant.sent)
                continue
            future.set_result(grant)


def _refusal(turndown: Turndown) -> RefusalError:
    """Return the error of a request that is turned down."""
    return RefusalError(
        turndown.reason,
        step=STEP,
        peer=turndown.waiting.service,
        code=ErrorCode.QUEUE_TIMEOUT,
        request_id=turndown.waiting.request_id,
        retry_after_s=turndown.retry_after_s,
    )
