"""Stand-in of an engine: it registers itself, and runs or rejects requests."""

import asyncio
import dataclasses
import itertools
import json
import time

from standins.http import Server, response_bytes

HEARTBEAT_S = 1.2
EVENT_INTERVAL_S = 0.02
BOOT = itertools.count(int(time.time() * 1000))


@dataclasses.dataclass
class Arrival:
    """A request that has reached an engine."""

    request_id: str
    path: str
    headers: dict
    body: bytes
    at_s: float
    outcome: str = ''


class Engine:
    """An engine of a plain service, or a model engine that streams events."""

    def __init__(self, store, name, service, *, streams=False, slots=8, zone=''):
        """Hold the state of an engine that is not started."""
        self.store = store
        self.name = name
        self.service = service
        self.streams = streams
        self.slots = slots
        self.zone = zone or 'a'
        self.work_s = 0.02
        self.events = 6
        self.state = 'ready'
        self.is_reporting = True
        self.arrivals = []
        self.running = 0
        self.call_count = 0
        self.extra_headers = {}
        self.behaviour = None
        self.on_list = None
        self.born = 0
        self.server = Server(self.serve)
        self.task = None

    async def start(self):
        """Listen and register."""
        self.born = next(BOOT)
        await self.server.start()
        self.report()
        self.task = asyncio.ensure_future(self._beat())

    def stop(self):
        """End without a word, as a crash does."""
        if self.task:
            self.task.cancel()
        self.server.stop()

    def report(self, **changes):
        """Write the entry in the store."""
        self.call_count += 1
        entry = {
            'Service': self.service,
            'Addr': self.server.address,
            'Zone': self.zone,
            'Version': '1',
            'Slots': self.slots,
            'State': self.state,
            'ColdLeftMs': 0,
            'CallSeq': 0,
            'born': self.born,
            **changes,
        }
        self.store.put(f'servers/{self.name}', entry)

    async def _beat(self):
        """Write the entry every heartbeat if it is missing."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_reporting and f'servers/{self.name}' not in self.store.items:
                self.report()

    def marks(self, request):
        """Return the headers of each response."""
        return {
            'Dandelionplank-Request-Id': request.request_id,
            'Dandelionplank-Engine-Load': f'{self.running},0,{self.slots},100',
            **self.extra_headers,
        }

    async def serve(self, request):
        """Serve one request."""
        if request.path.startswith('/v1/kv-list'):
            if self.on_list:
                return await self.on_list(request)
            body = json.dumps({'epoch': 1, 'Next': 0, 'held': []}).encode()
            request.writer.write(
                response_bytes(200, {'Content-Type': 'application/json'}, body)
            )
            return True
        arrival = Arrival(
            request.request_id,
            request.path,
            request.headers,
            request.body,
            request.at_s,
        )
        self.arrivals.append(arrival)
        expected = request.headers.get('dandelionplank-expect-instance')
        if expected is not None and expected != self.name:
            arrival.outcome = '421'
            return await self.reject(request, 421)
        if self.behaviour:
            handled = await self.behaviour(self, request, arrival)
            if handled is not None:
                return handled
        if self.running >= self.slots:
            arrival.outcome = 'full'
            return await self.reject(request, 503)
        return await self.run(request, arrival)

    async def reject(self, request, status, **headers):
        """Answer that the request was not run."""
        marks = {**self.marks(request), 'Dandelionplank-Not-Executed': '1'}
        marks.update({name.replace('_', '-'): text for name, text in headers.items()})
        request.writer.write(response_bytes(status, marks, b'', 'Rejected'))
        await request.writer.drain()
        return True

    async def run(self, request, arrival):
        """Run a request and answer it."""
        arrival.outcome = 'run'
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            marks = {
                **self.marks(request),
                'Dandelionplank-Server-Stamp': f'{self.name}.{request.request_id}',
            }
            if self.streams:
                return await self.stream(request, marks)
            body = f'{self.name} ran {request.request_id}'.encode()
            request.writer.write(response_bytes(200, marks, body))
            await request.writer.drain()
            return True
        finally:
            self.running -= 1

    async def stream(self, request, marks):
        """Answer with a stream of events."""
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {text}' for name, text in marks.items()]
        lines += ['Transfer-Encoding: chunked', '', '']
        request.writer.write('\r\n'.join(lines).encode())
        first = int(request.headers.get('last-event-id') or 0) + 1
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: {self.name}\n\n'.encode()
            request.writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await request.writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        request.writer.write(b'0\r\n\r\n')
        await request.writer.drain()
        return True
