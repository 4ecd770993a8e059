"""Where a stream's events go: the caller's connection."""

import asyncio
import contextlib
from collections.abc import Iterator, Mapping

from aiohttp import web


class StreamSink:
    """Writes a stream to a caller."""

    def __init__(self, request: web.BaseRequest, *, closes: bool) -> None:
        """Prepare; nothing is sent.

        :param closes: the connection ends with this answer
        """
        self.request = request
        self.closes = closes
        self.response: web.StreamResponse | None = None

    async def start(
        self,
        status: int,
        reason: str,
        headers: Mapping[str, str],
    ) -> None:
        """Send the head of the answer."""
        self.response = web.StreamResponse(
            status=status,
            reason=reason,
            headers=headers,
        )
        self.response.enable_chunked_encoding()
        if self.closes:
            self.response.force_close()
        with _caller_may_leave():
            await self.response.prepare(self.request)

    async def write(self, block: bytes) -> None:
        """Send whole events."""
        assert self.response is not None
        with _caller_may_leave():
            await self.response.write(block)

    def break_off(self) -> None:
        """Close the connection, so that the answer cannot look complete."""
        if self.request.transport:
            self.request.transport.close()


@contextlib.contextmanager
def _caller_may_leave() -> Iterator[None]:
    """Treat a write to a closed connection as the caller's leaving.

    The connection may be closed a moment before the server cancels the task
    that answers it.
    """
    try:
        yield
    except ConnectionResetError as error:
        raise asyncio.CancelledError(str(error)) from error
