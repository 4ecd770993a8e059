"""The listening socket for callers and their connections."""

import asyncio
import contextlib
import logging
import time
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader

from dandelionplank.events import Event
from dandelionplank.fleet.view import FleetView
from dandelionplank.ingress.acceptor import ConnectionAcceptor
from dandelionplank.ingress.connection import (
    CallerConnection,
    ConnectionGuard,
)
from dandelionplank.ingress.gateway import Gateway
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.router.idle import IdleConnectionTask, run_turns
from dandelionplank.routing.routes import RequestLimits, RouteTable
from dandelionplank.settings import Address, CallerSettings

BACKLOG_CONNECTIONS = 4096
# Limit of the HTTP parser; the configured limits apply in addition.
MAX_HEADER_LINE_BYTES = 65_536
# A connection is read no further while twice this waits for its reader, or a
# sixteenth of it in chunks.
READ_BUFFER_BYTES = 65_536
# Logger of the HTTP library's errors for callers.
LIBRARY_LOGGER = 'dandelionplank.callers'
# Period at which the connections are checked against their bounds.
CHECK_PERIOD_S = 0.2
# Shortest period: a check passes over all connections.
MIN_CHECK_PERIOD_S = 0.05
# Larger responses count as unread until the next check.
LARGE_RESPONSE_BYTES = 65_536
# Time for the requests that are on their way when idle connections close.
REQUEST_ARRIVAL_S = 0.02


class CallerServer:
    """Accepts callers' connections and passes requests to the gateway."""

    def __init__(self, gateway: Gateway, view: FleetView) -> None:
        """Hold the gateway and the configured limits; no socket is open."""
        self.bounds = gateway.bounds
        self.was_crowded = False
        self.gateway = gateway
        self.limits = RequestLimits()
        self.guard = ConnectionGuard(
            'callers', self.limits.header_bytes, gateway.bounds
        )
        self.idle = IdleConnectionTask(
            _caller_settings(self.limits), self.guard.has_pending
        )
        view.listeners.append(self._configure)
        self.server: web.Server | None = None
        self.acceptor: ConnectionAcceptor | None = None

    @property
    def connections(self) -> list[Any]:
        """Return the callers' open connections."""
        return self.server.connections if self.server else []

    @property
    def connection_count(self) -> int:
        """Return how many callers' connections are open."""
        return len(self.connections)

    @property
    def connection_share(self) -> float:
        """Return the open connections as a share of their bound."""
        return self.connection_count / self.bounds.connections

    async def listen(self, address: Address) -> None:
        """Open the socket."""
        self.server = web.Server(
            self._handle_request,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            # Targets get the body as the caller encoded it.
            auto_decompress=False,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
            logger=_quiet_logger(),
        )
        self.idle.server = self.server
        acceptor = ConnectionAcceptor(self._make_protocol, BACKLOG_CONNECTIONS)
        acceptor.listen(address, self.bounds.receive_buffer_bytes)
        self.acceptor = acceptor

    def stop_accepting(self) -> None:
        """Accept no new connections; open ones continue."""
        if self.acceptor:
            self.acceptor.close()

    async def run_checks(self) -> None:
        """Check all connections once a period, or as they become too many."""
        while True:
            await asyncio.sleep(MIN_CHECK_PERIOD_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_PERIOD_S):
                    await self.guard.is_crowded.wait()
            self.guard.is_crowded.clear()
            now_s = time.monotonic()
            self.guard.refuse_late_heads(self.limits.header_timeout_s, now_s)
            self.guard.close_slow_readers()
            self.gateway.bodies.check(now_s)
            await self._make_room()

    async def close_idle(self) -> None:
        """Close the connections that carry no request.

        Requests that are in the sockets are read first and are served.
        """
        await asyncio.sleep(REQUEST_ARRIVAL_S)
        await run_turns()
        await self.idle.close_idle(self.connections)

    async def _make_room(self) -> None:
        """Close the longest idle connections while there are too many."""
        count = len(self.guard.connections)
        surplus = self.bounds.count_surplus(count)
        if bool(surplus) != self.was_crowded:
            self.was_crowded = bool(surplus)
            log_event(
                Event.CALLERS_BOUNDED,
                bound='connections',
                is_reached=self.was_crowded,
                open_connections=count,
            )
        if not surplus:
            return
        idle = self.idle.find_longest_idle(self.connections)
        closed = await self.idle.close_idle(idle[:surplus])
        METRICS.add('callers_closed_total', closed, reason='idle')
        log_event(
            Event.CALLER_CLOSED,
            socket='callers',
            reason='idle',
            connections=closed,
            held_bytes=0,
        )
        if closed < surplus:
            self.gateway.bodies.refuse_idle(surplus - closed)

    def _make_protocol(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        assert self.server is not None
        return self.guard.wrap(self.server())

    async def _handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve one request and record its start and end for idle timeouts."""
        self.idle.record_request_start(request.protocol)
        try:
            response = await self.gateway.handle_request(request)
            length = response.content_length
            if length is not None and length > LARGE_RESPONSE_BYTES:
                self.guard.expect_response(length)
            return response
        finally:
            self.idle.record_request_end(request.protocol)

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: Any,
        writer: AbstractStreamWriter,
        task: 'asyncio.Task[None]',
    ) -> web.BaseRequest:
        """Build a request with the configured body limit."""
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self.limits.body_bytes + 1,
        )

    def _configure(self, table: RouteTable) -> None:
        """Apply the limits of a new configuration; connections stay open."""
        self.limits = table.limits
        self.guard.header_bytes = table.limits.header_bytes
        self.idle.settings = _caller_settings(table.limits)


def _quiet_logger() -> logging.Logger:
    """Return a logger that writes no traceback for malformed requests."""
    logger = logging.getLogger(LIBRARY_LOGGER)
    logger.addFilter(_is_not_malformed)
    return logger


def _is_not_malformed(record: logging.LogRecord) -> bool:
    """Return whether a record is about something else; count the others."""
    error = record.exc_info[1] if record.exc_info else None
    if not isinstance(error, HttpProcessingError):
        return True
    METRICS.add('malformed_requests_total')
    return False


def _caller_settings(limits: RequestLimits) -> CallerSettings:
    """Return the limits as settings of the idle connection task."""
    return CallerSettings(
        body_limit_bytes=limits.body_bytes,
        header_limit_bytes=limits.header_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )
