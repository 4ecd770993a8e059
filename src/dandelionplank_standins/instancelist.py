"""Stand-in of the platform's instance list, which lags behind changes."""

import time
from typing import Any

import msgspec
from aiohttp import web

from dandelionplank_standins.faults import FaultInjector


class InstanceListStandin:
    """Serves an instance list that shows each change after a lag."""

    def __init__(self, lag_s: float) -> None:
        """Hold the changes of the list, and when each becomes visible.

        :param lag_s: time until a change becomes visible
        """
        self.lag_s = lag_s
        self.changes: list[tuple[float, dict[str, Any]]] = []
        self.views: dict[str, dict[str, str]] = {}
        self.application = web.Application()
        self.injector = FaultInjector.attach(self.application)
        self.application.add_routes(
            [
                web.get('/instances', self.show),
                web.post('/instances', self.change),
                web.post('/standin/views', self.replace_views),
            ],
        )

    async def show(self, request: web.Request) -> web.Response:
        """Return the list as it was ``lag_s`` ago.

        An observer may get other addresses of its peers, so that a test can
        place a relay between them.
        """
        await self.injector.inject_before(request)
        view = self.views.get(request.query.get('observer', ''), {})
        visible_until_s = time.monotonic() - self.lag_s
        listed: dict[str, dict[str, Any]] = {}
        for at_s, entry in self.changes:
            if at_s > visible_until_s:
                break
            if entry.get('state') == 'gone':
                listed.pop(entry['id'], None)
            else:
                address = view.get(entry['id'], entry['address'])
                listed[entry['id']] = {**entry, 'address': address}
        return web.json_response(list(listed.values()))

    async def change(self, request: web.Request) -> web.Response:
        """Add, change or (state ``gone``) remove entries.

        With the query parameter ``at_once`` they become visible without lag.
        """
        entries = msgspec.json.decode(await request.read())
        now_s = time.monotonic()
        if request.query.get('at_once'):
            now_s -= self.lag_s
        self.changes.extend((now_s, entry) for entry in entries)
        self.changes.sort(key=lambda change: change[0])
        return web.Response(text='ok\n')

    async def replace_views(self, request: web.Request) -> web.Response:
        """Replace the peer addresses that each observer gets."""
        self.views = msgspec.json.decode(await request.read())
        return web.Response(text='ok\n')
