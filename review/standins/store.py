"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from standins.http import Server, response_bytes

PAGE_SIZE = 500
EXPIRY_PERIOD_S = 0.05
MAX_LEASE_MS = 600_000


class Store:
    """Items, leases and a complete history of changes in memory."""

    def __init__(self, ttl_min_ms=1000):
        """Hold no items, at revision one."""
        self.ttl_min_ms = ttl_min_ms
        self.items = {}
        self.history = []
        self.revision = 1
        self.era = 1
        self.leases = {}
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.is_silent = False
        self.calls = 0
        self.server = Server(self.serve)
        self.task = None

    async def start(self):
        """Start the server and the expiry of leases."""
        self.task = asyncio.ensure_future(self._expire())
        return await self.server.start()

    def stop(self):
        """Stop the server."""
        if self.task:
            self.task.cancel()
        self.server.stop()

    def put(self, key, document, lease=0):
        """Write a key; the document is bytes, or is encoded as JSON."""
        raw = document
        if not isinstance(raw, bytes):
            raw = json.dumps(document).encode()
        self.revision += 1
        created = self.items.get(key, {}).get('Created', self.revision)
        self.items[key] = {
            'Key': key,
            'Value': base64.b64encode(raw).decode(),
            'Rev': self.revision,
            'Created': created,
            'Lease': lease,
        }
        self._append(dict(self.items[key]))

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None):
            self.revision += 1
            self._append(
                {'Key': key, 'Rev': self.revision, 'Tombstone': True}
            )

    def _append(self, event):
        """Add a change and wake the watches."""
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        """End the leases whose time is over."""
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            now_s = time.monotonic()
            for number, (_, until_s) in tuple(self.leases.items()):
                if until_s < now_s:
                    self._end_lease(number)

    def _end_lease(self, number):
        """End a lease and remove its keys."""
        self.leases.pop(number, None)
        for key, item in tuple(self.items.items()):
            if item['Lease'] == number:
                self.delete(key)

    async def serve(self, request):
        """Answer one call."""
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep(3600)
        parts = urlsplit(request.path)
        query = {
            name: found[0]
            for name, found in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        status, document = await self._answer(
            request.method, parts.path, query, request.body
        )
        body = json.dumps(document).encode()
        headers = {
            'Content-Type': 'application/json',
            'Store-Era': str(self.era),
        }
        request.writer.write(response_bytes(status, headers, body))
        await request.writer.drain()
        return True

    async def _answer(self, method, path, query, body):
        """Return status and document for a call."""
        call = (method, path)
        if call == ('GET', '/v1/kv-key'):
            item = self.items.get(query['Key'])
            if item is None:
                return 404, {'AsOf': self.revision}
            return 200, {**item, 'AsOf': self.revision}
        if call == ('GET', '/v1/kv-range'):
            return 200, self._range(query)
        if call == ('GET', '/v1/kv-watch'):
            return await self._watch(query)
        if call == ('POST', '/v1/kv-txn'):
            return self._transact(json.loads(body))
        if call == ('POST', '/v1/kv-lease'):
            wanted_ms = json.loads(body)['TtlMs']
            ttl_ms = min(max(wanted_ms, self.ttl_min_ms), MAX_LEASE_MS)
            self.last_lease += 1
            self.leases[self.last_lease] = (
                ttl_ms,
                time.monotonic() + ttl_ms / 1000,
            )
            return 200, {'Lease': self.last_lease, 'TtlMs': ttl_ms}
        if method == 'POST' and path.startswith('/v1/kv-keep/'):
            number = int(path.rpartition('/')[2])
            if number not in self.leases:
                return 404, {}
            ttl_ms, _ = self.leases[number]
            self.leases[number] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {'TtlMs': ttl_ms}
        if method == 'DELETE' and path.startswith('/v1/kv-lease-end/'):
            self._end_lease(int(path.rpartition('/')[2]))
            return 200, {}
        return 404, {}

    def _range(self, query):
        """Return a page of items in the order of their keys."""
        prefix, after = query.get('Prefix', ''), query.get('After', '')
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(prefix) and key > after
        ]
        return {
            'Items': found[:PAGE_SIZE],
            'HasMore': len(found) > PAGE_SIZE,
            'AsOf': self.revision,
        }

    async def _watch(self, query):
        """Return changes after a revision as soon as there is one."""
        prefix, after = query.get('Prefix', ''), int(query['After'])
        if after > self.revision:
            return 410, {}
        end_s = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['Rev'] > after and event['Key'].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'AsOf': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except (TimeoutError, asyncio.TimeoutError):
                continue

    def _transact(self, wanted):
        """Apply a transaction, or return why not."""
        expected = wanted.get('Expected') or ()
        for row in expected:
            current = self.items.get(row['Key'], {'Rev': 0})
            if current['Rev'] != row['Rev']:
                items = [
                    self.items[each['Key']]
                    for each in expected
                    if each['Key'] in self.items
                ]
                return 412, {'Items': items}
        writes = wanted.get('Writes') or ()
        deletes = wanted.get('Delete') or ()
        for key in (*(row['Key'] for row in writes), *deletes):
            if key.startswith(('op/', 'servers/')):
                return 403, {}
        for row in writes:
            if row.get('Lease') and row['Lease'] not in self.leases:
                return 404, {}
        for row in writes:
            self.put(
                row['Key'], base64.b64decode(row['Value']), row.get('Lease', 0)
            )
        for key in deletes:
            self.delete(key)
        return 200, {'Rev': self.revision}
