"""Task that closes callers' connections on which no request arrives."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from aiohttp import web

from dandelionplank.metrics import METRICS
from dandelionplank.settings import CallerSettings

CHECK_PERIOD_S = 0.5
# Turns of the loop from a request in a socket to the start of its handler.
REQUEST_START_TURNS = 5
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

    def __init__(
        self,
        settings: CallerSettings,
        has_pending: Callable[[Any], bool] | None = None,
    ) -> None:
        """Hold the timeouts; ``server`` is assigned after it has started.

        :param has_pending: returns whether a connection has bytes that were
            read and not yet parsed
        """
        self.settings = settings
        self.has_pending = has_pending or _has_none
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
        if self.has_pending(connection):
            return False
        activity = self.activities.get(connection)
        return activity is None or not activity.open_requests

    async def run(self) -> None:
        """Check all connections once a period."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if self.server:
                expired = self.find_expired(self.server.connections)
                closed = await self.close_idle(expired, TIMEOUT_RESPONSE)
                METRICS.add('idle_connections_closed_total', closed)

    async def close_idle(
        self, connections: list[Any], last_bytes: bytes = b''
    ) -> int:
        """Close those of some connections that carry no request.

        Nothing is read while the handlers of the requests that have been read
        start, so no request is read and then dropped.

        :param last_bytes: written before a connection closes
        :return: how many have been closed
        """
        paused = {
            each: self._activity_of(each).idle_since_s
            for each in connections
            if self.is_idle(each)
        }
        for connection in paused:
            if _is_open(connection):
                connection.transport.pause_reading()
        await run_turns()
        closed = 0
        for connection, idle_since_s in paused.items():
            is_unused = (
                idle_since_s == self._activity_of(connection).idle_since_s
            )
            if is_unused and self.is_idle(connection):
                _close(connection, last_bytes)
                closed += 1
            elif _is_open(connection):
                connection.transport.resume_reading()
        return closed

    def find_longest_idle(self, connections: list[Any]) -> list[Any]:
        """Return the connections that carry no request, longest idle first."""
        idle = [each for each in connections if self.is_idle(each)]
        idle.sort(key=lambda each: self._activity_of(each).idle_since_s)
        return idle

    def find_expired(self, connections: list[Any]) -> list[Any]:
        """Return the connections that have waited longer than their limit."""
        now_s = time.monotonic()
        expired = []
        self.activities = {
            each: self._activity_of(each) for each in connections
        }
        for connection, activity in self.activities.items():
            limit_s = self.settings.header_timeout_s
            if activity.had_request:
                limit_s += self.settings.idle_timeout_s
            if (
                not activity.open_requests
                and not self.has_pending(connection)
                and now_s - activity.idle_since_s > limit_s
            ):
                expired.append(connection)
        return expired

    def _activity_of(self, connection: Any) -> ConnectionActivity:
        """Return the activity of a connection, starting now if it is new."""
        activity = self.activities.get(connection)
        if activity is None:
            activity = ConnectionActivity(time.monotonic())
            self.activities[connection] = activity
        return activity


async def run_turns() -> None:
    """Let the requests in the sockets be read and their handlers start."""
    for _ in range(REQUEST_START_TURNS):
        await asyncio.sleep(0)


def _has_none(_: Any) -> bool:
    """Return that a connection has no pending bytes."""
    return False


def _is_open(connection: Any) -> bool:
    """Return whether a connection's transport is neither closed nor closing."""
    transport = connection.transport
    return transport is not None and not transport.is_closing()


def _close(connection: Any, last_bytes: bytes) -> None:
    """Write the last bytes to a connection and close it."""
    if last_bytes and connection.transport:
        connection.transport.write(last_bytes)
    connection.force_close()
