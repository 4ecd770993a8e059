"""Relays that stand between routers: they delay or hold what passes."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.fleet import Fleet, RouterProcess

READ_BYTES = 65_536


class LinkRelay:
    """One direction of dialling: from one router to another.

    While it is cut, it keeps connections open and holds every byte back, so
    that both ends see a connection that has gone silent.
    """

    def __init__(self, port: int, target_port: int, delay_s: float) -> None:
        """Start uncut."""
        self.port = port
        self.target_port = target_port
        self.delay_s = delay_s
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Listen on TCP and UDP."""
        loop = asyncio.get_running_loop()
        self.server = await asyncio.start_server(
            self.accept, '127.0.0.1', self.port
        )
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramRelay(self.forward),
            local_addr=('127.0.0.1', self.port),
        )

    async def stop(self) -> None:
        """Close everything."""
        if self.server:
            self.server.close()
        if self.transport:
            self.transport.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def cut(self) -> None:
        """Hold everything back from now on."""
        self.is_open.clear()

    def join(self) -> None:
        """Let everything pass again."""
        self.is_open.set()

    def reset(self) -> None:
        """Break all open connections off, on both sides."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def forward(self, payload: bytes) -> None:
        """Pass on one datagram unless the link is cut."""
        if self.is_open.is_set() and self.transport:
            asyncio.get_running_loop().call_later(
                self.delay_s,
                self.transport.sendto,
                payload,
                ('127.0.0.1', self.target_port),
            )

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relay one connection."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self.target_port
            )
        except OSError:
            writer.close()
            return
        for pair in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.get_running_loop().create_task(self._copy(*pair))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copy bytes until either side ends."""
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError):
            while block := await reader.read(READ_BYTES):
                await asyncio.sleep(self.delay_s)
                await self.is_open.wait()
                writer.write(block)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


class DatagramRelay(asyncio.DatagramProtocol):
    """Hands datagrams to a relay."""

    def __init__(self, forward: Callable[[bytes], None]) -> None:
        """Keep where datagrams go."""
        self.forward = forward

    def datagram_received(self, payload: bytes, _: object) -> None:
        """Pass on one datagram."""
        self.forward(payload)


class LinkNetwork:
    """Relays between every pair of routers of a fleet."""

    def __init__(self, fleet: 'Fleet', delay_s: float) -> None:
        """Plan a relay for each pair in each direction."""
        self.fleet = fleet
        self.relays: dict[tuple[str, str], LinkRelay] = {}
        for near in fleet.routers:
            for far in fleet.routers:
                if near is not far:
                    self.relays[near.id, far.id] = LinkRelay(
                        next(fleet.ports), far.peers_port, delay_s
                    )

    async def start(self) -> None:
        """Start the relays and show each router its own addresses."""
        for relay in self.relays.values():
            await relay.start()
        views: dict[str, dict[str, str]] = {}
        for (near, far), relay in self.relays.items():
            views.setdefault(near, {})[far] = f'127.0.0.1:{relay.port}'
        await self.fleet.post(f'{self.fleet.list_url}/standin/views', views)

    async def stop(self) -> None:
        """Stop the relays."""
        for relay in self.relays.values():
            await relay.stop()

    def cut(
        self,
        left: 'list[RouterProcess]',
        right: 'list[RouterProcess]',
    ) -> None:
        """Cut two groups of routers off from each other."""
        for relay in self.between(left, right):
            relay.cut()

    def join(self) -> None:
        """Let everything pass again."""
        for relay in self.relays.values():
            relay.join()

    def between(
        self,
        left: 'list[RouterProcess]',
        right: 'list[RouterProcess]',
    ) -> list[LinkRelay]:
        """Return the relays between two groups, both directions."""
        return [
            self.relays[pair]
            for near in left
            for far in right
            for pair in ((near.id, far.id), (far.id, near.id))
        ]
