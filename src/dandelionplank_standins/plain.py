"""Stand-in of a plain service that echoes requests and counts them."""

import asyncio
from typing import Any

from aiohttp import web

from dandelionplank_standins.faults import FaultInjector

ATTEMPT_HEADER = 'X-Request-Id'
DEPOSIT_HEADER = 'X-Deposit'


class PlainStandin:
    """Echoes each request and counts how often it was executed."""

    def __init__(self, name: str, call_s: float) -> None:
        """Hold the executions by request.

        :param name: name that responses carry
        :param call_s: time that a call takes
        """
        self.name = name
        self.call_s = call_s
        self.runs: dict[str, int] = {}
        self.attempts: list[str] = []
        self.active = 0
        self.application = web.Application(client_max_size=64_000_000)
        self.injector = FaultInjector.attach(self.application)
        self.application.add_routes(
            [
                web.get('/standin/runs', self.show_runs),
                web.route('*', '/{path:.*}', self.serve),
            ],
        )

    async def show_runs(self, _: web.Request) -> web.Response:
        """Return how often each request was executed."""
        return web.json_response(self.runs)

    async def serve(self, request: web.Request) -> web.Response:
        """Execute one call and echo it."""
        await self.injector.inject_before(request)
        if self.injector.should_inject(self.injector.faults.refuse):
            return web.Response(status=503, headers={'X-Not-Run': 'busy'})
        body = (await request.read()).decode(errors='replace')
        attempt = request.headers.get(ATTEMPT_HEADER, '')
        label = f'{request.method} {request.path} {body}'
        self.runs[label] = self.runs.get(label, 0) + 1
        self.active += 1
        try:
            duration_s = self.call_s * self.injector.faults.slowdown
            await asyncio.sleep(duration_s)
        finally:
            self.active -= 1
        self.injector.inject_after(request)
        document: dict[str, Any] = {
            'path': request.path,
            'method': request.method,
            'body': body,
            'served_by': self.name,
        }
        if self.injector.faults.crossed:
            attempt = f'other-{attempt}'
        return web.json_response(document, headers={ATTEMPT_HEADER: attempt})
