"""Stand-in of the platform's metadata store, with fault injection."""

import asyncio
import base64
import contextlib
import copy
import dataclasses
from typing import Any

import msgspec
from aiohttp import web

MAX_HISTORY_EVENTS = 10_000
PAGE_SIZE = 500


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults of the store.

    :param is_silent: calls get no response
    :param status: status of every response, zero for no fault
    :param loses_responses: writes are applied and get no response
    :param body: body of every response, empty for no fault
    """

    is_silent: bool = False
    status: int = 0
    loses_responses: bool = False
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of the store, from which it can be restored."""

    entries: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    compacted_revision: int
    revision: int
    leases: dict[int, set[str]]
    last_lease: int


class StoreStandin:
    """Holds items, leases and a history of changes in memory."""

    def __init__(self) -> None:
        """Hold the items and leases; empty at first, at revision one."""
        self.faults = StoreFaults()
        self.entries: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self.revision = 1
        self.leases: dict[int, set[str]] = {}
        self.last_lease = 0
        self.era = 1
        self.changed = asyncio.Event()
        self.calls = 0

    @property
    def application(self) -> web.Application:
        """The HTTP application that serves the store."""
        application = web.Application(middlewares=[self._inject_faults])
        application.router.add_get('/v1/kv-range', self._serve_range)
        application.router.add_get('/v1/kv-watch', self._serve_watch)
        application.router.add_post('/v1/kv-txn', self._serve_transaction)
        application.router.add_post('/v1/kv-lease', self._grant_lease)
        application.router.add_post('/v1/kv-keep/{lease}', self._renew_lease)
        application.router.add_delete(
            '/v1/kv-lease-end/{lease}',
            self._end_lease,
        )
        return application

    def put(self, key: str, document: Any, lease: int = 0) -> None:
        """Write a key as the operator or a target does.

        :param document: bytes, or a value that is encoded as JSON
        :param lease: lease that the key is attached to, zero for none
        """
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
        self._append_event(entry)

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.entries.pop(key, None):
            self.revision += 1
            self._append_event(
                {'Key': key, 'Rev': self.revision, 'Tombstone': True},
            )

    def drop_history(self) -> None:
        """Discard the history, so that watches have to list all items again."""
        self.history.clear()
        self.compacted_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return copy.deepcopy(
            StoreCopy(
                self.entries,
                self.history,
                self.compacted_revision,
                self.revision,
                self.leases,
                self.last_lease,
            ),
        )

    def restore(self, stored: StoreCopy) -> None:
        """Return to an earlier state; its revisions are given out again."""
        older = copy.deepcopy(stored)
        self.entries = older.entries
        self.history = older.history
        self.compacted_revision = older.compacted_revision
        self.revision = older.revision
        self.leases = older.leases
        self.last_lease = older.last_lease
        self.era += 1
        self._wake_watches()

    def _wake_watches(self) -> None:
        """Let waiting watches look for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _append_event(self, event: dict[str, Any]) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append(event)
        if len(self.history) > MAX_HISTORY_EVENTS:
            self.compacted_revision = self.history.pop(0)['Rev']
        self._wake_watches()

    @web.middleware
    async def _inject_faults(
        self,
        request: web.Request,
        handler: Any,  # noqa: WPS110 (aiohttp passes it by this name)
    ) -> Any:
        """Inject the current faults into a call."""
        self.calls += 1
        if self.faults.is_silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            return web.Response(status=self.faults.status)
        if self.faults.body:
            return web.Response(body=self.faults.body)
        response = await handler(request)
        response.headers['Store-Era'] = str(self.era)
        if self.faults.is_silent or (
            self.faults.loses_responses and request.method == 'POST'
        ):
            await asyncio.sleep(3600)
        return response

    async def _serve_range(self, request: web.Request) -> web.Response:
        """Return a page of the items that have a prefix, in order of keys."""
        prefix = request.query['Prefix']
        after = request.query.get('After', '')
        found = [
            self.entries[key]
            for key in sorted(self.entries)
            if key.startswith(prefix) and key > after
        ]
        return web.json_response(
            {
                'Items': found[:PAGE_SIZE],
                'HasMore': len(found) > PAGE_SIZE,
                'AsOf': self.revision,
            },
        )

    async def _serve_watch(self, request: web.Request) -> web.Response:
        """Return changes as soon as there are any (long polling).

        A revision that the history no longer covers gets status 410.
        """
        prefix = request.query['Prefix']
        after = int(request.query['After'])
        wait_s = int(request.query['WaitMs']) / 1000
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if not self.compacted_revision <= after <= self.revision:
                return web.Response(status=410)
            events = [
                event
                for event in self.history
                if event['Rev'] > after and event['Key'].startswith(prefix)
            ]
            remaining_s = deadline_s - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return web.json_response(
                    {'events': events, 'AsOf': self.revision},
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), remaining_s)

    async def _serve_transaction(self, request: web.Request) -> web.Response:
        """Apply all writes and deletions if all expected revisions match."""
        body = await request.json()
        for expected in body.get('Expected', ()):
            current = self.entries.get(expected['Key'], {'Rev': 0})
            if current['Rev'] != expected['Rev']:
                return web.json_response({'Items': [current]}, status=412)
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

    async def _grant_lease(self, request: web.Request) -> web.Response:
        """Grant a lease, which never expires and ends only by request."""
        self.last_lease += 1
        lease = self.last_lease
        self.leases[lease] = set()
        body = await request.json()
        return web.json_response({'Lease': lease, 'TtlMs': body['TtlMs']})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        if int(request.match_info['lease']) not in self.leases:
            return web.Response(status=404)
        return web.json_response({'TtlMs': 0})

    async def _end_lease(self, request: web.Request) -> web.Response:
        """End a lease and remove its keys."""
        for key in self.leases.pop(int(request.match_info['lease']), ()):
            self.delete(key)
        return web.json_response({})
