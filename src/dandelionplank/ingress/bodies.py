"""Reads the bodies of callers' requests within what all may hold."""

import asyncio
import contextlib
import functools
import time
from collections.abc import Iterable, Iterator
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader

from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.events import Event
from dandelionplank.ingress.callerbounds import CallerBounds
from dandelionplank.ingress.connection import GatedTransport
from dandelionplank.ingress.heldbytes import (
    STALL_S,
    Decision,
    HeldBytes,
    Holding,
)
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.routes import RequestLimits

STEP = 'body'
# Callers reach another instance when they retry.
NO_ROOM_RETRY_S = 0.5


class BodyReader:
    """Reads bodies, lets them wait for room, and refuses those that stall."""

    def __init__(self, bounds: CallerBounds) -> None:
        """Hold no body."""
        self.held = HeldBytes(bounds.small_bytes, bounds.large_bytes)
        self.timeouts: dict[Holding, asyncio.Timeout] = {}
        self.waiters: dict[Holding, asyncio.Future[None]] = {}
        self.was_bounded = False

    @contextlib.contextmanager
    def hold(self, account: str) -> Iterator[Holding]:
        """Account for the body of a request until the context ends."""
        holding = self.held.open(account, time.monotonic())
        try:
            yield holding
        finally:
            self._wake(self.held.close(holding, time.monotonic()))

    async def read(
        self,
        request: web.BaseRequest,
        holding: Holding,
        limits: RequestLimits,
    ) -> bytes:
        """Read the complete body within the limits.

        :raises RefusalError: it is too large, too slow or malformed, or there
            is no room for it
        """
        if not request.body_exists:
            self.held.complete(holding, time.monotonic())
            return b''
        timeout = asyncio.timeout(limits.idle_timeout_s)
        self.timeouts[holding] = timeout
        try:
            async with timeout:
                return await self._collect(request, holding, limits.body_bytes)
        except TimeoutError as error:
            if holding.is_refused:
                _close_after_response(request, holding)
                raise _no_room() from error
            raise RefusalError(
                step=STEP,
                code=ErrorCode.REQUEST_TIMEOUT,
            ) from error
        except HttpProcessingError as error:
            raise RefusalError(step=STEP, code=ErrorCode.BAD_REQUEST) from error
        finally:
            self.timeouts.pop(holding, None)

    def check(self, now_s: float) -> None:
        """Refuse bodies that stall or wait too long, and log a change."""
        is_bounded = self.held.is_bounded
        self._refuse('body', self.held.refuse_stalled(now_s))
        METRICS.set_gauge('caller_body_bytes', self.held.large_bytes)
        METRICS.set_gauge('caller_waiting_bodies', len(self.held.waiting))
        if is_bounded != self.was_bounded:
            self.was_bounded = is_bounded
            log_event(
                Event.CALLERS_BOUNDED,
                bound='bodies',
                is_reached=is_bounded,
                small_bytes=self.held.small_bytes,
                large_bytes=self.held.large_bytes,
                waiting=len(self.held.waiting),
            )

    def refuse_idle(self, count: int) -> None:
        """Refuse some stalled bodies, because connections run short."""
        refused = self.held.refuse_idle(count, time.monotonic())
        self._refuse('connections', refused)

    async def _collect(
        self, request: web.BaseRequest, holding: Holding, limit_bytes: int
    ) -> bytes:
        """Return the body, read no faster than there is room for it.

        :raises RefusalError: it is too large, or there is no room for it
        """
        stated_bytes = request.content_length or 0
        if stated_bytes > limit_bytes:
            raise RefusalError(step=STEP, code=ErrorCode.TOO_LARGE)
        size_bytes = stated_bytes or limit_bytes
        source = request.content
        block = await source.readany()
        # A body that ends with an error is at its end, too.
        if source.at_eof() and source.exception() is None:
            # Most bodies arrive whole.
            self.held.add(holding, len(block), len(block), time.monotonic())
            _check_size(block, limit_bytes)
            self.held.complete(holding, time.monotonic())
            return block
        body = bytearray()
        while block:
            body += block
            _check_size(body, limit_bytes)
            if source.at_eof() and source.exception() is None:
                # A complete body needs no place, whatever the others hold.
                self.held.add(holding, len(block), size_bytes, time.monotonic())
                break
            if not self._has_room(holding, len(block), size_bytes):
                await self._wait_for_room(holding, source)
            block = await source.readany()
        self._wake(self.held.complete(holding, time.monotonic()))
        return bytes(body)

    def _has_room(self, holding: Holding, count: int, size_bytes: int) -> bool:
        """Count a block; return whether the body may be read further.

        :raises RefusalError: there is no room
        """
        now_s = time.monotonic()
        decision = self.held.add(holding, count, size_bytes, now_s)
        if decision is Decision.REFUSE:
            raise _no_room()
        return decision is Decision.READ

    async def _wait_for_room(
        self, holding: Holding, source: StreamReader
    ) -> None:
        """Wait until the body may be read further, or has arrived completely.

        The connection holds some bytes beyond those that were read.
        """
        waiter = asyncio.get_running_loop().create_future()
        self.waiters[holding] = waiter
        source.on_eof(functools.partial(_resolve, waiter))
        try:
            await waiter
        finally:
            self.waiters.pop(holding, None)

    def _wake(self, granted: Iterable[Holding]) -> None:
        """Let bodies be read that got a place."""
        for holding in granted:
            waiter = self.waiters.get(holding)
            if waiter is not None:
                _resolve(waiter)

    def _refuse(self, reason: str, refused: Iterable[Holding]) -> None:
        """End the reading of some bodies now."""
        loop = asyncio.get_running_loop()
        for holding in refused:
            METRICS.add('callers_closed_total', reason=reason)
            log_event(
                Event.CALLER_CLOSED,
                socket='callers',
                reason=reason,
                account=holding.account,
                held_bytes=holding.received,
            )
            timeout = self.timeouts.get(holding)
            if timeout is not None and not timeout.expired():
                timeout.reschedule(loop.time())


def _resolve(waiter: 'asyncio.Future[None]') -> None:
    """End a wait that has not ended yet."""
    if not waiter.done():
        waiter.set_result(None)


def _close_after_response(request: web.BaseRequest, holding: Holding) -> None:
    """Close the connection of a body that stalls after its refusal.

    A caller that still sends gets the refusal only if its body is read.
    """
    transport: Any = request.transport
    is_stalled = holding.idle_s(time.monotonic()) >= STALL_S
    if not is_stalled or holding.wanted_bytes:
        return
    if isinstance(transport, GatedTransport):
        transport.end_input()


def _check_size(body: bytes | bytearray, limit_bytes: int) -> None:
    """Check a body against its limit.

    :raises RefusalError: it is too large
    """
    if len(body) > limit_bytes:
        raise RefusalError(step=STEP, code=ErrorCode.TOO_LARGE)


def _no_room() -> RefusalError:
    """Return the refusal of a body for which there is no room."""
    return RefusalError(
        'no room for the body',
        step=STEP,
        code=ErrorCode.OVERLOADED,
        retry_after_s=NO_ROOM_RETRY_S,
    )
