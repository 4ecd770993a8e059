"""Relays on network links that delay, hold back or reset traffic."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from dandelionplank_standins.resets import reset_on_close

if TYPE_CHECKING:
    from bench.fleet import Fleet, RouterProcess

READ_BYTES = 65_536


class LinkRelay:
    """Forwards TCP connections and UDP datagrams in the direction of dialling.

    While it is paused, it keeps connections open and holds every byte back, so
    that both ends see a connection that has become silent. It drops datagrams.
    """

    def __init__(self, port: int, target_port: int, delay_s: float) -> None:
        """Configure a relay that forwards, but does not listen yet."""
        self.port = port
        self.target_port = target_port
        self.delay_s = delay_s
        self.forwarding = asyncio.Event()
        self.forwarding.set()
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
        """Stop listening and forwarding."""
        if self.server:
            self.server.close()
        if self.transport:
            self.transport.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def pause(self) -> None:
        """Hold all bytes back and drop datagrams from now on."""
        self.forwarding.clear()

    def resume(self) -> None:
        """Forward traffic again."""
        self.forwarding.set()

    def reset(self) -> None:
        """Abort all open connections, on both sides."""
        for writer in tuple(self.writers):
            _reset(writer)

    def forward(self, payload: bytes) -> None:
        """Forward one datagram unless the relay is paused."""
        if self.forwarding.is_set() and self.transport:
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
            target_reader, target_writer = await asyncio.open_connection(
                '127.0.0.1', self.target_port
            )
        except OSError:
            writer.close()
            return
        for pair in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.get_running_loop().create_task(self._copy(*pair))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Copy bytes until either side closes or resets its connection.

        A reset is passed on as a reset: a close would end a response that has
        no length as if it were complete.
        """
        self.writers.add(writer)
        try:
            while block := await reader.read(READ_BYTES):
                await asyncio.sleep(self.delay_s)
                await self.forwarding.wait()
                writer.write(block)
                await writer.drain()
        except ConnectionError:
            _reset(writer)
        self.writers.discard(writer)
        writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection unless it is closed."""
    if not writer.transport.is_closing():
        reset_on_close(writer.transport)
        writer.transport.abort()


class DatagramRelay(asyncio.DatagramProtocol):
    """Passes received datagrams to a callback."""

    def __init__(self, forward: Callable[[bytes], None]) -> None:
        """Hold the callback for datagrams."""
        self.forward = forward

    def datagram_received(self, payload: bytes, _: object) -> None:
        """Pass on one datagram."""
        self.forward(payload)


class LinkNetwork:
    """Relays between every pair of routers of a fleet."""

    def __init__(self, fleet: 'Fleet', delay_s: float) -> None:
        """Hold a relay for each pair of routers in each direction."""
        self.fleet = fleet
        self.relays: dict[tuple[str, str], LinkRelay] = {}
        for source in fleet.routers:
            for destination in fleet.routers:
                if source is not destination:
                    self.relays[source.id, destination.id] = LinkRelay(
                        next(fleet.ports), destination.peers_port, delay_s
                    )

    async def start(self) -> None:
        """Start the relays and publish their addresses to each router."""
        for relay in self.relays.values():
            await relay.start()
        addresses: dict[str, dict[str, str]] = {}
        for (source, destination), relay in self.relays.items():
            addresses.setdefault(source, {})[destination] = (
                f'127.0.0.1:{relay.port}'
            )
        await self.fleet.post(f'{self.fleet.list_url}/standin/views', addresses)

    async def stop(self) -> None:
        """Stop the relays."""
        for relay in self.relays.values():
            await relay.stop()

    def partition(
        self,
        left: 'list[RouterProcess]',
        right: 'list[RouterProcess]',
    ) -> None:
        """Partition two groups of routers from each other."""
        for relay in self.relays_between(left, right):
            relay.pause()

    def heal(self) -> None:
        """Heal all partitions."""
        for relay in self.relays.values():
            relay.resume()

    def relays_between(
        self,
        left: 'list[RouterProcess]',
        right: 'list[RouterProcess]',
    ) -> list[LinkRelay]:
        """Return the relays between two groups in both directions."""
        return [
            self.relays[pair]
            for source in left
            for destination in right
            for pair in (
                (source.id, destination.id),
                (destination.id, source.id),
            )
        ]
