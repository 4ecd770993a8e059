"""Stops gateways on purpose under load and checks that no request is cut.

The gateways are separate processes. Signals, restarts, new configurations and
draining targets come in series and overlap; nothing fails. Callers use their
connections until the gateway closes them.
"""

import asyncio
import dataclasses
import random
import sys
import tempfile
import time
from pathlib import Path

import cyclopts

from bench.disturbances import Disturbances
from bench.guarantees import RETRYABLE_BY_PREFIX, STREAM_PREFIXES
from bench.platform import MODEL_HEADERS, configuration, request_headers
from bench.soakfleet import SoakFleet
from dandelionplank.settings import Address

# Numbers of callers; with few, a gateway has no open request at times.
CALLER_COUNTS = (4, 8, 16)
# Part of the callers' time budget of 3 s after which the budget ends a request.
BUDGET_S = 2.9
# A request that was sent earlier than this before its connection ends, and was
# not executed, did not only cross the close.
CROSSING_S = 0.2
SEED_BITS = 32
SLOW_BODY_SHARE = 0.3
BODY_PIECES = 4
PIECE_PAUSE_S = (0.0, 0.2)
RECONNECT_PAUSE_S = 0.05
LONG_STREAM_EVENTS = 80
CHANGE_PERIOD_S = (0.3, 1.5)
LAST_CHUNK = b'0'
HEAD_END = b'\r\n\r\n'

app = cyclopts.App(name='plannedstops')


class CallerConnection(asyncio.Protocol):
    """Holds the bytes of one response at a time.

    :param lost_s: monotonic time at which the connection ended, zero while it
        is open
    """

    def __init__(self) -> None:
        """Hold no bytes."""
        self.received = bytearray()
        self.lost_s = 0.0
        self.gateway = 0
        self.response_count = 0
        self.changed = asyncio.Event()

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Add bytes to the response."""
        self.received += data
        self.changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection."""
        self.lost_s = time.monotonic()
        self.changed.set()

    async def response_head(self) -> bytes:
        """Return the head of the complete response, empty if it is cut."""
        while True:
            if _is_complete(self.received):
                return bytes(self.received.partition(HEAD_END)[0])
            if self.lost_s:
                return b''
            self.changed.clear()
            await self.changed.wait()


@dataclasses.dataclass(frozen=True, slots=True)
class CutRequest:
    """A request that was sent completely and got no complete response.

    :param ended_s: monotonic time of the end of the connection
    :param open_s: time from its last byte to the end of the connection
    :param took_s: time from its first byte to the end of the connection
    """

    request_id: str
    prefix: str
    gateway: int
    is_reused: bool
    ended_s: float
    open_s: float
    took_s: float
    response_bytes: int


class Caller:
    """Sends requests over kept connections, some with slow bodies."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Hold the fleet; no connection is open."""
        self.fleet = fleet
        self.random = random.Random(seed)
        self.cut: list[CutRequest] = []
        self.response_count = 0

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            gateway = self.random.choice(self.fleet.gateways)
            address = Address.from_text(gateway.address)
            try:
                (
                    transport,
                    connection,
                ) = await asyncio.get_running_loop().create_connection(
                    CallerConnection, address.ip, address.port
                )
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            connection.gateway = self.fleet.gateways.index(gateway)
            try:
                while await self.send(transport, connection):
                    connection.response_count += 1
                    await asyncio.sleep(self.random.uniform(0, 0.03))
            finally:
                transport.close()

    async def send(
        self, transport: asyncio.Transport, connection: CallerConnection
    ) -> bool:
        """Send a request; return whether the connection may be used again."""
        prefix = self.random.choice(tuple(RETRYABLE_BY_PREFIX))
        request_id = f'p{next(self.fleet.numbers)}'
        pieces = self._pieces(prefix, request_id)
        connection.received.clear()
        started_s = time.monotonic()
        for piece in pieces[:-1]:
            transport.write(piece)
            await asyncio.sleep(self.random.uniform(*PIECE_PAUSE_S))
        if connection.lost_s:
            return False
        transport.write(pieces[-1])
        sent_s = time.monotonic()
        head = await connection.response_head()
        if head:
            self.response_count += 1
            return b'connection: close' not in head.lower()
        self.cut.append(
            CutRequest(
                request_id,
                prefix,
                connection.gateway,
                bool(connection.response_count),
                connection.lost_s - self.fleet.started_s,
                connection.lost_s - sent_s,
                connection.lost_s - started_s,
                len(connection.received),
            ),
        )
        return False

    def _pieces(self, prefix: str, request_id: str) -> list[bytes]:
        """Return the bytes of a request in the pieces in which it is sent."""
        headers = request_headers(request_id, self.fleet.keys[0])
        if prefix in STREAM_PREFIXES:
            headers.update(MODEL_HEADERS)
        body = request_id.encode()
        headers['Content-Length'] = str(len(body))
        lines = [f'{name}: {text}' for name, text in headers.items()]
        block = '\r\n'.join(
            (f'POST {prefix}x HTTP/1.1', *lines, '', request_id)
        ).encode()
        if self.random.random() > SLOW_BODY_SHARE:
            return [block]
        cuts = sorted(self.random.sample(range(1, len(block)), BODY_PIECES))
        return [
            block[start:end]
            for start, end in zip([0, *cuts], [*cuts, len(block)], strict=True)
        ]


class PlannedWork:
    """Disturbs a fleet as its operator does, without a fault."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        """Seed the random choices."""
        self.fleet = fleet
        self.random = random.Random(seed)
        self.disturbances = Disturbances(fleet, seed)

    async def start(self, seconds: float) -> list[asyncio.Task[None]]:
        """Start work until the time is over; return all its tasks."""
        end_s = time.monotonic() + seconds
        kinds = (
            self.disturbances.stop_gracefully,
            self.disturbances.stop_gracefully,
            self.disturbances.reload,
            self.disturbances.replace_target,
            self.change_configuration,
        )
        tasks = []
        while time.monotonic() < end_s:
            run = self.disturbances.run(self.random.choice(kinds))
            tasks.append(asyncio.ensure_future(run))
            await asyncio.sleep(self.random.uniform(*CHANGE_PERIOD_S))
        return tasks

    async def change_configuration(self) -> None:
        """Change time-outs, and remove a route and add it again."""
        await self._configure(without=self.random.randrange(5))
        await self.disturbances.sleep_for_duration()
        await self._configure(without=None)

    async def _configure(self, without: int | None) -> None:
        """Write a configuration with other time-outs.

        :param without: number of a route that is left out
        """
        document = configuration(
            next(self.fleet.versions),
            self.fleet.keys,
            stream={'TimeoutMs': self.random.randint(2500, 4000)},
            safe={'TimeoutMs': self.random.randint(2500, 4000)},
        )
        document['Limits']['IdleTimeoutMs'] = self.random.randint(1000, 5000)
        if without is not None:
            document['Routes'].pop(without)
        self.fleet.store.put('op/config', document)


async def play(seed: int, seconds: float, directory: Path) -> SoakFleet:
    """Stop and change a fleet for some seconds, then check all requests."""
    fleet = SoakFleet(seed, directory)
    async with fleet.stack:
        await fleet.start()
        for name, target in fleet.targets.items():
            target.faults.delay_s = 0.03
            if name == 'llm-1':
                target.events = LONG_STREAM_EVENTS
        callers = [
            Caller(fleet, fleet.random.getrandbits(SEED_BITS))
            for _ in range(fleet.random.choice(CALLER_COUNTS))
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        work = PlannedWork(fleet, seed)
        await asyncio.gather(*await work.start(seconds))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    check(fleet, callers)
    return fleet


def check(fleet: SoakFleet, callers: list[Caller]) -> None:
    """Record the requests that were cut, and that responses came at all."""
    runs = {
        run.request_id
        for target in fleet.targets.values()
        for run in target.runs
    }
    for caller in callers:
        for request in caller.cut:
            is_executed = request.request_id in runs
            is_lost = is_executed or request.open_s > CROSSING_S
            if is_lost and request.took_s < BUDGET_S:
                fleet.record_violation(f'{request}, executed: {is_executed}')
    count = sum(caller.response_count for caller in callers)
    cuts = sum(len(caller.cut) for caller in callers)
    fleet.record_event(f'{count} responses, {cuts} requests without one')
    if not count:
        fleet.record_violation('no request got a response')


def _is_complete(received: bytearray) -> bool:
    """Return whether the bytes hold a complete response."""
    head, separator, body = received.partition(HEAD_END)
    if not separator:
        return False
    length = 0
    for line in head.lower().split(b'\r\n')[1:]:
        name, _, text = line.partition(b':')
        if name == b'transfer-encoding':
            return body.endswith(b''.join((b'\r\n', LAST_CHUNK, HEAD_END)))
        if name == b'content-length':
            length = int(text)
    return len(body) >= length


@app.default
def main(seed: int = 1, seconds: float = 30.0) -> None:
    """Stop gateways on purpose under load and check that no request is cut.

    :param seed: seed of the work and of the callers
    :param seconds: length of the run
    """
    directory = Path(tempfile.mkdtemp(prefix='plannedstops-'))
    fleet = asyncio.run(play(seed, seconds, directory))
    print('\n'.join(fleet.trace if fleet.violations else fleet.trace[-1:]))
    print(f'seed {seed}: {len(fleet.violations)} violations')
    sys.exit(1 if fleet.violations else 0)


if __name__ == '__main__':
    app()
