"""Stand-in of the key-value service, with the etcd v3 JSON interface."""

import asyncio
import base64
import bisect
import dataclasses
import itertools
import time
from typing import Any

import msgspec
from aiohttp import web

from dandelionplank_standins.faults import FaultInjector

MAX_VALUE_BYTES = 1_048_576
PROGRESS_INTERVAL_S = 5.0
LEASE_CHECK_INTERVAL_S = 0.1


@dataclasses.dataclass
class KeyRecord:
    """A stored value in base 64, its revisions and its lease."""

    payload: str
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclasses.dataclass
class Lease:
    """Duration of a lease and the monotonic time at which it expires."""

    ttl_s: float
    expires_at_s: float


class KeyValueStandin:
    """Holds all data in memory and applies calls one at a time."""

    def __init__(self) -> None:
        """Hold the keys and leases; empty at first, at revision one."""
        self.revision = 1
        self.records: dict[str, KeyRecord] = {}
        self.sorted_keys: list[str] = []
        self.leases: dict[int, Lease] = {}
        self.lease_ids = itertools.count(1000)
        self.watchers: dict[int, tuple[str, str, asyncio.Queue[Any]]] = {}
        self.watch_ids = itertools.count(1)
        self.calls: dict[str, int] = {}
        self.application = web.Application(client_max_size=8 * MAX_VALUE_BYTES)
        self.injector = FaultInjector.attach(self.application)
        self.application.add_routes(
            [
                web.post('/v3/kv/range', self.serve_range),
                web.post('/v3/kv/txn', self.serve_transaction),
                web.post('/v3/lease/grant', self.serve_grant),
                web.post('/v3/lease/keepalive', self.serve_keepalive),
                web.post('/v3/lease/revoke', self.serve_revoke),
                web.post('/v3/watch', self.serve_watch),
                web.get('/standin/calls', self.show_calls),
            ],
        )
        self.application.cleanup_ctx.append(self._expire_leases)

    async def show_calls(self, _: web.Request) -> web.Response:
        """Return the number of calls of each kind."""
        return web.json_response(self.calls)

    async def serve_range(self, request: web.Request) -> web.Response:
        """Read a key or a range of keys."""
        document = await self._receive(request, 'range')
        key = _decode_key(document['key'])
        end = _decode_key(document.get('range_end', ''))
        pairs = [self._pair(name) for name in self._select(key, end)]
        return self._respond(request, {'kvs': pairs, 'count': str(len(pairs))})

    async def serve_transaction(self, request: web.Request) -> web.Response:
        """Apply the operations if all compared revisions match."""
        document = await self._receive(request, 'txn')
        if not all(map(self._matches, document.get('compare', []))):
            return self._respond(request, {'succeeded': False})
        for operation in document.get('success', []):
            error = self._apply(operation)
            if error:
                return web.json_response({'error': error}, status=400)
        return self._respond(request, {'succeeded': True})

    async def serve_grant(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        document = await self._receive(request, 'lease')
        ttl_s = float(document['TTL'])
        lease = next(self.lease_ids)
        self.leases[lease] = Lease(ttl_s, time.monotonic() + ttl_s)
        return self._respond(request, {'ID': str(lease), 'TTL': str(ttl_s)})

    async def serve_keepalive(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        document = await self._receive(request, 'lease')
        lease = self.leases.get(int(document['ID']))
        if lease is None:
            return self._respond(request, {'result': {'TTL': '0'}})
        lease.expires_at_s = time.monotonic() + lease.ttl_s
        return self._respond(request, {'result': {'TTL': str(lease.ttl_s)}})

    async def serve_revoke(self, request: web.Request) -> web.Response:
        """Revoke a lease."""
        document = await self._receive(request, 'lease')
        self._remove_lease(int(document['ID']))
        return self._respond(request, {})

    async def serve_watch(self, request: web.Request) -> web.StreamResponse:
        """Stream the writes to a range until the client disconnects."""
        document = (await self._receive(request, 'watch'))['create_request']
        key = _decode_key(document['key'])
        end = _decode_key(document.get('range_end', '')) or f'{key}\0'
        number = next(self.watch_ids)
        events: asyncio.Queue[Any] = asyncio.Queue()
        self.watchers[number] = (key, end, events)
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            await response.write(_encode_update({'created': True}))
            while True:
                await response.write(
                    _encode_update(await self._next_update(events)),
                )
        except ConnectionError:
            return response
        finally:
            self.watchers.pop(number)

    async def _next_update(self, events: 'asyncio.Queue[Any]') -> Any:
        """Return the next write, or an empty update after an idle period."""
        try:
            async with asyncio.timeout(PROGRESS_INTERVAL_S):
                return {'events': [await events.get()]}
        except TimeoutError:
            return {'events': []}

    async def _receive(self, request: web.Request, name: str) -> Any:
        """Count a call, inject faults and return the decoded body."""
        self.calls[name] = self.calls.get(name, 0) + 1
        await self.injector.inject_before(request)
        return msgspec.json.decode(await request.read())

    def _respond(self, request: web.Request, document: Any) -> web.Response:
        """Return a response unless the injected faults lose it."""
        self.injector.inject_after(request)
        document['header'] = {'revision': str(self.revision)}
        return web.json_response(document)

    def _select(self, key: str, end: str) -> list[str]:
        """Return the existing keys in a range or, without an end, the key."""
        if not end:
            return [key] if key in self.records else []
        start = bisect.bisect_left(self.sorted_keys, key)
        stop = bisect.bisect_left(self.sorted_keys, end)
        return self.sorted_keys[start:stop]

    def _matches(self, compare: Any) -> bool:
        """Return whether a key has the compared revision, zero if missing."""
        record = self.records.get(_decode_key(compare['key']))
        revision = record.mod_revision if record else 0
        return revision == int(compare['mod_revision'])

    def _apply(self, operation: Any) -> str:
        """Apply one operation and return an error text, empty on success."""
        if 'requestDeleteRange' in operation:
            self._delete(_decode_key(operation['requestDeleteRange']['key']))
            return ''
        put = operation['requestPut']
        if len(put['value']) * 3 // 4 > MAX_VALUE_BYTES:
            return 'value too large'
        lease = int(put.get('lease', 0))
        if lease and lease not in self.leases:
            return 'lease not found'
        self._put(_decode_key(put['key']), put['value'], lease)
        return ''

    def _put(self, name: str, payload: str, lease: int) -> None:
        """Store a value and notify the watchers."""
        self.revision += 1
        previous = self.records.get(name)
        if previous is None:
            bisect.insort(self.sorted_keys, name)
        created = previous.create_revision if previous else self.revision
        self.records[name] = KeyRecord(payload, created, self.revision, lease)
        self._notify_watchers(name, {'kv': self._pair(name)})

    def _delete(self, name: str) -> None:
        """Remove a value and notify the watchers."""
        if self.records.pop(name, None) is None:
            return
        self.sorted_keys.remove(name)
        self.revision += 1
        pair = {
            'key': base64.b64encode(name.encode()).decode(),
            'mod_revision': str(self.revision),
        }
        self._notify_watchers(name, {'type': 'DELETE', 'kv': pair})

    def _notify_watchers(self, name: str, event: Any) -> None:
        """Queue an event for every watcher whose range includes the key."""
        if self.injector.faults.drop_watches:
            return
        for key, end, events in self.watchers.values():
            if key <= name < end:
                events.put_nowait(event)

    def _pair(self, name: str) -> dict[str, str]:
        """Return a stored key and its value in the format of the interface."""
        record = self.records[name]
        return {
            'key': base64.b64encode(name.encode()).decode(),
            'value': record.payload,
            'create_revision': str(record.create_revision),
            'mod_revision': str(record.mod_revision),
            'lease': str(record.lease),
        }

    def _remove_lease(self, lease: int) -> None:
        """Remove a lease and the keys attached to it."""
        self.leases.pop(lease, None)
        names = [
            name
            for name, record in self.records.items()
            if record.lease == lease
        ]
        for name in names:
            self._delete(name)

    async def _expire_leases(self, _: web.Application) -> Any:
        """Run the removal of expired leases while the application runs."""
        task = asyncio.get_running_loop().create_task(
            self._remove_expired_leases(),
        )
        yield
        task.cancel()

    async def _remove_expired_leases(self) -> None:
        """Remove expired leases periodically."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            now_s = time.monotonic()
            expired = [
                number
                for number, lease in self.leases.items()
                if lease.expires_at_s < now_s
            ]
            for number in expired:
                self._remove_lease(number)


def _decode_key(text: str) -> str:
    """Decode a key from base 64."""
    return base64.b64decode(text).decode()


def _encode_update(document: Any) -> bytes:
    """Encode one update of a watch as a line of JSON."""
    return b'%b\n' % msgspec.json.encode({'result': document})
