"""The listening socket for callers and their connections."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from dandelionplank.fleet.view import FleetView
from dandelionplank.ingress.acceptor import ConnectionAcceptor
from dandelionplank.ingress.gateway import Gateway
from dandelionplank.router.idle import IdleConnectionTask, run_turns
from dandelionplank.routing.routes import RequestLimits, RouteTable
from dandelionplank.settings import Address, CallerSettings

BACKLOG_CONNECTIONS = 4096
# Limit of the HTTP parser; the configured limits apply in addition.
MAX_HEADER_LINE_BYTES = 65_536
# Time for the requests that are on their way when idle connections close.
REQUEST_ARRIVAL_S = 0.02


class CallerServer:
    """Accepts callers' connections and passes requests to the gateway."""

    def __init__(self, gateway: Gateway, view: FleetView) -> None:
        """Hold the gateway and the configured limits; no socket is open."""
        self.gateway = gateway
        self.limits = RequestLimits()
        self.idle = IdleConnectionTask(_caller_settings(self.limits))
        view.listeners.append(self._configure)
        self.connection_bound = 0
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
        """Return the open connections as a share of their bound.

        Zero while nothing bounds them.
        """
        if not self.connection_bound:
            return 0.0
        return self.connection_count / self.connection_bound

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
        )
        self.idle.server = self.server
        acceptor = ConnectionAcceptor(self.server, BACKLOG_CONNECTIONS)
        acceptor.listen(address)
        self.acceptor = acceptor

    def stop_accepting(self) -> None:
        """Accept no new connections; open ones continue."""
        if self.acceptor:
            self.acceptor.close()

    async def close_idle(self) -> None:
        """Close the connections that carry no request.

        Requests that are in the sockets are read first and are served.
        """
        await asyncio.sleep(REQUEST_ARRIVAL_S)
        await run_turns()
        await self.idle.close_idle(self.connections)

    async def _handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Serve one request and record its start and end for idle timeouts."""
        self.idle.record_request_start(request.protocol)
        try:
            return await self.gateway.handle_request(request)
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
        self.idle.settings = _caller_settings(table.limits)


def _caller_settings(limits: RequestLimits) -> CallerSettings:
    """Return the limits as settings of the idle connection task."""
    return CallerSettings(
        body_limit_bytes=limits.body_bytes,
        header_limit_bytes=limits.header_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )
