"""Links between routers: one TCP connection per pair that communicates.

A frame is a length and a batch of messages. A link is opened when the first
message is sent and closed when it is idle. Messages queued on a link that
breaks are lost; a subscriber that depends on them reconciles its state when
it receives :class:`LinkOpened`.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Callable
from typing import Protocol

import msgspec

from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.messages import FRAME_DECODER, FRAME_ENCODER, Message
from dandelionplank.metrics import METRICS
from dandelionplank.router.tls import PeerTls
from dandelionplank.settings import Address, MembershipSettings

IDLE_CLOSE_S = 30.0
RECONNECT_PAUSE_S = 0.1
OUTBOX_LIMIT = 100_000
LENGTH_BYTES = 4
FRAME_LIMIT_BYTES = 67_108_864
EMPTY_FRAME = FRAME_ENCODER.encode(())
READ_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    TimeoutError,
    *DECODE_ERRORS,
)


@dataclasses.dataclass(frozen=True)
class LinkOpened:
    """A connection to a peer is open; earlier messages may be lost."""


@dataclasses.dataclass(frozen=True)
class LinkClosed:
    """The connection to a peer is closed."""


LinkEvent = Message | LinkOpened | LinkClosed
Receiver = Callable[[str, LinkEvent], None]


class AddressBook(Protocol):
    """Resolves an instance to the address on which it accepts links."""

    def address_of(self, instance: str) -> str:
        """Return ``ip:port``, empty if the instance is not known."""


class Link:
    """Outgoing messages for one peer and the connection that carries them."""

    def __init__(self, peer: str) -> None:
        """Hold the messages for a peer; no connection is open yet."""
        now_s = time.monotonic()
        self.peer = peer
        self.outbox: list[Message] = []
        self.writer: asyncio.StreamWriter | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        self.connecting: asyncio.Task[None] | None = None
        self.is_flushing = False
        self.received_at_s = now_s
        self.written_at_s = now_s
        self.used_at_s = now_s

    def put(self, message: Message) -> None:
        """Queue a message; those of one event loop iteration share a frame."""
        if len(self.outbox) >= OUTBOX_LIMIT:
            self.outbox.clear()
        self.outbox.append(message)
        self.used_at_s = time.monotonic()
        if self.writer and not self.is_flushing:
            self.is_flushing = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write all queued messages as one frame, which may be empty."""
        self.is_flushing = False
        if self.writer is None or self.writer.is_closing():
            return
        METRICS.add('link_messages_total', len(self.outbox))
        frame = EMPTY_FRAME
        if self.outbox:
            frame = FRAME_ENCODER.encode(tuple(self.outbox))
            self.outbox.clear()
        METRICS.add('link_bytes_sent_total', len(frame) + LENGTH_BYTES)
        self.writer.write(len(frame).to_bytes(LENGTH_BYTES) + frame)
        self.written_at_s = time.monotonic()

    def abort(self) -> None:
        """Abort all connections of the link."""
        for writer in tuple(self.connections):
            writer.transport.abort()


class Links:
    """All links of one router.

    :param own_id: id of this instance
    :param settings: heartbeat period and timeout
    :param address_book: addresses of the peers
    """

    def __init__(
        self,
        own_id: str,
        settings: MembershipSettings,
        address_book: AddressBook,
        tls: PeerTls | None = None,
    ) -> None:
        """Hold the links by peer; none is open yet.

        :param tls: certificates of the links, None for plain TCP
        """
        self.own_id = own_id
        self.settings = settings
        self.address_book = address_book
        self.tls = tls
        self.links: dict[str, Link] = {}
        self.receivers: dict[type, list[Receiver]] = {}
        self.server: asyncio.Server | None = None
        self.is_closing = False

    def subscribe(self, kinds: tuple[type, ...], receiver: Receiver) -> None:
        """Deliver messages and link events of these types to a receiver."""
        for kind in kinds:
            self.receivers.setdefault(kind, []).append(receiver)

    def send(self, peer: str, message: Message) -> None:
        """Queue a message for a peer; it may be lost if the link breaks."""
        if peer == self.own_id:
            self.deliver(peer, message)
            return
        link = self._get_link(peer)
        link.put(message)
        if (
            link.writer is None
            and link.connecting is None
            and not self.is_closing
        ):
            loop = asyncio.get_running_loop()
            link.connecting = loop.create_task(self._connect(link))

    def deliver(self, sender: str, message: LinkEvent) -> None:
        """Pass a message or link event to the receivers of its type."""
        for receiver in self.receivers.get(type(message), ()):
            receiver(sender, message)

    def is_open(self, peer: str) -> bool:
        """Return whether messages to a peer can be sent now."""
        if peer == self.own_id:
            return True
        link = self.links.get(peer)
        return link is not None and link.writer is not None

    async def listen(self, address: Address) -> None:
        """Accept connections from peers."""
        self.server = await asyncio.start_server(
            self.accept,
            address.ip,
            address.port,
            ssl=self.tls.server_context() if self.tls else None,
        )

    async def accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve a connection that a peer has opened.

        Its first frame is the id of the peer.
        """
        try:
            async with asyncio.timeout(self.settings.link_timeout_s):
                greeting = await _read_frame(reader)
            peer = msgspec.msgpack.decode(greeting, type=str)
        except READ_ERRORS:
            METRICS.add('link_malformed_total')
            writer.close()
            return
        await self._serve_connection(self._get_link(peer), reader, writer)

    async def run(self) -> None:
        """Send heartbeats, abort silent links and close idle ones."""
        while True:
            await asyncio.sleep(self.settings.heartbeat_s / 2)
            now_s = time.monotonic()
            for link in tuple(self.links.values()):
                self._check_link(link, now_s)

    async def close(self) -> None:
        """Flush and close all connections."""
        self.is_closing = True
        for link in self.links.values():
            link.flush()
            if link.connecting:
                link.connecting.cancel()
            for writer in tuple(link.connections):
                writer.close()
        if self.server:
            self.server.close()

    def _check_link(self, link: Link, now_s: float) -> None:
        """Send a heartbeat on a link, or close it if it is silent or idle."""
        if link.connections:
            silent_s = now_s - link.received_at_s
            if silent_s > self.settings.link_timeout_s:
                link.abort()
        if link.writer is None:
            return
        if now_s - link.used_at_s > IDLE_CLOSE_S:
            link.writer.close()
        elif now_s - link.written_at_s >= self.settings.heartbeat_s:
            link.flush()

    def _get_link(self, peer: str) -> Link:
        """Return the link to a peer; create it if there is none."""
        link = self.links.get(peer)
        if link is None:
            link = Link(peer)
            self.links[peer] = link
        return link

    async def _connect(self, link: Link) -> None:
        """Connect to a peer until no queued messages are left."""
        try:
            while not self.is_closing and link.writer is None:
                await self._connect_once(link)
                if not link.outbox:
                    break
                await asyncio.sleep(RECONNECT_PAUSE_S)
        finally:
            link.connecting = None

    async def _connect_once(self, link: Link) -> None:
        """Open one connection and serve it until it closes."""
        known_address = self.address_book.address_of(link.peer)
        if not known_address:
            return
        address = Address.from_text(known_address)
        try:
            async with asyncio.timeout(self.settings.link_timeout_s):
                reader, writer = await asyncio.open_connection(
                    address.ip,
                    address.port,
                    ssl=self.tls.client_context() if self.tls else None,
                )
        except (OSError, TimeoutError):
            return
        greeting = FRAME_ENCODER.encode(self.own_id)
        writer.write(len(greeting).to_bytes(LENGTH_BYTES) + greeting)
        await self._serve_connection(link, reader, writer)

    async def _serve_connection(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read a connection until it closes.

        Messages are written only to the first connection of a link.
        """
        link.received_at_s = time.monotonic()
        link.connections.add(writer)
        is_first = link.writer is None
        if is_first:
            link.writer = writer
            self._notify(link.peer, LinkOpened(), Event.LINK_OPENED)
            link.flush()
        try:
            with contextlib.suppress(*READ_ERRORS):
                await self._read_frames(link, reader)
        finally:
            link.connections.discard(writer)
            writer.close()
            if is_first:
                self._handle_disconnect(link)

    def _handle_disconnect(self, link: Link) -> None:
        """Discard the queue and the connection of a link that has closed."""
        link.writer = None
        link.outbox.clear()
        if not self.is_closing:
            self._notify(link.peer, LinkClosed(), Event.LINK_CLOSED)

    def _notify(
        self,
        peer: str,
        change: LinkOpened | LinkClosed,
        event: Event,
    ) -> None:
        """Log a change of a link and deliver it to the subscribers."""
        log_event(event, peer=peer)
        self.deliver(peer, change)

    async def _read_frames(
        self,
        link: Link,
        reader: asyncio.StreamReader,
    ) -> None:
        """Deliver incoming messages until the connection closes."""
        while True:
            frame = await _read_frame(reader)
            link.received_at_s = time.monotonic()
            METRICS.add('link_bytes_received_total', len(frame))
            for message in FRAME_DECODER.decode(frame):
                link.used_at_s = link.received_at_s
                self.deliver(link.peer, message)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    """Return the next frame.

    :raises asyncio.IncompleteReadError: the connection has closed
    :raises ConnectionError: the frame is too long
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
    if length > FRAME_LIMIT_BYTES:
        raise ConnectionError(f'frame of {length} bytes')
    return await reader.readexactly(length)
