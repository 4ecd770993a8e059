"""Opens the sockets of a daemon, again and again while that is not possible.

A process that replaces another may find its ports still in use, or its address
not yet assigned. If it ended, it would only be started again.
"""

import asyncio
import dataclasses
import functools
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from aiohttp import web

from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.settings import Address

RETRY_S = 0.2
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

    @classmethod
    def from_readiness(cls, *, is_ready: bool) -> 'Page':
        """Return the page that the balancer checks."""
        if is_ready:
            return cls()
        return cls(status=HTTPStatus.SERVICE_UNAVAILABLE)


class PageServer:
    """Serves pages for the platform, each on an address of its own."""

    def __init__(self) -> None:
        """Hold the servers, at first none."""
        self.runners: list[web.AppRunner] = []

    async def serve(
        self, address: Address, path: str, render: Callable[[], Page]
    ) -> None:
        """Serve a page as soon as its address can be used.

        :param render: returns the page at each request
        """
        application = web.Application()
        application.router.add_get(path, functools.partial(_respond, render))
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self.runners.append(runner)
        await open_when_possible(
            path, address.text, functools.partial(_listen, runner, address)
        )

    async def close(self) -> None:
        """Close the addresses of all pages."""
        for runner in self.runners:
            await runner.cleanup()


async def _listen(runner: web.AppRunner, address: Address) -> None:
    """Listen on an address.

    :raises OSError: the address cannot be used
    """
    site = web.TCPSite(runner, address.ip, address.port)
    try:
        await site.start()
    except OSError:
        await site.stop()
        raise


async def _respond(
    render: Callable[[], Page], request: web.Request
) -> web.Response:
    """Return a page as a response."""
    page = render()
    return web.Response(status=page.status, text=page.text)
