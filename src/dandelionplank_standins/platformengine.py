"""Stand-in of the platform's engines and plain services, with faults."""

import asyncio
import dataclasses
from typing import Any

from aiohttp import web

EVENT_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that was run, as the target got it.

    :param at_s: monotonic time at which it began to run
    """

    request_id: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    at_s: float


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """What goes wrong with the next requests.

    :param sheds: requests that are refused as not run
    :param loses: requests that are run and get no answer
    :param breaks_after: events after which one stream breaks off
    :param runs_left: requests that are run before all others are refused,
        negative for no such limit
    :param strays: answers to another request that come before the own one
    """

    sheds: int = 0
    loses: int = 0
    breaks_after: int = 0
    strays: int = 0
    fails: int = 0
    runs_left: int = -1
    delay_s: float = 0


class TargetStandin:
    """Runs requests: a model engine streams events, others echo."""

    def __init__(
        self,
        name: str,
        *,
        streams: bool = False,
        events: int = 5,
    ) -> None:
        """Start idle.

        :param streams: it is a model engine
        :param events: events of each stream
        """
        self.name = name
        self.streams = streams
        self.events = events
        self.faults = TargetFaults()
        self.runs: list[Run] = []
        self.kept_parts: dict[str, int] | None = {}

    @property
    def application(self) -> web.Application:
        """The target's interface over HTTP."""
        application = web.Application()
        application.router.add_get('/v1/kv-list', self._list_kept)
        application.router.add_route('*', '/{path:.*}', self._serve)
        return application

    async def _list_kept(self, request: web.Request) -> web.Response:
        """Tell which parts of prompts are kept; nothing if it fails."""
        if self.kept_parts is None:
            return web.Response(text='not a list')
        held = [['', part, size, 'm'] for part, size in self.kept_parts.items()]
        return web.json_response({'epoch': 1, 'Next': 0, 'held': held})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        """Run one request, or refuse it."""
        if request.headers.get('Dandelionplank-Expect-Instance') != self.name:
            return web.Response(status=421)
        if self.faults.sheds or not self.faults.runs_left:
            self.faults.sheds = max(0, self.faults.sheds - 1)
            return web.Response(
                status=503,
                headers={'Dandelionplank-Not-Executed': '1'},
            )
        self.faults.runs_left -= 1
        body = await request.read()
        self.runs.append(
            Run(
                request.headers.get('Dandelionplank-Request-Id', ''),
                request.method,
                request.raw_path,
                body,
                dict(request.headers),
                asyncio.get_running_loop().time(),
            ),
        )
        if self.faults.loses:
            self.faults.loses -= 1
            _cut(request)
        await asyncio.sleep(self.faults.delay_s)
        if self.streams:
            return await self._stream(request)
        return self._echo(request, body)

    def _echo(self, request: web.Request, body: bytes) -> web.Response:
        """Answer with the body that came."""
        if self.faults.strays:
            self.faults.strays -= 1
            _write_stray(request)
        status = 200
        if self.faults.fails:
            self.faults.fails -= 1
            status = 500
        return web.Response(
            status=status,
            body=body or b'done',
            headers=self._marks(request),
        )

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        """Send events, from after the last one that the caller has."""
        response = web.StreamResponse(headers=self._marks(request))
        response.content_type = 'text/event-stream'
        response.enable_chunked_encoding()
        await response.prepare(request)
        first = int(request.headers.get('Last-Event-Id') or 0) + 1
        for number in range(first, self.events + 1):
            if self.faults.breaks_after and number > self.faults.breaks_after:
                self.faults.breaks_after = 0
                await response.write(b'id: 99\ndata: cut')
                _cut(request)
            await response.write(f'id: {number}\ndata: x\n\n'.encode())
            await asyncio.sleep(EVENT_S)
        return response

    def _marks(self, request: web.Request) -> dict[str, str]:
        """Return the headers that mark an answer."""
        request_id = request.headers.get('Dandelionplank-Request-Id', '')
        return {
            'Dandelionplank-Request-Id': request_id,
            'Dandelionplank-Server-Stamp': f'{self.name}.{request_id}',
            'Dandelionplank-Engine-Load': '1,0,8,100',
        }


def _cut(request: web.Request) -> None:
    """Reset the connection in the middle of whatever goes on."""
    transport: Any = request.transport
    if transport is not None:
        transport.abort()
    raise ConnectionResetError


def _write_stray(request: web.Request) -> None:
    """Write an answer that belongs to another request."""
    transport: Any = request.transport
    transport.write(
        b'HTTP/1.1 200 OK\r\nDandelionplank-Request-Id: other\r\n'
        b'Dandelionplank-Server-Stamp: s\r\nContent-Length: 5\r\n\r\nstray',
    )
