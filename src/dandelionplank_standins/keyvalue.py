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

from dandelionplank_standins.faults import FaultSwitch

MAX_VALUE_BYTES = 1_048_576
PROGRESS_PERIOD_S = 5.0
LEASE_CHECK_S = 0.1


@dataclasses.dataclass
class KeyRecord:
    """A stored value."""

    payload: str
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclasses.dataclass
class Lease:
    """A lease and when it ends."""

    ttl_s: float
    ends_at_s: float


class KeyValueStandin:
    """Keeps everything in memory and applies one call after the other."""

    def __init__(self) -> None:
        """Start empty at revision one."""
        self.revision = 1
        self.records: dict[str, KeyRecord] = {}
        self.order: list[str] = []
        self.leases: dict[int, Lease] = {}
        self.lease_ids = itertools.count(1000)
        self.watchers: dict[int, tuple[str, str, asyncio.Queue[Any]]] = {}
        self.watch_ids = itertools.count(1)
        self.calls: dict[str, int] = {}
        self.application = web.Application(client_max_size=8 * MAX_VALUE_BYTES)
        self.switch = FaultSwitch.attach(self.application)
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
        """Return how often each call was made."""
        return web.json_response(self.calls)

    async def serve_range(self, request: web.Request) -> web.Response:
        """Read a key or a range of keys."""
        document = await self._open(request, 'range')
        key = _decode_key(document['key'])
        end = _decode_key(document.get('range_end', ''))
        pairs = [self._pair(name) for name in self._select(key, end)]
        return self._answer(request, {'kvs': pairs, 'count': str(len(pairs))})

    async def serve_transaction(self, request: web.Request) -> web.Response:
        """Compare revisions and, if they fit, write."""
        document = await self._open(request, 'txn')
        if not all(map(self._holds, document.get('compare', []))):
            return self._answer(request, {'succeeded': False})
        for operation in document.get('success', []):
            problem = self._run(operation)
            if problem:
                return web.json_response({'error': problem}, status=400)
        return self._answer(request, {'succeeded': True})

    async def serve_grant(self, request: web.Request) -> web.Response:
        """Grant a lease."""
        document = await self._open(request, 'lease')
        ttl_s = float(document['TTL'])
        lease = next(self.lease_ids)
        self.leases[lease] = Lease(ttl_s, time.monotonic() + ttl_s)
        return self._answer(request, {'ID': str(lease), 'TTL': str(ttl_s)})

    async def serve_keepalive(self, request: web.Request) -> web.Response:
        """Renew a lease."""
        document = await self._open(request, 'lease')
        lease = self.leases.get(int(document['ID']))
        if lease is None:
            return self._answer(request, {'result': {'TTL': '0'}})
        lease.ends_at_s = time.monotonic() + lease.ttl_s
        return self._answer(request, {'result': {'TTL': str(lease.ttl_s)}})

    async def serve_revoke(self, request: web.Request) -> web.Response:
        """End a lease."""
        document = await self._open(request, 'lease')
        self._end_lease(int(document['ID']))
        return self._answer(request, {})

    async def serve_watch(self, request: web.Request) -> web.StreamResponse:
        """Report writes in a range until the client goes."""
        document = (await self._open(request, 'watch'))['create_request']
        key = _decode_key(document['key'])
        end = _decode_key(document.get('range_end', '')) or f'{key}\0'
        number = next(self.watch_ids)
        events: asyncio.Queue[Any] = asyncio.Queue()
        self.watchers[number] = (key, end, events)
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            await response.write(_line({'created': True}))
            while True:
                await response.write(_line(await self._next_report(events)))
        except ConnectionError:
            return response
        finally:
            self.watchers.pop(number)

    async def _next_report(self, events: 'asyncio.Queue[Any]') -> Any:
        """Return the next write, or a sign of life."""
        try:
            async with asyncio.timeout(PROGRESS_PERIOD_S):
                return {'events': [await events.get()]}
        except TimeoutError:
            return {'events': []}

    async def _open(self, request: web.Request, name: str) -> Any:
        """Count a call, apply faults and return its document."""
        self.calls[name] = self.calls.get(name, 0) + 1
        await self.switch.before(request)
        return msgspec.json.decode(await request.read())

    def _answer(self, request: web.Request, document: Any) -> web.Response:
        """Return an answer unless it is to be lost."""
        self.switch.after(request)
        document['header'] = {'revision': str(self.revision)}
        return web.json_response(document)

    def _select(self, key: str, end: str) -> list[str]:
        """Return the names of existing keys in a range."""
        if not end:
            return [key] if key in self.records else []
        start = bisect.bisect_left(self.order, key)
        stop = bisect.bisect_left(self.order, end)
        return self.order[start:stop]

    def _holds(self, compare: Any) -> bool:
        """Tell whether a condition on a key's revision holds."""
        record = self.records.get(_decode_key(compare['key']))
        revision = record.mod_revision if record else 0
        return revision == int(compare['mod_revision'])

    def _run(self, operation: Any) -> str:
        """Carry out one operation and return what is wrong with it."""
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
        """Store a value and report it."""
        self.revision += 1
        present = self.records.get(name)
        if present is None:
            bisect.insort(self.order, name)
        created = present.create_revision if present else self.revision
        self.records[name] = KeyRecord(payload, created, self.revision, lease)
        self._report(name, {'kv': self._pair(name)})

    def _delete(self, name: str) -> None:
        """Remove a value and report it."""
        if self.records.pop(name, None) is None:
            return
        self.order.remove(name)
        self.revision += 1
        pair = {
            'key': base64.b64encode(name.encode()).decode(),
            'mod_revision': str(self.revision),
        }
        self._report(name, {'type': 'DELETE', 'kv': pair})

    def _report(self, name: str, event: Any) -> None:
        """Tell the watchers of a write."""
        if self.switch.faults.drop_watches:
            return
        for key, end, events in self.watchers.values():
            if key <= name < end:
                events.put_nowait(event)

    def _pair(self, name: str) -> dict[str, str]:
        """Return a stored value in the interface's form."""
        record = self.records[name]
        return {
            'key': base64.b64encode(name.encode()).decode(),
            'value': record.payload,
            'create_revision': str(record.create_revision),
            'mod_revision': str(record.mod_revision),
            'lease': str(record.lease),
        }

    def _end_lease(self, lease: int) -> None:
        """Remove a lease and its values."""
        self.leases.pop(lease, None)
        held = [
            name
            for name, record in self.records.items()
            if record.lease == lease
        ]
        for name in held:
            self._delete(name)

    async def _expire_leases(self, _: web.Application) -> Any:
        """End leases in the background while the application runs."""
        task = asyncio.get_running_loop().create_task(self._check_leases())
        yield
        task.cancel()

    async def _check_leases(self) -> None:
        """End each lease when its time is over."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now_s = time.monotonic()
            over = [
                number
                for number, lease in self.leases.items()
                if lease.ends_at_s < now_s
            ]
            for number in over:
                self._end_lease(number)


def _decode_key(text: str) -> str:
    """Return a key from base 64."""
    return base64.b64decode(text).decode()


def _line(document: Any) -> bytes:
    """Return one line of a watch."""
    return b'%b\n' % msgspec.json.encode({'result': document})
