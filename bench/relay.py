"""A relay without queue or accounting, as a baseline for cost comparisons."""

import itertools
import sys

import aiohttp
import uvloop
from aiohttp import web

from dandelionplank_standins.commands import serve_until_signal


class BareRelay:
    """Forwards chat requests to engines in round-robin order."""

    def __init__(self, targets: list[str]) -> None:
        """Hold the engines' addresses and the application."""
        self.targets = itertools.cycle(targets)
        self.session: aiohttp.ClientSession | None = None
        self.application = web.Application()
        self.application.router.add_post('/v1/chat/completions', self.relay)
        self.application.on_cleanup.append(self.close)

    async def close(self, _: web.Application) -> None:
        """Close the connections to the engines."""
        if self.session:
            await self.session.close()

    async def relay(self, request: web.Request) -> web.StreamResponse:
        """Forward one request and stream its response."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
            )
        body = await request.read()
        async with self.session.post(
            f'http://{next(self.targets)}/v1/chat/completions',
            data=body,
            headers={'Content-Type': 'application/json'},
        ) as incoming:
            response = web.StreamResponse(
                status=incoming.status,
                headers={'Content-Type': 'text/event-stream'},
            )
            await response.prepare(request)
            while chunk := await incoming.content.readany():
                await response.write(chunk)
            await response.write_eof()
        return response


if __name__ == '__main__':
    uvloop.run(
        serve_until_signal({sys.argv[1]: BareRelay(sys.argv[2:]).application}),
    )
