"""Sink that writes a stream's events to the caller's connection."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Iterator, Mapping

from aiohttp import HttpVersion11, web

# A socket that lingers for no time is reset when it is closed.
NO_LINGER = struct.pack('ii', 1, 0)


class StreamSink:
    """Writes a stream to a caller."""

    def __init__(
        self,
        request: web.BaseRequest,
        *,
        closes_connection: Callable[[], bool],
    ) -> None:
        """Hold the caller's request; nothing is sent.

        :param closes_connection: returns, as the response starts, whether the
            connection closes after it
        """
        self.request = request
        self.closes_connection = closes_connection
        self.response: web.StreamResponse | None = None

    @property
    def is_chunked(self) -> bool:
        """Whether the caller understands chunks, which HTTP/1.0 lacks."""
        return self.request.version >= HttpVersion11

    async def start(
        self,
        status: int,
        reason: str,
        headers: Mapping[str, str],
    ) -> None:
        """Send the head of the response."""
        self.response = web.StreamResponse(
            status=status,
            reason=reason,
            headers=headers,
        )
        if self.is_chunked:
            self.response.enable_chunked_encoding()
        if self.closes_connection():
            self.response.force_close()
        with _reset_as_cancellation():
            await self.response.prepare(self.request)

    async def write(self, block: bytes) -> None:
        """Send complete events."""
        assert self.response is not None
        with _reset_as_cancellation():
            await self.response.write(block)

    def abort(self) -> None:
        """End the connection, so that the response is seen as truncated.

        Without chunks, a close would be the proper end of the response.
        """
        transport = self.request.transport
        if transport is None:
            return
        if self.is_chunked:
            transport.close()
            return
        raw_socket = transport.get_extra_info('socket')
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        transport.abort()


@contextlib.contextmanager
def _reset_as_cancellation() -> Iterator[None]:
    """Treat a write to a closed connection as the caller's disconnect.

    The connection may be closed shortly before the server cancels the task
    that serves it.
    """
    try:
        yield
    except ConnectionResetError as error:
        raise asyncio.CancelledError(str(error)) from error
