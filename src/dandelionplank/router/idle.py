"""Task that closes callers' connections on which no request arrives."""

import asyncio
import time
from typing import Any

from aiohttp import web

from dandelionplank.metrics import METRICS
from dandelionplank.settings import CallerSettings

CHECK_PERIOD_S = 0.5
TIMEOUT_ANSWER = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class ConnectionUse:
    """How a connection is used.

    :param idle_since_s: monotonic time since which it carries no request
    """

    def __init__(self, now_s: float) -> None:
        """Start unused."""
        self.idle_since_s = now_s
        self.open_requests = 0
        self.was_used = False


class IdleConnectionTask:
    """Bounds the time that a connection may wait for a whole header.

    The HTTP library times out idle connections only after their first
    request, so a caller that sends its first header slowly, or never, is
    closed here.
    """

    def __init__(self, settings: CallerSettings) -> None:
        """Start without a server."""
        self.settings = settings
        self.server: web.Server | None = None
        self.uses: dict[Any, ConnectionUse] = {}

    def begin(self, connection: Any) -> None:
        """Note that a whole header has arrived on a connection."""
        use = self._use_of(connection)
        use.was_used = True
        use.open_requests += 1

    def end(self, connection: Any) -> None:
        """Note that a request on a connection has been answered."""
        use = self._use_of(connection)
        use.open_requests -= 1
        use.idle_since_s = time.monotonic()

    def is_idle(self, connection: Any) -> bool:
        """Tell whether a connection carries no request."""
        use = self.uses.get(connection)
        return use is None or not use.open_requests

    async def run(self) -> None:
        """Check all connections once a period."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if self.server:
                self.check(self.server.connections)

    def check(self, connections: list[Any]) -> None:
        """Close the connections that have waited too long."""
        now_s = time.monotonic()
        self.uses = {each: self._use_of(each) for each in connections}
        for connection, use in self.uses.items():
            limit_s = self.settings.header_timeout_s
            if use.was_used:
                limit_s += self.settings.idle_timeout_s
            if not use.open_requests and now_s - use.idle_since_s > limit_s:
                METRICS.add('idle_connections_closed_total')
                _close(connection)

    def _use_of(self, connection: Any) -> ConnectionUse:
        """Return the use of a connection, from now on if it is new."""
        use = self.uses.get(connection)
        if use is None:
            use = ConnectionUse(time.monotonic())
            self.uses[connection] = use
        return use


def _close(connection: Any) -> None:
    """Answer that the request came too slowly, and close."""
    if connection.transport:
        connection.transport.write(TIMEOUT_ANSWER)
    connection.force_close()
