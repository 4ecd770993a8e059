"""Stand-in of the platform's targets, with fault injection."""

import asyncio
import dataclasses
from typing import Any

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from dandelionplank_standins.resets import reset_on_close

EVENT_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutedRequest:
    """A request that a target executed, as the target received it.

    :param started_at_s: monotonic time at which execution started
    :param version: software version of the target
    """

    request_id: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    started_at_s: float
    version: str = ''


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """Faults of the next requests.

    :param rejected_requests: requests that are rejected as not executed
    :param lost_responses: requests that are executed and get no response
    :param truncate_after: events after which one stream is cut, zero for never
    :param runs_left: requests that are executed before all others are
        rejected, negative for no limit
    :param mismatched_responses: responses that are preceded by a
        mismatched response
    :param server_errors: requests that get a response with status 500
    :param unframed_responses: responses, of any status, that have neither a
        length nor chunks and end with their connection
    :param resets_unframed: such a response is reset in the middle
    :param delay_s: delay between the execution and the response
    :param crashing_part: part of a prompt that crashes the target before it
        responds, unless it is the last one
    :param crashing_body: body of a request that crashes the target before it
        responds, empty for none
    :param sends_head_before_crash: the crash follows a head that states neither
        length nor chunks, so that it looks like the end of the response
    :param crash_after_s: time from the first event of a stream to the crash,
        zero for a crash before it
    :param is_leaving: every response states that the target is leaving
    :param retry_after: text of ``Retry-After`` in each rejection, empty for
        none
    :param stated_limit: request rate that every response states, empty for none
    """

    rejected_requests: int = 0
    lost_responses: int = 0
    truncate_after: int = 0
    mismatched_responses: int = 0
    server_errors: int = 0
    unframed_responses: int = 0
    resets_unframed: bool = False
    runs_left: int = -1
    delay_s: float = 0
    crashing_part: str = ''
    crashing_body: bytes = b''
    sends_head_before_crash: bool = False
    crash_after_s: float = 0
    is_leaving: bool = False
    retry_after: str = ''
    stated_limit: str = ''


class UnframedResponse(web.StreamResponse):
    """A response that ends with its connection."""

    # Keeps the server from choosing chunks.
    _length_check = False

    async def prepare(
        self, request: web.BaseRequest
    ) -> AbstractStreamWriter | None:
        """Send the head; the connection closes after the response."""
        self.force_close()
        return await super().prepare(request)


class TargetStandin:
    """Executes requests: an engine streams events, a plain service echoes."""

    def __init__(
        self,
        name: str,
        *,
        streams: bool = False,
        events: int = 5,
        version: str = '',
    ) -> None:
        """Hold the faults, at first none, and the executed requests.

        :param name: instance id of the target
        :param streams: whether it is an engine
        :param events: number of events in each stream
        :param version: software version, as its entry in the store states it
        """
        self.name = name
        self.version = version
        self.streams = streams
        self.events = events
        self.faults = TargetFaults()
        self.runs: list[ExecutedRequest] = []
        self.rejected_at_s: list[float] = []
        self.cached_parts: dict[str, int] | bytes = {}
        self.runner: web.AppRunner | None = None
        self.crashed_at_s: float | None = None

    @property
    def application(self) -> web.Application:
        """The HTTP application that serves the target."""
        application = web.Application(client_max_size=64_000_000)
        application.router.add_get('/v1/kv-list', self._list_cached_parts)
        application.router.add_route('*', '/{path:.*}', self._serve)
        return application

    async def crash(self) -> None:
        """End as a killed process does: all sockets close at once."""
        assert self.runner is not None
        self.crashed_at_s = asyncio.get_running_loop().time()
        for site in tuple(self.runner.sites):
            await site.stop()
        assert self.runner.server is not None
        for connection in self.runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def _list_cached_parts(self, request: web.Request) -> web.Response:
        """Return the cached parts of prompts, or bytes that are no list."""
        if isinstance(self.cached_parts, bytes):
            return web.Response(body=self.cached_parts)
        cached = [
            ['', part, size, 'm'] for part, size in self.cached_parts.items()
        ]
        return web.json_response({'epoch': 1, 'Next': 0, 'held': cached})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        """Execute one request, or reject it."""
        if request.headers.get('Dandelionplank-Expect-Instance') != self.name:
            return web.Response(status=421, headers=self._all_headers(request))
        if self.faults.rejected_requests or not self.faults.runs_left:
            self.faults.rejected_requests = max(
                0, self.faults.rejected_requests - 1
            )
            headers = {
                **self._all_headers(request),
                'Dandelionplank-Not-Executed': '1',
            }
            if self.faults.retry_after:
                headers['Retry-After'] = self.faults.retry_after
            self.rejected_at_s.append(asyncio.get_running_loop().time())
            return await self._respond(request, 503, headers, b'full')
        self.faults.runs_left -= 1
        body = await request.read()
        self.runs.append(
            ExecutedRequest(
                request.headers.get('Dandelionplank-Request-Id', ''),
                request.method,
                request.raw_path,
                body,
                dict(request.headers),
                asyncio.get_running_loop().time(),
                self.version,
            ),
        )
        if self.faults.lost_responses:
            self.faults.lost_responses -= 1
            _reset_connection(request)
        await asyncio.sleep(self.faults.delay_s)
        if self._crashes_on(request, body):
            await self._crash_on(request)
            raise ConnectionResetError
        if self.streams:
            return await self._stream(request)
        return await self._echo(request, body)

    async def _crash_on(self, request: web.Request) -> None:
        """Crash while the response to a request begins."""
        if self.faults.sends_head_before_crash:
            _write_undelimited_head(request, self.name)
            await asyncio.sleep(EVENT_INTERVAL_S)
        if self.faults.crash_after_s:
            await self._begin_stream(request)
            await asyncio.sleep(self.faults.crash_after_s)
        await self.crash()

    def _crashes_on(self, request: web.Request, body: bytes) -> bool:
        """Return whether a request crashes the target."""
        if self.faults.crashing_body and body == self.faults.crashing_body:
            return True
        return _holds_part(request, self.faults.crashing_part)

    async def _echo(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        """Respond with the request body."""
        if self.faults.mismatched_responses:
            self.faults.mismatched_responses -= 1
            _write_mismatched_response(request)
        status = 200
        if self.faults.server_errors:
            self.faults.server_errors -= 1
            status = 500
        headers = self._response_headers(request)
        return await self._respond(request, status, headers, body or b'done')

    async def _respond(
        self,
        request: web.Request,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> web.StreamResponse:
        """Send a body with its length, or as an unframed response."""
        if not self._takes_unframed():
            return web.Response(status=status, headers=headers, body=body)
        response = UnframedResponse(status=status, headers=headers)
        await response.prepare(request)
        half = len(body) // 2
        await response.write(body[:half])
        await self._interrupt_unframed(request)
        await response.write(body[half:])
        return response

    def _takes_unframed(self) -> bool:
        """Return whether the next response is unframed, and count it."""
        if not self.faults.unframed_responses:
            return False
        self.faults.unframed_responses -= 1
        return True

    async def _interrupt_unframed(self, request: web.Request) -> None:
        """Pause in the middle of an unframed response, or reset it there."""
        if self.faults.resets_unframed and request.transport is not None:
            reset_on_close(request.transport)
            _reset_connection(request)
        await asyncio.sleep(EVENT_INTERVAL_S)

    async def _begin_stream(self, request: web.Request) -> None:
        """Send the first event of a stream."""
        response = web.StreamResponse(headers=self._response_headers(request))
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        await response.write(b'id: 1\ndata: x\n\n')

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        """Stream the events that follow ``Last-Event-Id``."""
        headers = self._response_headers(request)
        headers['Content-Type'] = 'text/event-stream'
        is_unframed = self._takes_unframed()
        response: web.StreamResponse
        if is_unframed:
            response = UnframedResponse(headers=headers)
        else:
            response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        first_event = int(request.headers.get('Last-Event-Id') or 0) + 1
        for number in range(first_event, self.events + 1):
            if (
                self.faults.truncate_after
                and number > self.faults.truncate_after
            ):
                self.faults.truncate_after = 0
                await response.write(b'id: 99\ndata: cut')
                _reset_connection(request)
            if is_unframed and number > 2:
                await self._interrupt_unframed(request)
            await response.write(f'id: {number}\ndata: x\n\n'.encode())
            await asyncio.sleep(EVENT_INTERVAL_S)
        return response

    def _all_headers(self, request: web.Request) -> dict[str, str]:
        """Return the headers of every response."""
        headers = _echoed_id(request)
        if self.faults.is_leaving:
            headers['Server-Leaving'] = '1'
        return headers

    def _response_headers(self, request: web.Request) -> dict[str, str]:
        """Return the headers that identify a response and report the load."""
        request_id = request.headers.get('Dandelionplank-Request-Id', '')
        headers = {
            **self._all_headers(request),
            'Dandelionplank-Server-Stamp': f'{self.name}.{request_id}',
            'Dandelionplank-Engine-Load': '1,0,8,100',
        }
        if self.faults.stated_limit:
            headers['Server-Limit'] = self.faults.stated_limit
        return headers


def _echoed_id(request: web.Request) -> dict[str, str]:
    """Return the header with the id of the request."""
    request_id = request.headers.get('Dandelionplank-Request-Id', '')
    return {'Dandelionplank-Request-Id': request_id}


def _holds_part(request: web.Request, part_id: str) -> bool:
    """Return whether a part, and not the last one, has the given id."""
    parts = request.headers.get('Dandelionplank-Prefix-Hash', '').split(',')
    return part_id in {part.partition(':')[0] for part in parts[:-1]}


def _reset_connection(request: web.Request) -> None:
    """Reset the connection and end the handler.

    :raises ConnectionResetError: always
    """
    transport: Any = request.transport
    if transport is not None:
        transport.abort()
    raise ConnectionResetError


def _write_undelimited_head(request: web.Request, name: str) -> None:
    """Write the head of a response that ends with its connection."""
    request_id = request.headers.get('Dandelionplank-Request-Id', '')
    head = (
        f'HTTP/1.1 200 OK\r\nDandelionplank-Request-Id: {request_id}\r\n'
        f'Dandelionplank-Server-Stamp: {name}.{request_id}\r\n'
        'Content-Type: text/event-stream\r\nConnection: close\r\n\r\n'
    )
    transport: Any = request.transport
    transport.write(head.encode())


def _write_mismatched_response(request: web.Request) -> None:
    """Write a response that belongs to another request."""
    transport: Any = request.transport
    transport.write(
        b'HTTP/1.1 200 OK\r\nDandelionplank-Request-Id: other\r\n'
        b'Dandelionplank-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nstray',
    )
