"""Connections to targets: one request at a time, reused while sound."""

import asyncio
import dataclasses
import socket
import time
from collections.abc import Mapping

from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from dandelionplank.errors import ErrorCode, Outcome, TargetError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.targets import Target

STEP = 'connect'
# A target that does not complete a connection in this time is tried no more.
CONNECT_TIMEOUT_S = 0.6
# Idle time after which a connection is not used again, where the target
# does not state its own limit.
USUAL_IDLE_S = 4.0
# Part of the target's stated idle limit within which a connection is used.
IDLE_SHARE = 0.6
# A request that runs at most once uses a connection only if it was in use
# so lately that the target cannot have closed it.
UNREPEATABLE_IDLE_S = 0.4
LARGEST_HEAD_BYTES = 65_536
FIRST_FINAL_STATUS = 200


class TargetProtocol(ResponseHandler):
    """Parses answers; a reset never looks like the end of a body."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark a body that a reset cut off as broken."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(repr(exc)))
        super().connection_lost(exc)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The head of an answer and the body behind it."""

    status: int
    reason: str
    headers: Mapping[str, str]
    body: StreamReader


class TargetConnection:
    """One connection to a target."""

    def __init__(self, protocol: TargetProtocol) -> None:
        """Wrap a connected protocol."""
        self.protocol = protocol
        self.used_s = time.monotonic()
        self.idle_limit_s = USUAL_IDLE_S
        self.keeps_alive = True

    @property
    def is_sound(self) -> bool:
        """Whether another request may be sent; extra bytes rule it out."""
        return (
            self.keeps_alive
            and self.protocol.is_connected()
            and not self.protocol.should_close
        )

    def send(self, head: bytes, body: bytes, *, has_answer_body: bool) -> bool:
        """Write a request.

        :return: whether any byte was written
        """
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            return False
        self.protocol.set_response_params(
            skip_payload=not has_answer_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=LARGEST_HEAD_BYTES,
            max_field_size=LARGEST_HEAD_BYTES,
        )
        transport.writelines((head, body))
        return True

    async def read_answer(self) -> Answer:
        """Read the head of the next final answer.

        :raises aiohttp.ClientError: the connection broke
        """
        while True:
            message, body = await self.protocol.read()
            if message.code >= FIRST_FINAL_STATUS:
                return self._answer(message, body)

    def close(self) -> None:
        """Close the connection; a target drops what it runs on it."""
        self.protocol.close()

    def abort(self) -> None:
        """Close the connection without waiting for what is unsent."""
        self.protocol.abort()

    def _answer(
        self, message: RawResponseMessage, body: StreamReader
    ) -> Answer:
        """Wrap an answer and note how long the target keeps idle ones."""
        self.keeps_alive = not message.should_close
        stated = message.headers.get('Keep-Alive', '')
        _, _, seconds = stated.partition('timeout=')
        digits = seconds.partition(',')[0].strip()
        if digits.isdecimal():
            self.idle_limit_s = int(digits) * IDLE_SHARE
        return Answer(
            message.code,
            message.reason or '',
            message.headers,
            body,
        )


class ConnectionPool:
    """Idle connections to every target."""

    def __init__(self) -> None:
        """Start without connections."""
        self.idle: dict[str, list[TargetConnection]] = {}

    async def acquire(
        self,
        target: Target,
        *,
        may_repeat: bool,
    ) -> TargetConnection:
        """Return a connection on which nothing is under way.

        :param may_repeat: the request may run again if the connection turns
            out to be closed
        :raises TargetError: no connection came about; nothing was sent
        """
        found = self._reuse(target.name, may_repeat=may_repeat)
        if found:
            return found
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                transport, protocol = await loop.create_connection(
                    lambda: TargetProtocol(loop),
                    target.address.ip,
                    target.address.port,
                )
        except (OSError, TimeoutError) as error:
            raise TargetError(
                repr(error),
                step=STEP,
                peer=target.name,
                code=ErrorCode.TARGET_UNREACHABLE,
                outcome=Outcome.NOT_RUN,
            ) from error
        raw_socket = transport.get_extra_info('socket')
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return TargetConnection(protocol)

    def release(self, target: Target, connection: TargetConnection) -> None:
        """Keep a connection whose answer has been read whole."""
        if not connection.is_sound:
            connection.close()
            return
        connection.used_s = time.monotonic()
        self.idle.setdefault(target.name, []).append(connection)

    def drop(self, name: str) -> None:
        """Close the idle connections to a target that is gone."""
        for connection in self.idle.pop(name, ()):
            connection.close()

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now_s = time.monotonic()
        for name, connections in tuple(self.idle.items()):
            kept = []
            for connection in connections:
                if _is_usable(connection, now_s, connection.idle_limit_s):
                    kept.append(connection)
                else:
                    connection.close()
            self.idle[name] = kept

    def close(self) -> None:
        """Close all idle connections."""
        log_event(Event.TARGETS_CLOSED, targets=len(self.idle))
        for name in tuple(self.idle):
            self.drop(name)

    def _reuse(self, name: str, *, may_repeat: bool) -> TargetConnection | None:
        """Return the connection that was used last, if it is sound."""
        connections = self.idle.get(name, [])
        now_s = time.monotonic()
        while connections:
            connection = connections.pop()
            limit_s = connection.idle_limit_s
            if not may_repeat:
                limit_s = min(limit_s, UNREPEATABLE_IDLE_S)
            if _is_usable(connection, now_s, limit_s):
                return connection
            connection.close()
        return None


def _is_usable(
    connection: TargetConnection,
    now_s: float,
    limit_s: float,
) -> bool:
    """Tell whether an idle connection may carry a request."""
    return connection.is_sound and now_s - connection.used_s < limit_s
