"""Stand-in of the platform's lagging instance list."""

import time
from typing import Any

import msgspec
from aiohttp import web

from dandelionplank_standins.faults import FaultSwitch


class InstanceListStandin:
    """Serves a list that follows changes after a lag.

    :param lag_s: time until a change can be seen
    """

    def __init__(self, lag_s: float) -> None:
        """Start with an empty list."""
        self.lag_s = lag_s
        self.changes: list[tuple[float, dict[str, Any]]] = []
        self.views: dict[str, dict[str, str]] = {}
        self.application = web.Application()
        self.switch = FaultSwitch.attach(self.application)
        self.application.add_routes(
            [
                web.get('/instances', self.show),
                web.post('/instances', self.change),
                web.post('/standin/views', self.replace_views),
            ],
        )

    async def show(self, request: web.Request) -> web.Response:
        """Return the list as it was one lag ago.

        An observer may be shown other addresses of its peers, so that a
        test can stand between them.
        """
        await self.switch.before(request)
        view = self.views.get(request.query.get('observer', ''), {})
        seen_at_s = time.monotonic() - self.lag_s
        listed: dict[str, dict[str, Any]] = {}
        for at_s, line in self.changes:
            if at_s > seen_at_s:
                break
            if line.get('state') == 'gone':
                listed.pop(line['id'], None)
            else:
                address = view.get(line['id'], line['address'])
                listed[line['id']] = {**line, 'address': address}
        return web.json_response(list(listed.values()))

    async def change(self, request: web.Request) -> web.Response:
        """Add, change or (state ``gone``) remove lines."""
        lines = msgspec.json.decode(await request.read())
        now_s = time.monotonic()
        if request.query.get('at_once'):
            now_s -= self.lag_s
        self.changes.extend((now_s, line) for line in lines)
        self.changes.sort(key=lambda change: change[0])
        return web.Response(text='ok\n')

    async def replace_views(self, request: web.Request) -> web.Response:
        """Replace the addresses that each observer is shown."""
        self.views = msgspec.json.decode(await request.read())
        return web.Response(text='ok\n')
