"""Stand-in of a model engine with continuous batching."""

import asyncio
import dataclasses
import math
import time
from collections import OrderedDict
from typing import Any

import msgspec
import xxhash
from aiohttp import web

from dandelionplank_standins.faults import FaultInjector, drop_connection

ATTEMPT_HEADER = 'X-Request-Id'
RESUME_HEADER = 'X-Resume-Offset'
BYTES_PER_TOKEN = 4
DEFAULT_OUTPUT_TOKENS = 64
PREFIX_BYTES = 1024
MAX_STORED_STREAMS = 2000
CACHE_TRANSFER_S = 0.002


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """Timing and cache size of an engine.

    :param token_s: time between tokens while the batch size is not exceeded
    :param prefill_s_per_token: time per prompt token that is not cached
    :param batch: streams that run concurrently at full speed
    :param cached_prefixes: prompts that the prefix cache holds
    """

    token_s: float = 0.01
    prefill_s_per_token: float = 0.00002
    batch: int = 8
    cached_prefixes: int = 64


@dataclasses.dataclass
class EngineStream:
    """State of a token stream, stored so that the stream can be resumed."""

    id: str
    wanted: int
    prompt_tokens: int
    text: str
    produced: int = 0
    cancelled: bool = False


class EngineStandin:
    """Serves chat completions that consist of numbered tokens.

    The response is a function of the prompt, so that a caller can detect a
    response that belongs to another request.
    """

    def __init__(self, name: str, speed: EngineSpeed) -> None:
        """Hold the streams and the counts of the load report.

        :param name: name that the load report carries
        :param speed: timing and cache size
        """
        self.name = name
        self.speed = speed
        self.active = 0
        self.peak = 0
        self.tokens = 0
        self.runs = 0
        self.usage: dict[str, int] = {}
        self.streams: OrderedDict[str, EngineStream] = OrderedDict()
        self.prefixes: OrderedDict[int, None] = OrderedDict()
        self.slot_seconds = 0.0
        self.updated_at_s = time.monotonic()
        self.started_at_s = time.monotonic()
        self.application = web.Application(client_max_size=64_000_000)
        self.injector = FaultInjector.attach(self.application)
        self.application.add_routes(
            [
                web.post('/v1/chat/completions', self.complete),
                web.delete('/v1/streams/{id}', self.cancel),
                web.get('/v1/streams/{id}/cache', self.export_cache),
                web.put('/v1/streams/{id}/cache', self.import_cache),
                web.get('/load', self.show_load),
            ],
        )

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Stream a completion, or resume one at the offset in the header."""
        await self.injector.inject_before(request)
        if self.injector.should_inject(self.injector.faults.refuse):
            return web.Response(status=503, headers={'X-Not-Run': 'busy'})
        body = await request.read()
        attempt = request.headers.get(ATTEMPT_HEADER, 'unknown')
        offset = int(request.headers.get(RESUME_HEADER, 0))
        stream = self.streams.get(attempt)
        if offset and stream is None:
            return web.json_response({'error': 'unknown stream'}, status=404)
        if stream is not None and offset:
            stream = dataclasses.replace(stream, cancelled=False)
            self.streams[attempt] = stream
        else:
            try:
                stream = self._create_stream(attempt, msgspec.json.decode(body))
            except (msgspec.DecodeError, KeyError, TypeError) as error:
                return web.json_response({'error': str(error)}, status=400)
            self.runs += 1
        return await self._respond(request, stream, offset)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a stream."""
        stream = self.streams.get(request.match_info['id'])
        if stream:
            stream.cancelled = True
        return web.Response(text='ok\n')

    async def export_cache(self, request: web.Request) -> web.Response:
        """Return the state of a stream for import by another engine."""
        stream = self.streams.get(request.match_info['id'])
        if stream is None:
            return web.json_response({'error': 'unknown stream'}, status=404)
        await asyncio.sleep(CACHE_TRANSFER_S)
        return web.json_response(dataclasses.asdict(stream))

    async def import_cache(self, request: web.Request) -> web.Response:
        """Store the state of a stream that another engine exported."""
        document = msgspec.json.decode(await request.read())
        stream = EngineStream(**document)
        self.streams[stream.id] = stream
        await asyncio.sleep(CACHE_TRANSFER_S)
        return web.Response(text='ok\n')

    async def show_load(self, _: web.Request) -> web.Response:
        """Return the current load and the totals since the start."""
        self._update_active(0)
        return web.json_response(
            {
                'name': self.name,
                'active': self.active,
                'peak': self.peak,
                'tokens': self.tokens,
                'runs': self.runs,
                'slot_seconds': self.slot_seconds,
                'batch': self.speed.batch,
                'age_seconds': time.monotonic() - self.started_at_s,
            },
        )

    def _create_stream(self, attempt: str, document: Any) -> EngineStream:
        """Create and store the stream that responds to a prompt."""
        text = ''.join(
            str(message['content']) for message in document['messages']
        )
        wanted = int(
            document.get('max_completion_tokens')
            or document.get('max_tokens')
            or DEFAULT_OUTPUT_TOKENS,
        )
        prompt_tokens = math.ceil(len(text.encode()) / BYTES_PER_TOKEN)
        digest = xxhash.xxh64_hexdigest(text.encode())
        stream = EngineStream(attempt, wanted, prompt_tokens, digest)
        self.streams[attempt] = stream
        while len(self.streams) > MAX_STORED_STREAMS:
            self.streams.popitem(last=False)
        return stream

    async def _respond(
        self,
        request: web.Request,
        stream: EngineStream,
        offset: int,
    ) -> web.StreamResponse:
        """Prefill the prompt and stream the response."""
        self._update_active(1)
        self.peak = max(self.peak, self.active)
        response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                ATTEMPT_HEADER: stream.id,
            },
        )
        try:
            await self._prefill(stream, offset)
            await response.prepare(request)
            await self._send_tokens(request, response, stream, offset)
            await response.write(_final_events(stream))
            await response.write_eof()
        except ConnectionError:
            return response
        finally:
            self._update_active(-1)
        return response

    def _update_active(self, change: int) -> None:
        """Add the slot time since the last update and change ``active``."""
        now_s = time.monotonic()
        occupied_slots = min(self.active, self.speed.batch)
        self.slot_seconds += occupied_slots * (now_s - self.updated_at_s)
        self.updated_at_s = now_s
        self.active += change

    async def _prefill(self, stream: EngineStream, offset: int) -> None:
        """Wait for as long as the prefill of the prompt takes.

        A prompt in the prefix cache takes a tenth of the time; a resumed
        stream needs no prefill.
        """
        if offset:
            return
        prefix = xxhash.xxh32_intdigest(stream.text.encode())
        cached = prefix in self.prefixes
        self.prefixes[prefix] = None
        self.prefixes.move_to_end(prefix)
        while len(self.prefixes) > self.speed.cached_prefixes:
            self.prefixes.popitem(last=False)
        prefill_share = 0.1 if cached else 1.0
        duration_s = stream.prompt_tokens * self.speed.prefill_s_per_token
        await asyncio.sleep(
            prefill_share * duration_s * self.injector.faults.slowdown,
        )

    async def _send_tokens(
        self,
        request: web.Request,
        response: web.StreamResponse,
        stream: EngineStream,
        offset: int,
    ) -> None:
        """Send one event per token at the engine's token rate."""
        faults = self.injector.faults
        stream.produced = offset
        due_s = time.monotonic()
        while stream.produced < stream.wanted:
            faults = self.injector.faults
            due_s = max(due_s + self._token_s(), time.monotonic() - 1)
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            if stream.cancelled:
                drop_connection(request)
            while faults.silent and not stream.cancelled:
                await asyncio.sleep(0.05)
                faults = self.injector.faults
            if (
                faults.cut_after
                and stream.produced - offset >= faults.cut_after
            ):
                drop_connection(request)
            await response.write(self._token_event(stream))
            stream.produced += 1
            self.tokens += 1

    def _token_s(self) -> float:
        """Return the time per token.

        It grows in proportion to the active streams beyond the batch size.
        """
        overload = max(1.0, self.active / self.speed.batch)
        return self.speed.token_s * overload * self.injector.faults.slowdown

    def _token_event(self, stream: EngineStream) -> bytes:
        """Return the server-sent event of the next token."""
        stream_id = stream.id
        if self.injector.faults.crossed:
            stream_id = f'other-{stream.id[:-1]}'
        token = f'{stream.text[:6]}:{stream.produced} '
        return (
            f'data: {{"id":"chatcmpl-{stream_id}",'
            '"object":"chat.completion.chunk","model":"standin",'
            f'"choices":[{{"index":0,"delta":{{"content":"{token}"}},'
            '"finish_reason":null}]}\n\n'
        ).encode()


def _final_events(stream: EngineStream) -> bytes:
    """Return the usage event and the ``[DONE]`` event."""
    usage = {
        'prompt_tokens': stream.prompt_tokens,
        'completion_tokens': stream.wanted,
        'total_tokens': stream.prompt_tokens + stream.wanted,
    }
    event = {
        'id': f'chatcmpl-{stream.id}',
        'object': 'chat.completion.chunk',
        'model': 'standin',
        'choices': [],
        'usage': usage,
    }
    return b'data: %b\n\ndata: [DONE]\n\n' % msgspec.json.encode(event)
