"""The sockets of callers."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.streams import StreamReader

from dandelionplank.fleet.view import FleetView
from dandelionplank.ingress.gateway import Gateway
from dandelionplank.router.idle import IdleConnectionTask
from dandelionplank.routing.routes import RequestLimits, RouteTable
from dandelionplank.settings import Address, CallerSettings

BACKLOG_CONNECTIONS = 4096
# Bounds of the parser; the configured limit comes on top.
LARGEST_HEAD_BYTES = 65_536
# Time in which a request that has arrived begins to be handled.
BEGIN_S = 0.02


class CallerServer:
    """Accepts callers' connections and hands requests to the gateway."""

    def __init__(self, gateway: Gateway, view: FleetView) -> None:
        """Prepare; nothing listens."""
        self.gateway = gateway
        self.limits = RequestLimits()
        self.idle = IdleConnectionTask(_caller_settings(self.limits))
        view.listeners.append(self._configure)
        self.server: web.Server | None = None
        self.listener: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Open the socket."""
        self.server = web.Server(
            self._answer,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            max_line_size=LARGEST_HEAD_BYTES,
            max_field_size=LARGEST_HEAD_BYTES,
        )
        self.idle.server = self.server
        self.listener = await asyncio.get_running_loop().create_server(
            self.server,
            address.ip,
            address.port,
            backlog=BACKLOG_CONNECTIONS,
        )

    def stop_accepting(self) -> None:
        """Take no new connections; open ones go on."""
        if self.listener:
            self.listener.close()

    def close_idle(self) -> None:
        """Close the connections that carry no request.

        A request that has just arrived is still answered: the connection is
        asked to end after it, and is cut only if none has begun.
        """
        if self.server is None:
            return
        loop = asyncio.get_running_loop()
        for connection in self.server.connections:
            if self.idle.is_idle(connection):
                connection.close()
                loop.call_later(BEGIN_S, self._cut_idle, connection)

    def _cut_idle(self, connection: Any) -> None:
        """Cut a connection on which no request has begun."""
        if self.idle.is_idle(connection):
            connection.force_close()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request and note the use of its connection."""
        self.idle.begin(request.protocol)
        try:
            return await self.gateway.answer(request)
        finally:
            self.idle.end(request.protocol)

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: Any,
        writer: AbstractStreamWriter,
        task: 'asyncio.Task[None]',
    ) -> web.BaseRequest:
        """Build a request with the configured limit of its body."""
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
        """Take in new limits; connections stay open."""
        self.limits = table.limits
        self.idle.settings = _caller_settings(table.limits)


def _caller_settings(limits: RequestLimits) -> CallerSettings:
    """Return the limits in the form of the callers' settings."""
    return CallerSettings(
        body_limit_bytes=limits.body_bytes,
        header_limit_bytes=limits.header_bytes,
        header_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
    )
