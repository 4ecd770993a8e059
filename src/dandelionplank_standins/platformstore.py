"""Stand-in of the platform's metadata store, with faults."""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
from typing import Any

import msgspec
from aiohttp import web

HISTORY_EVENTS = 10_000
PAGE_ITEMS = 500


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """What goes wrong.

    :param is_silent: calls get no answer
    :param status: status of every call, zero for none
    :param loses_answers: writes are done and not answered
    """

    is_silent: bool = False
    status: int = 0
    loses_answers: bool = False


class StoreStandin:
    """Keeps items, leases and a history in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.faults = StoreFaults()
        self.entries: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.oldest = 0
        self.revision = 1
        self.leases: dict[int, set[str]] = {}
        self.lease_numbers = itertools.count(1)
        self.changed = asyncio.Event()
        self.calls = 0

    @property
    def application(self) -> web.Application:
        """The store's interface over HTTP."""
        application = web.Application(middlewares=[self._break])
        application.router.add_get('/v1/kv-range', self._range)
        application.router.add_get('/v1/kv-watch', self._watch)
        application.router.add_post('/v1/kv-txn', self._transact)
        application.router.add_post('/v1/kv-lease', self._grant)
        application.router.add_post('/v1/kv-keep/{lease}', self._keep)
        application.router.add_delete('/v1/kv-lease-end/{lease}', self._end)
        return application

    def put(self, key: str, document: Any, lease: int = 0) -> None:
        """Write a key as the operator or a target does."""
        raw = document
        if not isinstance(raw, bytes):
            raw = msgspec.json.encode(document)
        self.revision += 1
        entry = {
            'Key': key,
            'Value': base64.b64encode(raw).decode(),
            'Rev': self.revision,
            'Created': self.revision,
            'Lease': lease,
        }
        self.entries[key] = entry
        self._record(entry)

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.entries.pop(key, None):
            self.revision += 1
            self._record({'Key': key, 'Rev': self.revision, 'Tombstone': True})

    def drop_history(self) -> None:
        """Forget all changes; watches must read everything again."""
        self.history.clear()
        self.oldest = self.revision

    def _record(self, event: dict[str, Any]) -> None:
        """Keep a change and wake the watches."""
        self.history.append(event)
        if len(self.history) > HISTORY_EVENTS:
            self.oldest = self.history.pop(0)['Rev']
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def _break(
        self,
        request: web.Request,
        handler: Any,  # noqa: WPS110 (aiohttp passes it by this name)
    ) -> Any:
        """Apply the faults to a call."""
        self.calls += 1
        if self.faults.is_silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            return web.Response(status=self.faults.status)
        answer = await handler(request)
        if self.faults.is_silent or (
            self.faults.loses_answers and request.method == 'POST'
        ):
            await asyncio.sleep(3600)
        return answer

    async def _range(self, request: web.Request) -> web.Response:
        """Return a page of items."""
        prefix = request.query['Prefix']
        after = request.query.get('After', '')
        found = [
            self.entries[key]
            for key in sorted(self.entries)
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(
            {
                'Items': found[:PAGE_ITEMS],
                'HasMore': len(found) > PAGE_ITEMS,
                'AsOf': self.revision,
            },
        )

    async def _watch(self, request: web.Request) -> web.Response:
        """Return changes as soon as there are any."""
        prefix = request.query['Prefix']
        after = int(request.query['After'])
        wait_s = int(request.query['WaitMs']) / 1000
        ends_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self.oldest:
                return web.Response(status=410)
            events = [
                event
                for event in self.history
                if event['Rev'] > after and event['Key'].startswith(prefix)
            ]
            left_s = ends_s - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return web.json_response(
                    {'events': events, 'AsOf': self.revision},
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    async def _transact(self, request: web.Request) -> web.Response:
        """Write several keys if none has changed."""
        body = await request.json()
        for expected in body.get('Expected', ()):
            known = self.entries.get(expected['Key'], {'Rev': 0})
            if known['Rev'] != expected['Rev']:
                return web.json_response({'Items': [known]}, status=412)
        for write in body.get('Writes', ()):
            lease = write.get('Lease', 0)
            if lease and lease not in self.leases:
                return web.Response(status=404)
            self.put(write['Key'], base64.b64decode(write['Value']), lease)
            if lease:
                self.leases[lease].add(write['Key'])
        for key in body.get('Delete', ()):
            self.delete(key)
        return web.json_response({'Rev': self.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        """Grant a lease; it ends only when it is told to."""
        lease = next(self.lease_numbers)
        self.leases[lease] = set()
        body = await request.json()
        return web.json_response({'Lease': lease, 'TtlMs': body['TtlMs']})

    async def _keep(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        if int(request.match_info['lease']) not in self.leases:
            return web.Response(status=404)
        return web.json_response({'TtlMs': 0})

    async def _end(self, request: web.Request) -> web.Response:
        """End a lease and remove its keys."""
        for key in self.leases.pop(int(request.match_info['lease']), ()):
            self.delete(key)
        return web.json_response({})
