"""Ends the open requests of an instance that shuts down."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from dandelionplank.delivery.requests import Trace
from dandelionplank.errors import ErrorCode, Outcome, RefusalError

STEP = 'shutdown'
# Time after the start of the shutdown within which a request must be complete.
ARRIVAL_LIMIT_S = 3.0
# Part of the grace in which no request is sent to its first target.
FINISH_RESERVE_S = 2.0
# Callers reach another instance when they reconnect.
RETRY_AFTER_S = 0.1

Awaited = TypeVar('Awaited')


class GracePeriod:
    """Bounds the time of open requests once the instance is leaving.

    Without it, the end of the process would close the connections of the
    requests that are still open, and their callers would get no response.
    """

    def __init__(self) -> None:
        """Hold no open request; the grace has not begun."""
        self.open: dict[asyncio.Timeout, Trace] = {}
        self.is_admitting = True

    def begin(self, length_s: float) -> None:
        """Start the grace.

        :param length_s: time until every request has to have a response
        """
        loop = asyncio.get_running_loop()
        last_start_s = max(0.0, length_s - FINISH_RESERVE_S)
        loop.call_later(
            min(ARRIVAL_LIMIT_S, last_start_s), self._stop_admitting
        )
        loop.call_later(last_start_s, self._end_unsent)
        loop.call_later(length_s, self._end_all)

    def check_admission(self) -> None:
        """Refuse a request that became complete late in the grace.

        :raises RefusalError: the instance takes no more requests
        """
        if not self.is_admitting:
            raise _refusal(Trace())

    async def limit(self, work: Awaitable[Awaited], trace: Trace) -> Awaited:
        """Wait for a part of a request, at most until it has to end.

        :param trace: shows whether the request was sent to a target
        :raises RefusalError: the grace is over
        """
        timeout = asyncio.timeout(None)
        self.open[timeout] = trace
        try:
            async with timeout:
                return await work
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise _refusal(trace) from error
        finally:
            self.open.pop(timeout, None)

    def _stop_admitting(self) -> None:
        """Refuse the requests that become complete from now on."""
        self.is_admitting = False

    def _end_unsent(self) -> None:
        """End the requests that were sent to no target."""
        for timeout, trace in tuple(self.open.items()):
            if not trace.tries:
                self._end(timeout)

    def _end_all(self) -> None:
        """End all requests."""
        for timeout in tuple(self.open):
            self._end(timeout)

    def _end(self, timeout: asyncio.Timeout) -> None:
        """Let the wait of a request time out now."""
        self.open.pop(timeout)
        timeout.reschedule(asyncio.get_running_loop().time())


def _refusal(trace: Trace) -> RefusalError:
    """Return the error of a request that has to end."""
    return RefusalError(
        step=STEP,
        peer=trace.target,
        code=ErrorCode.SHUTTING_DOWN,
        outcome=Outcome.UNKNOWN if trace.tries else Outcome.NOT_RUN,
        retry_after_s=0 if trace.tries else RETRY_AFTER_S,
    )
