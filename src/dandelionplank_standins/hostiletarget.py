"""Stand-in of a target that breaks the protocol, over raw connections."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from dandelionplank_standins.resets import reset_on_close

CHUNK_BYTES = 65_536
TRICKLE_PERIOD_S = 0.05
REQUEST_ID = 'dandelionplank-request-id'


@dataclasses.dataclass(frozen=True, slots=True)
class RawRequest:
    """A request as the hostile target reads it.

    :param number: number of the request on its connection, from one
    """

    request_id: str
    body: bytes
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One request and the connection on which it is answered."""

    request: RawRequest
    writer: asyncio.StreamWriter

    def head(
        self,
        *lines: str,
        status: str = '200 OK',
        request_id: str | None = None,
        version: str = 'HTTP/1.1',
    ) -> bytes:
        """Return the head of a response with the marks of this request.

        :param lines: further header lines
        :param request_id: id in place of the one of this request
        :param version: protocol version in the status line
        """
        stated_id = (
            self.request.request_id if request_id is None else request_id
        )
        marks = (
            f'{version} {status}',
            f'Dandelionplank-Request-Id: {stated_id}',
            f'Dandelionplank-Server-Stamp: stamp.{stated_id}',
        )
        return '\r\n'.join((*marks, *lines, '', '')).encode()

    def response(self, body: bytes, request_id: str | None = None) -> bytes:
        """Return a complete response."""
        length = f'Content-Length: {len(body)}'
        return self.head(length, request_id=request_id) + body

    async def write(self, block: bytes) -> None:
        """Write bytes and wait until the connection takes more."""
        self.writer.write(block)
        await self.writer.drain()

    def end(self, *, is_reset: bool = False) -> None:
        """Close the connection.

        :param is_reset: reset it, as by a crash
        """
        if is_reset:
            reset_on_close(self.writer.transport)
        self.writer.close()

    async def flood(self, block: bytes) -> None:
        """Repeat bytes until the gateway closes the connection."""
        repeated = block * max(1, CHUNK_BYTES // len(block))
        while True:
            await self.write(repeated)

    async def trickle(self, block: bytes) -> None:
        """Write bytes now and then until the gateway closes."""
        while True:
            await self.write(block)
            await asyncio.sleep(TRICKLE_PERIOD_S)


Behaviour = Callable[[Exchange], Awaitable[None]]


class HostileTarget:
    """Answers each request as its behaviour says."""

    def __init__(
        self, behaviour: Behaviour, *, reads_bodies: bool = True
    ) -> None:
        """Hold the behaviour and the requests received so far.

        :param reads_bodies: else a connection ends with its first response,
            and the body of that request is never read
        """
        self.behaviour = behaviour
        self.reads_bodies = reads_bodies
        self.requests: list[RawRequest] = []
        self.connections: set[asyncio.StreamWriter] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until either side closes it."""
        self.connections.add(writer)
        number = 0
        try:
            while self.reads_bodies or not number:
                number += 1
                request = await _read_request(
                    reader, number, reads_body=self.reads_bodies
                )
                self.requests.append(request)
                await self.behaviour(Exchange(request, writer))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.connections.discard(writer)

    def close(self) -> None:
        """Abort all connections."""
        for writer in tuple(self.connections):
            writer.transport.abort()


async def _read_request(
    reader: asyncio.StreamReader, number: int, *, reads_body: bool
) -> RawRequest:
    """Read one request with a length, or its head only."""
    head = await reader.readuntil(b'\r\n\r\n')
    headers = {}
    for line in head.decode('latin-1').split('\r\n')[1:]:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', '0'))
    body = await reader.readexactly(length) if reads_body else b''
    return RawRequest(headers.get(REQUEST_ID, ''), body, number)
