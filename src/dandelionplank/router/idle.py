"""Task that closes callers' connections on which no request arrives."""

import asyncio
import time
from typing import Any

from aiohttp import web

from dandelionplank.metrics import METRICS
from dandelionplank.settings import CallerSettings

CHECK_PERIOD_S = 0.5
TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class ConnectionActivity:
    """Holds the request activity of a connection.

    :param idle_since_s: monotonic time since which it carries no request
    """

    def __init__(self, now_s: float) -> None:
        """Hold the activity of a connection that has had no request."""
        self.idle_since_s = now_s
        self.open_requests = 0
        self.had_request = False


class IdleConnectionTask:
    """Limits how long a connection may wait for a complete request header.

    The HTTP library times out idle connections only after their first
    request, so connections whose first header arrives slowly, or never, are
    closed here.
    """

    def __init__(self, settings: CallerSettings) -> None:
        """Hold the timeouts; ``server`` is assigned after it has started."""
        self.settings = settings
        self.server: web.Server | None = None
        self.activities: dict[Any, ConnectionActivity] = {}

    def record_request_start(self, connection: Any) -> None:
        """Record that a complete header has arrived on a connection."""
        activity = self._activity_of(connection)
        activity.had_request = True
        activity.open_requests += 1

    def record_request_end(self, connection: Any) -> None:
        """Record that a request on a connection has ended."""
        activity = self._activity_of(connection)
        activity.open_requests -= 1
        activity.idle_since_s = time.monotonic()

    def is_idle(self, connection: Any) -> bool:
        """Return whether a connection carries no request."""
        activity = self.activities.get(connection)
        return activity is None or not activity.open_requests

    async def run(self) -> None:
        """Check all connections once a period."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if self.server:
                self.check(self.server.connections)

    def check(self, connections: list[Any]) -> None:
        """Close the connections that have waited longer than their limit."""
        now_s = time.monotonic()
        self.activities = {
            each: self._activity_of(each) for each in connections
        }
        for connection, activity in self.activities.items():
            limit_s = self.settings.header_timeout_s
            if activity.had_request:
                limit_s += self.settings.idle_timeout_s
            if (
                not activity.open_requests
                and now_s - activity.idle_since_s > limit_s
            ):
                METRICS.add('idle_connections_closed_total')
                _close(connection)

    def _activity_of(self, connection: Any) -> ConnectionActivity:
        """Return the activity of a connection, starting now if it is new."""
        activity = self.activities.get(connection)
        if activity is None:
            activity = ConnectionActivity(time.monotonic())
            self.activities[connection] = activity
        return activity


def _close(connection: Any) -> None:
    """Send a 408 response and close the connection."""
    if connection.transport:
        connection.transport.write(TIMEOUT_RESPONSE)
    connection.force_close()
