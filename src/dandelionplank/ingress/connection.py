"""Callers' connections, bounded before aiohttp's handler sees their bytes.

The handler parses what it is given at once and holds incomplete heads whatever
their size. A connection here reads blocks of a fixed size into one buffer that
all share, counts them and passes them on.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import StreamReader

from dandelionplank.events import Event
from dandelionplank.ingress.callerbounds import (
    CallerBounds,
    Unread,
    find_slow_readers,
)
from dandelionplank.ingress.inputmeter import Excess, InputMeter
from dandelionplank.ingress.turns import TurnQueue
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS

# A block of small chunks takes some milliseconds to parse.
BLOCK_BYTES = 16_384
# Time after which a refused connection is closed even if its handler waits.
REFUSED_LIMIT_S = 15.0


class GatedTransport:
    """A transport that its handler and its connection may pause.

    Methods of the transport are attributes, so that writing costs no further
    call.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        resumed: Callable[[], None],
        end_input: Callable[[], None],
    ) -> None:
        """Hold a transport that reads.

        :param resumed: called when the handler reads again
        :param end_input: ends the body that is being read; the connection
            closes after the response
        """
        self.raw = transport
        self.resumed = resumed
        self.end_input = end_input
        self.is_paused_by_handler = False
        self.is_held = False
        self.write = transport.write
        self.writelines = transport.writelines
        self.close = transport.close
        self.abort = transport.abort
        self.is_closing = transport.is_closing
        self.is_reading = transport.is_reading
        self.get_extra_info = transport.get_extra_info
        self.get_write_buffer_size = transport.get_write_buffer_size
        self.set_write_buffer_limits = transport.set_write_buffer_limits

    def pause_reading(self) -> None:
        """Pause reading on behalf of the handler."""
        self.is_paused_by_handler = True
        self._pause()

    def resume_reading(self) -> None:
        """Read again as far as the handler is concerned."""
        self.is_paused_by_handler = False
        self.resumed()
        self._resume()

    def hold(self) -> None:
        """Pause reading while bytes wait to be parsed."""
        self.is_held = True
        self._pause()

    def release(self) -> None:
        """Read again once no byte waits."""
        self.is_held = False
        self._resume()

    def _pause(self) -> None:
        """Pause the transport if it is open."""
        if not self.raw.is_closing():
            self.raw.pause_reading()

    def _resume(self) -> None:
        """Resume the transport if it is open and nothing pauses it."""
        if self.is_held or self.is_paused_by_handler:
            return
        if not self.raw.is_closing():
            self.raw.resume_reading()


class CallerConnection(asyncio.BufferedProtocol):
    """Passes the bytes of one connection to its handler, within bounds."""

    def __init__(
        self, http: web.RequestHandler, guard: 'ConnectionGuard'
    ) -> None:
        """Hold the handler and what all connections share."""
        self.http: Any = http
        self.guard = guard
        self.transport: GatedTransport | None = None
        self.meter = InputMeter()
        self.body: StreamReader | None = None
        self.pending: deque[bytes] = deque()
        self.is_queued = False
        self.refused_at_s: float | None = None
        self.cost_s = 0.0
        self.unread_bytes = 0
        self.parsed_count = 0

    @property
    def is_idle(self) -> bool:
        """Whether the handler waits for a request."""
        # aiohttp has no public sign of it; its own timeouts use this one.
        waiter = self.http._waiter  # noqa: SLF001
        return waiter is not None and not waiter.done()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Give the handler a transport that both may pause."""
        self.transport = GatedTransport(
            cast(asyncio.Transport, transport),
            self._on_handler_resumed,
            self.end_input,
        )
        if not self.guard.admit(self):
            self.transport.abort()
            return
        self.http.connection_made(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what waits and end the handler."""
        self.pending.clear()
        self.guard.connections.pop(self.http, None)
        self.http.connection_lost(exc)

    def pause_writing(self) -> None:
        """Let the handler wait until the caller has read more."""
        self.http.pause_writing()

    def resume_writing(self) -> None:
        """Let the handler write again."""
        self.http.resume_writing()

    def eof_received(self) -> None:
        """Close the connection, as the handler does without this layer."""
        self.http.eof_received()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the shared buffer, which is read in the same call."""
        return self.guard.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read, or let them wait for a turn."""
        if self.refused_at_s is not None:
            return
        block = bytes(self.guard.buffer[:nbytes])
        if self.pending or not self.guard.may_feed(self):
            assert self.transport is not None
            self.pending.append(block)
            self.transport.hold()
            self.guard.enqueue(self)
            return
        self.guard.feed(self, block)

    def feed(self, block: bytes, now_s: float) -> None:
        """Parse a block, no further than an incomplete head may be long."""
        while block and self.refused_at_s is None:
            room = len(block)
            if self.body is None:
                room = self.meter.count_room(self.guard.header_bytes)
            self._parse(block[:room], now_s)
            block = block[room:]

    def refuse(self, excess: Excess, now_s: float) -> None:
        """Refuse what the connection sends and close it.

        The request that is being read gets its response from the gateway.
        """
        self.refused_at_s = now_s
        self.pending.clear()
        held_bytes = self.meter.head_bytes or self.meter.wire_bytes
        self.guard.record_close(excess.label, held_bytes)
        # A head may be refused before the handler's task has started.
        is_unused = self.is_idle or not self.http._request_count  # noqa: SLF001
        if self.body is None and is_unused:
            assert self.transport is not None
            self.transport.write(_render_refusal(excess))
            self.http.force_close()
            return
        self._fail_body(excess.label)
        self.http.close()

    def end_input(self) -> None:
        """Read no more; close the connection after the current response."""
        self.refused_at_s = time.monotonic()
        self.pending.clear()
        self._fail_body('ended')
        self.http.close()

    def take_unread(self, size: int) -> Unread['CallerConnection']:
        """Return what the caller has not read, and remember it."""
        unread = Unread(self, size, self.unread_bytes)
        self.unread_bytes = size
        return unread

    def close_if_refused(self, now_s: float) -> None:
        """Close a refused connection whose handler has nothing left to do."""
        if self.refused_at_s is None or self.transport is None:
            return
        if self.is_idle:
            self.http.force_close()
        if now_s - self.refused_at_s > REFUSED_LIMIT_S:
            self.transport.abort()

    def _parse(self, block: bytes, now_s: float) -> None:
        """Let the handler parse a block and count what it made of it."""
        http = self.http
        was_open = self.body is not None
        # aiohttp tells of a message only once its handler starts, in a later
        # turn of the loop: its count and its queue show it at once.
        count = http._request_count  # noqa: SLF001
        http.data_received(block)
        self.parsed_count = http._request_count  # noqa: SLF001
        is_new = self.parsed_count != count
        if is_new:
            message, body = http._messages[-1]  # noqa: SLF001
            if not was_open and not self.meter.head_bytes and body.is_eof():
                # Most requests arrive whole: nothing was counted.
                self.refused_at_s = _error_time(message, now_s)
                return
            self._open_message(message, body, now_s)
        if self.refused_at_s is not None:
            return
        if self.body is not None and self.body.is_eof():
            self.body = None
        excess = self._count(block, now_s, is_complete=is_new or was_open)
        if excess is not None:
            self.refuse(excess, now_s)

    def _count(
        self, block: bytes, now_s: float, *, is_complete: bool
    ) -> Excess | None:
        """Count a parsed block.

        :param is_complete: whether it completed a head or a body
        """
        if self.body:
            return self.meter.add_body(len(block), self.body.total_bytes)
        if is_complete:
            self.meter.reset()
            return None
        return self.meter.add_head(block, self.guard.header_bytes, now_s)

    def _open_message(
        self, message: object, body: StreamReader, now_s: float
    ) -> None:
        """Count a message from its head on; parse nothing after an error."""
        self.refused_at_s = _error_time(message, now_s)
        if self.refused_at_s is None:
            self.meter.reset()
            self.body = body
            return
        if self.body is not None:
            self._fail_body('malformed')
            self.http.close()

    def _fail_body(self, reason: str) -> None:
        """End the body that is being read, if any, with an error."""
        if self.body is None:
            return
        self.body.set_exception(BadHttpMessage(reason))
        # Nothing is left to be read and dropped after the response.
        self.body.feed_eof()

    def _on_handler_resumed(self) -> None:
        """Continue with the bytes that waited for the handler.

        As it resumes, it parses the rest of the last block by itself.
        """
        http = self.http
        if http._request_count != self.parsed_count:  # noqa: SLF001
            self.parsed_count = http._request_count  # noqa: SLF001
            self._follow_latest()
        if self.pending:
            self.guard.enqueue(self)

    def _follow_latest(self) -> None:
        """Follow the latest message unless the handler has taken it already."""
        self.meter.reset()
        self.body = None
        if self.http._messages:  # noqa: SLF001
            message, body = self.http._messages[-1]  # noqa: SLF001
            self._open_message(message, body, time.monotonic())
            if body.is_eof():
                self.body = None


class ConnectionGuard:
    """Holds what the connections of a socket share, and their bounds."""

    # A connection that carries no request closes for a new one. Callers' ones
    # are closed with more care, so that no request is read and dropped.
    replaces_idle = False

    def __init__(
        self, purpose: str, header_bytes: int, bounds: CallerBounds
    ) -> None:
        """Hold no connection.

        :param purpose: what the socket is for, in log lines
        :param header_bytes: longest head of a request
        :param bounds: what the connections may hold together
        """
        self.bounds = bounds
        self.unread_bytes = 0
        self.is_crowded = asyncio.Event()
        self.purpose = purpose
        self.header_bytes = header_bytes
        self.buffer = memoryview(bytearray(BLOCK_BYTES))
        self.turns: TurnQueue[CallerConnection] = TurnQueue()
        self.connections: dict[Any, CallerConnection] = {}
        self.is_turn_due = False

    def wrap(self, http: web.RequestHandler) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(http, self)

    def admit(self, connection: CallerConnection) -> bool:
        """Register a connection that was accepted, unless there are too many.

        :return: whether it stays open
        """
        count = len(self.connections)
        if count >= self.bounds.crowded_connections:
            self.is_crowded.set()
        if count >= self.bounds.connections and not self._close_idle():
            METRICS.add('callers_closed_total', reason='connections')
            return False
        self.connections[connection.http] = connection
        return True

    def expect_response(self, size: int) -> None:
        """Count a response that is about to be written until the next check."""
        self.unread_bytes += size
        if self.unread_bytes > self.bounds.response_bytes:
            self.is_crowded.set()

    def close_slow_readers(self) -> None:
        """Close connections whose responses are read too slowly.

        Only as many as the bound on the unread bytes of all requires.
        """
        unread = []
        for connection in self.connections.values():
            transport = connection.transport
            size = transport.get_write_buffer_size() if transport else 0
            if size or connection.unread_bytes:
                unread.append(connection.take_unread(size))
        self.unread_bytes = sum(each.size for each in unread)
        METRICS.set_gauge(
            'caller_unread_bytes', self.unread_bytes, socket=self.purpose
        )
        slow = find_slow_readers(unread, self.bounds.response_bytes)
        for each in tuple(slow):
            self.record_close('slow reader', each.size)
            if each.writer.transport is not None:
                each.writer.transport.abort()

    def has_pending(self, http: Any) -> bool:
        """Return whether bytes of a handler's connection wait."""
        connection = self.connections.get(http)
        return connection is not None and bool(connection.pending)

    def may_feed(self, connection: CallerConnection) -> bool:
        """Return whether a connection's bytes may be parsed in this turn."""
        transport = connection.transport
        if transport is None or transport.is_paused_by_handler:
            return False
        return self.turns.may_run(connection.cost_s)

    def feed(self, connection: CallerConnection, block: bytes) -> None:
        """Parse a block and count its time."""
        started_s = time.monotonic()
        connection.feed(block, started_s)
        cost_s = time.monotonic() - started_s
        if connection.body or connection.meter.head_bytes:
            connection.cost_s += cost_s
        else:
            connection.cost_s = 0.0
        self.turns.charge(cost_s)
        if self.turns.is_used:
            self._schedule_turn()

    def enqueue(self, connection: CallerConnection) -> None:
        """Let a connection wait for a turn, unless its handler is full."""
        transport = connection.transport
        if transport is None or transport.is_paused_by_handler:
            return
        if not connection.is_queued:
            connection.is_queued = True
            self.turns.add(connection, connection.cost_s)
        self._schedule_turn()

    def refuse_late_heads(self, limit_s: float, now_s: float) -> None:
        """Refuse the heads that have been incomplete for too long."""
        for connection in tuple(self.connections.values()):
            if connection.refused_at_s is not None:
                connection.close_if_refused(now_s)
            elif connection.is_idle and connection.meter.is_late(
                limit_s, now_s
            ):
                connection.refuse(Excess.LATE_HEAD, now_s)

    def record_close(self, reason: str, held_bytes: int) -> None:
        """Log and count a connection that is closed to keep a bound."""
        METRICS.add('callers_closed_total', reason=reason)
        log_event(
            Event.CALLER_CLOSED,
            socket=self.purpose,
            reason=reason,
            held_bytes=held_bytes,
        )

    def _close_idle(self) -> bool:
        """Close the oldest connection without a request; return if there is."""
        idle = next(filter(_is_idle, self.connections.values()), None)
        if idle is None or not self.replaces_idle:
            return False
        self.record_close('idle', idle.meter.head_bytes)
        self.connections.pop(idle.http)
        idle.http.force_close()
        return True

    def _schedule_turn(self) -> None:
        """Begin a turn in the next iteration of the loop."""
        if not self.is_turn_due:
            self.is_turn_due = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Serve waiting connections while the turn has time left."""
        self.is_turn_due = False
        self.turns.begin_turn()
        connection = self.turns.take(is_first=True)
        while connection is not None:
            connection.is_queued = False
            self._feed_next(connection)
            connection = self.turns.take(is_first=False)
        if not self.turns.is_empty:
            self._schedule_turn()

    def _feed_next(self, connection: CallerConnection) -> None:
        """Parse the next waiting block of a connection."""
        transport = connection.transport
        if transport is None or transport.is_paused_by_handler:
            return
        if connection.pending:
            try:
                self.feed(connection, connection.pending.popleft())
            except Exception:
                # The loop logs nothing of it; other connections go on.
                METRICS.add('caller_errors_total')
                transport.abort()
        if connection.pending:
            self.enqueue(connection)
        else:
            transport.release()


def _error_time(message: object, now_s: float) -> float | None:
    """Return the time if a message is an error, after which none is parsed.

    The handler responds to the error. Each further block would be one more.
    """
    return None if isinstance(message, RawRequestMessage) else now_s


def _is_idle(connection: CallerConnection) -> bool:
    """Return whether a connection carries no request."""
    return connection.is_idle


class PageGuard(ConnectionGuard):
    """Holds the connections of a page, any of which may be opened again."""

    replaces_idle = True


def _render_refusal(excess: Excess) -> bytes:
    """Return the response to input that belongs to no request yet."""
    status = excess.status
    return (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'Connection: close\r\nContent-Length: 0\r\n\r\n'
    ).encode()
