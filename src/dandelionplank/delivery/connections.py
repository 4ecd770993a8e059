"""Connections to targets: one request at a time, reused while usable."""

import asyncio
import collections
import dataclasses
import socket
import time
from collections.abc import Mapping

from aiohttp.client_exceptions import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from dandelionplank.decoding import parse_count
from dandelionplank.delivery.bounds import (
    MAX_INTERIM_RESPONSES,
    MAX_PARSED_HEADS,
    PARSED_SLICE_BYTES,
    READ_BUFFER_BYTES,
)
from dandelionplank.errors import ErrorCode, Outcome, TargetError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.targets import Target

STEP = 'connect'
# A target that does not accept a connection in this time is unreachable.
CONNECT_TIMEOUT_S = 0.6
# Idle time after which a connection is not reused, unless the target states
# its own limit.
DEFAULT_IDLE_LIMIT_S = 4.0
# Share of the target's stated idle limit within which a connection is reused.
IDLE_LIMIT_SHARE = 0.6
LONGEST_IDLE_LIMIT_S = 3600
# Idle limit for requests that are not idempotent: short enough that the target
# cannot have closed the connection meanwhile.
NON_IDEMPOTENT_IDLE_LIMIT_S = 0.4
MAX_HEADER_LINE_BYTES = 65_536
# Request ids that a connection remembers.
MAX_CARRIED_IDS = 64
FIRST_FINAL_STATUS = 200
# A status outside of these is no response in HTTP.
FIRST_STATUS = 100
LAST_STATUS = 599


class TargetProtocol(ResponseHandler):
    """Parses responses; a reset is an error, never the end of a body.

    :param is_idle: no request is open, so that any byte is out of place
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Hold the state of a connection without a request."""
        super().__init__(loop)
        self.is_idle = True

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Parse received bytes in slices, within the limits on heads.

        Bytes that belong to no request close the connection, so that they
        cannot be taken for a response to the next one.
        """
        if data and self.is_idle:
            self._end('bytes without a request')
            return
        # Without data, the parser continues with the bytes that it holds.
        for start in range(0, max(1, len(data)), PARSED_SLICE_BYTES):
            super().data_received(data[start : start + PARSED_SLICE_BYTES])
            if len(self._buffer) > MAX_PARSED_HEADS:
                self._end('too many responses to one request')
            if self.transport is None or self.transport.is_closing():
                self._fail_body(self.exception())
                return

    def eof_received(self) -> None:
        """End a body without a length unless its request is still unwritten.

        A target may answer early, but the end of its connection is then no
        sign that its response is whole.
        """
        payload = self._payload
        is_open = payload is not None and not payload.is_eof()
        transport = self.transport
        if is_open and transport and transport.get_write_buffer_size():
            self._end('connection ends before its request is written')
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on a body that a reset truncated."""
        if exc is not None:
            self._fail_body(ClientPayloadError(repr(exc)))
        super().connection_lost(exc)

    def _fail_body(self, error: BaseException | None) -> None:
        """Set an error, if there is one, on a body that is incomplete."""
        payload = self._payload
        if error is not None and payload is not None and not payload.is_eof():
            payload.set_exception(error)

    def _end(self, reason: str) -> None:
        """Close the connection; a reader gets an error."""
        METRICS.add('target_bytes_refused_total', reason=reason)
        error = ClientPayloadError(reason)
        self._fail_body(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetResponse:
    """The head of a response and a reader of its body.

    :param is_unframed: the body has neither a length nor chunks and ends with
        its connection
    """

    status: int
    reason: str
    headers: Mapping[str, str]
    body: StreamReader
    is_unframed: bool


class TargetConnection:
    """One connection to a target, with the limit of its idle time."""

    def __init__(self, protocol: TargetProtocol) -> None:
        """Hold a connected protocol."""
        self.protocol = protocol
        self.last_used_s = time.monotonic()
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.keep_alive = True
        self.request_count = 0
        self.carried_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_CARRIED_IDS
        )

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be sent; false after extra bytes."""
        return (
            self.keep_alive
            and self.protocol.is_connected()
            and not self.protocol.should_close
        )

    def can_carry(self, request_id: str) -> bool:
        """Return whether a response to a request is known to be its own.

        A target may repeat the response to an earlier request, and only the id
        distinguishes the two. A connection therefore carries each id once, and
        a request without an id only as its first.
        """
        if not self.request_count:
            return True
        return bool(request_id) and request_id not in self.carried_ids

    def send(
        self,
        head: bytes,
        body: bytes,
        *,
        request_id: str,
        has_response_body: bool,
    ) -> bool:
        """Write a request unless the connection is closing.

        :return: whether any byte was written
        """
        self.carried_ids.append(request_id)
        transport = self.protocol.transport
        if transport is None or transport.is_closing():
            return False
        self.protocol.is_idle = False
        self.request_count += 1
        self.protocol.set_response_params(
            skip_payload=not has_response_body,
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
        )
        transport.writelines((head, body))
        return True

    async def read_response(self) -> TargetResponse:
        """Read the head of the next final response.

        :raises aiohttp.ClientError: the connection broke, or too many interim
            responses have arrived
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            message, body = await self.protocol.read()
            if not FIRST_STATUS <= message.code <= LAST_STATUS:
                raise ClientPayloadError(f'status {message.code}')
            if message.code >= FIRST_FINAL_STATUS:
                return self._to_response(message, body)
        raise ClientPayloadError('too many interim responses')

    def close(self) -> None:
        """Close the connection; the target cancels requests that run on it."""
        self.protocol.close()

    def abort(self) -> None:
        """Close the connection and discard unsent bytes."""
        self.protocol.abort()

    def _to_response(
        self, message: RawResponseMessage, body: StreamReader
    ) -> TargetResponse:
        """Wrap a response and read the connection's limits from its head."""
        self.keep_alive = not message.should_close
        stated = message.headers.get('Keep-Alive', '')
        _, _, seconds = stated.partition('timeout=')
        stated_s = parse_count(seconds.partition(',')[0], LONGEST_IDLE_LIMIT_S)
        if stated_s is not None:
            self.idle_limit_s = stated_s * IDLE_LIMIT_SHARE
        return TargetResponse(
            message.code,
            message.reason or '',
            message.headers,
            body,
            is_unframed=not (
                body is EMPTY_PAYLOAD
                or message.chunked
                or 'Content-Length' in message.headers
            ),
        )


class ConnectionPool:
    """Holds idle connections to every target and opens new ones."""

    def __init__(self) -> None:
        """Hold the idle connections of each target by name."""
        self.idle: dict[str, list[TargetConnection]] = {}

    async def acquire(
        self,
        target: Target,
        *,
        request_id: str,
        is_retryable: bool,
    ) -> TargetConnection:
        """Return a connection that carries no request.

        :param request_id: id of the request that is to be sent, may be empty
        :param is_retryable: the request may be retried if the connection turns
            out to be closed
        :raises TargetError: no connection was established; nothing was sent
        """
        found = self._reuse(target.name, request_id, is_retryable=is_retryable)
        return found or await self.open(target)

    async def open(self, target: Target) -> TargetConnection:
        """Open a new connection.

        :raises TargetError: no connection was established; nothing was sent
        """
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
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES
        )
        return TargetConnection(protocol)

    def release(self, target: Target, connection: TargetConnection) -> None:
        """Keep a connection for reuse, or close it if it is not usable."""
        if not connection.is_usable:
            connection.close()
            return
        connection.protocol.is_idle = True
        connection.last_used_s = time.monotonic()
        self.idle.setdefault(target.name, []).append(connection)

    def drop(self, name: str) -> None:
        """Close the idle connections to a target that was removed."""
        for connection in self.idle.pop(name, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now_s = time.monotonic()
        for name, connections in tuple(self.idle.items()):
            kept = []
            for connection in connections:
                if _is_reusable(connection, now_s, connection.idle_limit_s):
                    kept.append(connection)
                else:
                    connection.close()
            self.idle[name] = kept

    def close(self) -> None:
        """Close all idle connections."""
        log_event(Event.TARGETS_CLOSED, targets=len(self.idle))
        for name in tuple(self.idle):
            self.drop(name)

    def _reuse(
        self, name: str, request_id: str, *, is_retryable: bool
    ) -> TargetConnection | None:
        """Return the most recently used connection that is reusable."""
        connections = self.idle.get(name, [])
        now_s = time.monotonic()
        for connection in reversed(connections):
            if not connection.can_carry(request_id):
                continue
            connections.remove(connection)
            limit_s = connection.idle_limit_s
            if not is_retryable:
                limit_s = min(limit_s, NON_IDEMPOTENT_IDLE_LIMIT_S)
            if _is_reusable(connection, now_s, limit_s):
                return connection
            connection.close()
        return None


def _is_reusable(
    connection: TargetConnection,
    now_s: float,
    limit_s: float,
) -> bool:
    """Return whether an idle connection may carry a request."""
    return connection.is_usable and now_s - connection.last_used_s < limit_s
