"""Stand-in of a model engine with a capacity: prefill, slots and a cache."""

import asyncio
import dataclasses
from collections import OrderedDict

from aiohttp import web

FULL_STATUS = 503
MISDIRECTED_STATUS = 421
# Requests that wait for a slot before further ones are rejected.
MAX_WAITING = 8
OUTPUT_COST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Capacity of an engine.

    :param tokens_per_s: prompt tokens that it prefills, one prompt at a time
    :param slots: requests that run concurrently
    :param memory_tokens: size of its prefix cache
    :param events: events of each stream
    :param event_s: time between two events
    """

    tokens_per_s: float = 56_100.0
    slots: int = 128
    memory_tokens: int = 700_000
    events: int = 5
    event_s: float = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class BegunRequest:
    """A request that an engine began to answer.

    :param at_s: monotonic time of its first token
    :param cost: prompt tokens, and twice the output tokens that it states
    """

    request_id: str
    account: str
    at_s: float
    cost: float


class BatchEngine:
    """Prefills prompts in order of arrival, and streams the answers."""

    def __init__(self, name: str, speed: EngineSpeed) -> None:
        """Hold an idle engine with an empty cache.

        :param name: instance id of the engine
        """
        self.name = name
        self.speed = speed
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.prefilled_s = 0.0
        self.waiting = 0
        self.slots = asyncio.Semaphore(speed.slots)
        self.begun: list[BegunRequest] = []
        self.rejected = 0

    @property
    def application(self) -> web.Application:
        """The HTTP application that serves the engine."""
        application = web.Application()
        application.router.add_get('/v1/kv-list', self._list_cached_parts)
        application.router.add_route('*', '/{path:.*}', self._serve)
        return application

    async def _list_cached_parts(self, request: web.Request) -> web.Response:
        """Return the cached parts of prompts."""
        held = [['', part, size, 'm'] for part, size in self.cached.items()]
        return web.json_response({'epoch': 1, 'Next': 0, 'held': held})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        """Run a request, or reject it while the engine is full."""
        if request.headers.get('Dandelionplank-Expect-Instance') != self.name:
            return web.Response(
                status=MISDIRECTED_STATUS, headers=_echoed_id(request)
            )
        await request.read()
        if self.slots.locked() and self.waiting >= MAX_WAITING:
            self.rejected += 1
            return web.Response(
                status=FULL_STATUS,
                headers={
                    **_echoed_id(request),
                    'Dandelionplank-Not-Executed': '1',
                },
            )
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            return await self._run(request)
        finally:
            self.slots.release()

    async def _run(self, request: web.Request) -> web.StreamResponse:
        """Prefill a prompt and stream the answer."""
        loop = asyncio.get_running_loop()
        uncached = self._cache(request)
        start_s = max(loop.time(), self.prefilled_s)
        self.prefilled_s = start_s + uncached / self.speed.tokens_per_s
        await asyncio.sleep(self.prefilled_s - loop.time())
        self.begun.append(
            BegunRequest(
                request.headers.get('Dandelionplank-Request-Id', ''),
                request.headers.get('Dandelionplank-Tenant', ''),
                loop.time(),
                request_cost(request.headers['Dandelionplank-Token-Usage']),
            ),
        )
        response = web.StreamResponse(
            headers={
                **_echoed_id(request),
                'Dandelionplank-Server-Stamp': self.name,
                'Content-Type': 'text/event-stream',
            },
        )
        await response.prepare(request)
        for number in range(1, self.speed.events + 1):
            await response.write(f'id: {number}\ndata: x\n\n'.encode())
            await asyncio.sleep(self.speed.event_s)
        return response

    def _cache(self, request: web.Request) -> int:
        """Cache the parts of a prompt; return how many tokens were not."""
        stated = request.headers['Dandelionplank-Prefix-Hash'].split(',')
        uncached = 0
        for entry in stated:
            part, _, count = entry.partition(':')
            tokens = int(count)
            if uncached or part not in self.cached:
                uncached += tokens
            self.cached[part] = tokens
            self.cached.move_to_end(part)
        while sum(self.cached.values()) > self.speed.memory_tokens:
            self.cached.popitem(last=False)
        return uncached


def request_cost(usage: str) -> float:
    """Return the cost of a request by its stated tokens."""
    prompt, _, output = usage.partition(',')
    return int(prompt) + OUTPUT_COST * int(output)


def _echoed_id(request: web.Request) -> dict[str, str]:
    """Return the header with the id of the request."""
    request_id = request.headers.get('Dandelionplank-Request-Id', '')
    return {'Dandelionplank-Request-Id': request_id}
