"""A small HTTP/1.1 server and client over asyncio streams."""

import asyncio
import dataclasses
import socket
import struct
import time

MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass
class Request:
    """A request as the server read it."""

    method: str
    path: str
    headers: dict
    body: bytes
    writer: asyncio.StreamWriter
    at_s: float
    number: int

    @property
    def request_id(self):
        """Return the id of the request."""
        return self.headers.get('dandelionplank-request-id', '')


@dataclasses.dataclass
class Response:
    """A response as the client read it; ``ended`` says how it ended."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    ended: str = ''
    sent_s: float = 0.0
    done_s: float = 0.0

    @property
    def is_success(self):
        """Return whether it is a complete success with a stamp."""
        return (
            self.ended == 'complete'
            and 200 <= self.status < 300
            and bool(self.headers.get('dandelionplank-server-stamp'))
        )


def parse_headers(lines):
    """Return the headers by lower-case name."""
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return headers


async def read_chunks(reader):
    """Yield the chunks of a chunked body."""
    while True:
        line = await reader.readline()
        if not line:
            raise asyncio.IncompleteReadError(b'', None)
        size = int(line.split(b';')[0].strip(), 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return
        yield await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader, writer, number):
    """Read one request; raise IncompleteReadError at the end."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    at_s = time.monotonic()
    first, *lines = head.split('\r\n')[:-2]
    method, path, _ = first.split(' ', 2)
    headers = parse_headers(lines)
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''.join([chunk async for chunk in read_chunks(reader)])
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Request(method, path, headers, body, writer, at_s, number)


class Server:
    """Serves each connection with a handler that writes the response.

    The handler returns whether the connection stays open.
    """

    def __init__(self, handle):
        """Hold the handler."""
        self.handle = handle
        self.server = None
        self.writers = set()
        self.address = ''

    async def start(self, ip='127.0.0.1', port=0):
        """Listen and return ``ip:port``."""
        self.server = await asyncio.start_server(
            self._serve, ip, port, limit=MAX_HEAD_BYTES, backlog=1024
        )
        ip, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{ip}:{port}'
        return self.address

    def stop(self):
        """Stop listening and abort all connections, as a crash does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        number = 0
        try:
            while True:
                number += 1
                request = await read_request(reader, writer, number)
                if not await self.handle(request):
                    break
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            asyncio.CancelledError,
            ValueError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def reset(writer):
    """Reset a connection."""
    raw = writer.get_extra_info('socket')
    try:
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    except OSError:
        pass
    writer.transport.abort()


def response_bytes(status, headers, body, reason='OK'):
    """Return an encoded response with its length."""
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class ClientConnection:
    """A client's connection, kept for several requests."""

    def __init__(self, address):
        """Hold the address ``ip:port``."""
        self.ip, _, port = address.rpartition(':')
        self.port = int(port)
        self.reader = None
        self.writer = None

    async def open(self, timeout_s=1.0):
        """Connect; raise OSError or TimeoutError."""
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, self.port, limit=1 << 20),
            timeout_s,
        )

    def close(self):
        """Close the connection."""
        if self.writer:
            self.writer.close()
            self.writer = None

    async def call(
        self, method, path, headers, body=b'', timeout_s=5.0, on_chunk=None
    ):
        """Send a request and read its response."""
        response = Response(sent_s=time.monotonic())
        try:
            await asyncio.wait_for(
                self._call(method, path, headers, body, response, on_chunk),
                timeout_s,
            )
        except (TimeoutError, asyncio.TimeoutError):
            response.ended = 'client gave up'
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            response.ended = f'cut: {type(error).__name__}'
        response.done_s = time.monotonic()
        if response.ended != 'complete':
            self.close()
        return response

    async def _call(self, method, path, headers, body, response, on_chunk):
        """Send a request and read its response into an object."""
        if self.writer is None:
            await self.open()
            response.sent_s = time.monotonic()
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await self.writer.drain()
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *rest = head.split('\r\n')[:-2]
        response.status = int(first.split(' ')[1])
        response.headers = parse_headers(rest)
        if response.headers.get('transfer-encoding', '') == 'chunked':
            async for chunk in read_chunks(self.reader):
                response.body += chunk
                if on_chunk:
                    on_chunk(response)
        elif 'content-length' in response.headers:
            length = int(response.headers['content-length'])
            response.body = await self.reader.readexactly(length)
        response.ended = 'complete'
        if response.headers.get('connection', '').lower() == 'close':
            self.close()
