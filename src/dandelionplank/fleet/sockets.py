"""Opens the sockets of a daemon, again and again while that is not possible.

A process that replaces another may find its ports still in use, or its address
not yet assigned. If it ended, it would only be started again.
"""

import asyncio
import dataclasses
import functools
import socket
import time
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType

from aiohttp import web

from dandelionplank.events import Event
from dandelionplank.ingress.callerbounds import CallerBounds
from dandelionplank.ingress.connection import ConnectionGuard, PageGuard
from dandelionplank.logs import log_event
from dandelionplank.settings import Address

RETRY_S = 0.2
# Bounds of the pages, which few programs read: one request a second each.
PAGE_HEADER_BYTES = 8192
PAGE_HEADER_S = 5.0
PAGE_IDLE_S = 75.0
PAGE_LINGERING_S = 0.0
PAGE_READ_BUFFER_BYTES = 16_384
PAGE_BACKLOG_CONNECTIONS = 128
PAGE_CHECK_PERIOD_S = 0.5
PAGE_HELD_BYTES = 8_388_608
PAGE_CONNECTIONS = 64
PAGE_RECEIVE_BUFFER_BYTES = 32_768
PAGE_BOUNDS = CallerBounds(
    PAGE_HELD_BYTES, PAGE_CONNECTIONS, PAGE_RECEIVE_BUFFER_BYTES
)
# One failure in so many is logged.
LOGGED_FAILURES = 50


async def open_when_possible(
    purpose: str, address: str, open_socket: Callable[[], Awaitable[None]]
) -> None:
    """Open a socket, and wait while its address cannot be used.

    :param purpose: what the socket is for, in log lines
    :param address: ``ip:port``, likewise
    :param open_socket: opens it
    """
    failures = 0
    while True:
        try:
            return await open_socket()
        except OSError as error:
            if failures % LOGGED_FAILURES == 0:
                log_event(
                    Event.SOCKET_UNAVAILABLE,
                    purpose=purpose,
                    address=address,
                    why=repr(error),
                )
        failures += 1
        await asyncio.sleep(RETRY_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Response of a page."""

    text: str = ''
    status: HTTPStatus = HTTPStatus.OK
    content_type: str = 'text/plain'

    @classmethod
    def from_readiness(cls, *, is_ready: bool) -> 'Page':
        """Return the page that the balancer checks."""
        if is_ready:
            return cls()
        return cls(status=HTTPStatus.SERVICE_UNAVAILABLE)


# Returns the page for the fields of a query.
QueryRenderer = Callable[[Mapping[str, str]], Page]
NO_QUERIES: Mapping[str, QueryRenderer] = MappingProxyType({})


class PageServer:
    """Serves pages for the platform, each on an address of its own.

    Their callers are bounded like those of the gateway, with fixed figures.
    """

    def __init__(self) -> None:
        """Hold the servers, at first none."""
        self.runners: list[web.AppRunner] = []
        self.listeners: list[asyncio.Server] = []
        self.guards: list[ConnectionGuard] = []
        # Pages that depend on a query, by path, served beside the metrics.
        self.queries: dict[str, QueryRenderer] = {}

    async def serve(
        self,
        address: Address,
        path: str,
        render: Callable[[], Page],
        queries: Mapping[str, QueryRenderer] = NO_QUERIES,
    ) -> None:
        """Serve a page as soon as its address can be used.

        :param render: returns the page at each request
        :param queries: pages that depend on a query, by their paths, at the
            same address
        """
        application = web.Application()
        application.router.add_get(path, functools.partial(_respond, render))
        for query_path, answer in queries.items():
            application.router.add_get(
                query_path, functools.partial(_respond_to_query, answer)
            )
        runner = web.AppRunner(
            application,
            access_log=None,
            keepalive_timeout=PAGE_IDLE_S,
            lingering_time=PAGE_LINGERING_S,
            read_bufsize=PAGE_READ_BUFFER_BYTES,
        )
        await runner.setup()
        self.runners.append(runner)
        guard = PageGuard(path, PAGE_HEADER_BYTES, PAGE_BOUNDS)
        self.guards.append(guard)
        await open_when_possible(
            path,
            address.text,
            functools.partial(self._listen, runner, guard, address),
        )

    async def run_checks(self) -> None:
        """Check the pages' connections against their bounds periodically."""
        while True:
            await asyncio.sleep(PAGE_CHECK_PERIOD_S)
            for guard in self.guards:
                guard.refuse_late_heads(PAGE_HEADER_S, time.monotonic())
                guard.close_slow_readers()

    async def close(self) -> None:
        """Close the addresses of all pages."""
        for listener in self.listeners:
            listener.close()
        for runner in self.runners:
            await runner.cleanup()

    async def _listen(
        self, runner: web.AppRunner, guard: ConnectionGuard, address: Address
    ) -> None:
        """Listen on an address.

        :raises OSError: the address cannot be used
        """
        server = runner.server
        assert server is not None
        listener = await listen_bounded(
            lambda: guard.wrap(server()),
            address,
            PAGE_BACKLOG_CONNECTIONS,
            PAGE_BOUNDS.receive_buffer_bytes,
        )
        self.listeners.append(listener)


async def listen_bounded(
    make_protocol: Callable[[], asyncio.BufferedProtocol],
    address: Address,
    backlog_connections: int,
    receive_buffer_bytes: int,
) -> asyncio.Server:
    """Listen with a bound on what the kernel receives for each connection.

    Bytes that are received and not read count as memory of the process.

    :param receive_buffer_bytes: the bound, zero for that of the system
    :raises OSError: the address cannot be used
    """
    listening = open_bounded(address, receive_buffer_bytes)
    try:
        return await asyncio.get_running_loop().create_server(
            make_protocol, sock=listening, backlog=backlog_connections
        )
    except OSError:
        listening.close()
        raise


def open_bounded(address: Address, receive_buffer_bytes: int) -> socket.socket:
    """Open a socket at an address, with a bound on what the kernel receives.

    :param receive_buffer_bytes: the bound, zero for that of the system
    :raises OSError: the address cannot be used
    """
    opened = socket.socket()
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer_bytes:
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        opened.bind((address.ip, address.port))
    except OSError:
        opened.close()
        raise
    return opened


async def _respond(
    render: Callable[[], Page], request: web.Request
) -> web.Response:
    """Return a page as a response."""
    return _response(render())


async def _respond_to_query(
    answer: QueryRenderer, request: web.Request
) -> web.Response:
    """Return the page for a query as a response."""
    return _response(answer(request.query))


def _response(page: Page) -> web.Response:
    """Return a page as a response."""
    return web.Response(
        status=page.status, text=page.text, content_type=page.content_type
    )
