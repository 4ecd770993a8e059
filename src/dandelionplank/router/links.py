"""Links between routers: one TCP connection for each pair that talks.

A frame is a length and a batch of messages. A link is opened when the first
message is sent and closed when it is idle. Messages that were queued on a
link that breaks are lost; whoever needs them learns of the break by
:class:`LinkOpened` and reconciles its state.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Callable
from typing import Protocol

import msgspec

from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.messages import FRAME_DECODER, FRAME_ENCODER, Message
from dandelionplank.metrics import METRICS
from dandelionplank.router.tls import PeerTls
from dandelionplank.settings import Address, MembershipSettings

IDLE_CLOSE_S = 30.0
REDIAL_PAUSE_S = 0.1
OUTBOX_LIMIT = 100_000
LENGTH_BYTES = 4
FRAME_LIMIT_BYTES = 67_108_864
EMPTY_FRAME = FRAME_ENCODER.encode(())
READ_ERRORS = (
    OSError,
    asyncio.IncompleteReadError,
    msgspec.DecodeError,
    TimeoutError,
)


@dataclasses.dataclass(frozen=True)
class LinkOpened:
    """A connection to a peer is open; earlier messages may be lost."""


@dataclasses.dataclass(frozen=True)
class LinkClosed:
    """The connection to a peer has ended."""


LinkEvent = Message | LinkOpened | LinkClosed
Receiver = Callable[[str, LinkEvent], None]


class AddressBook(Protocol):
    """Knows where the links of an instance are served."""

    def address_of(self, instance: str) -> str:
        """Return ``ip:port``, or nothing if the instance is not known."""


class Link:
    """Outgoing messages for one peer and the connection that carries them."""

    def __init__(self, peer: str) -> None:
        """Start without a connection."""
        now_s = time.monotonic()
        self.peer = peer
        self.outbox: list[Message] = []
        self.writer: asyncio.StreamWriter | None = None
        self.connections: set[asyncio.StreamWriter] = set()
        self.dialing: asyncio.Task[None] | None = None
        self.is_flushing = False
        self.heard_at_s = now_s
        self.written_at_s = now_s
        self.used_at_s = now_s

    def put(self, message: Message) -> None:
        """Queue a message; messages of one moment share a frame."""
        if len(self.outbox) >= OUTBOX_LIMIT:
            self.outbox.clear()
        self.outbox.append(message)
        self.used_at_s = time.monotonic()
        if self.writer and not self.is_flushing:
            self.is_flushing = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Write everything that is queued as one frame."""
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
        """Cut all connections of the link."""
        for writer in tuple(self.connections):
            writer.transport.abort()


class Links:
    """All links of one router.

    :param own: id of this instance
    :param settings: heartbeat period and timeout
    :param book: addresses of the peers
    """

    def __init__(
        self,
        own: str,
        settings: MembershipSettings,
        book: AddressBook,
        tls: PeerTls | None = None,
    ) -> None:
        """Start without any link.

        :param tls: certificates of the links, nothing for plain TCP
        """
        self.own = own
        self.settings = settings
        self.book = book
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
        if peer == self.own:
            self.deliver(peer, message)
            return
        link = self._link_to(peer)
        link.put(message)
        if link.writer is None and link.dialing is None and not self.is_closing:
            loop = asyncio.get_running_loop()
            link.dialing = loop.create_task(self._dial(link))

    def deliver(self, sender: str, message: LinkEvent) -> None:
        """Hand a message to its receivers."""
        for receiver in self.receivers.get(type(message), ()):
            receiver(sender, message)

    def is_open(self, peer: str) -> bool:
        """Tell whether messages to a peer can flow now."""
        if peer == self.own:
            return True
        link = self.links.get(peer)
        return link is not None and link.writer is not None

    async def listen(self, address: Address) -> None:
        """Accept connections of peers."""
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
        await self._converse(self._link_to(peer), reader, writer)

    async def run(self) -> None:
        """Send heartbeats, cut silent links and close idle ones."""
        while True:
            await asyncio.sleep(self.settings.heartbeat_s / 2)
            now_s = time.monotonic()
            for link in tuple(self.links.values()):
                self._check(link, now_s)

    async def close(self) -> None:
        """Flush and end all connections."""
        self.is_closing = True
        for link in self.links.values():
            link.flush()
            if link.dialing:
                link.dialing.cancel()
            for writer in tuple(link.connections):
                writer.close()
        if self.server:
            self.server.close()

    def _check(self, link: Link, now_s: float) -> None:
        """Send a heartbeat on a link, or end it if it is silent or idle."""
        if link.connections:
            silent_s = now_s - link.heard_at_s
            if silent_s > self.settings.link_timeout_s:
                link.abort()
        if link.writer is None:
            return
        if now_s - link.used_at_s > IDLE_CLOSE_S:
            link.writer.close()
        elif now_s - link.written_at_s >= self.settings.heartbeat_s:
            link.flush()

    def _link_to(self, peer: str) -> Link:
        """Return the link to a peer, a new one if there is none."""
        link = self.links.get(peer)
        if link is None:
            link = Link(peer)
            self.links[peer] = link
        return link

    async def _dial(self, link: Link) -> None:
        """Open connections to a peer until there is nothing more to send."""
        try:
            while not self.is_closing and link.writer is None:
                await self._dial_once(link)
                if not link.outbox:
                    break
                await asyncio.sleep(REDIAL_PAUSE_S)
        finally:
            link.dialing = None

    async def _dial_once(self, link: Link) -> None:
        """Open one connection and talk until it ends."""
        known = self.book.address_of(link.peer)
        if not known:
            return
        address = Address.from_text(known)
        try:
            async with asyncio.timeout(self.settings.link_timeout_s):
                reader, writer = await asyncio.open_connection(
                    address.ip,
                    address.port,
                    ssl=self.tls.client_context() if self.tls else None,
                )
        except (OSError, TimeoutError):
            return
        greeting = FRAME_ENCODER.encode(self.own)
        writer.write(len(greeting).to_bytes(LENGTH_BYTES) + greeting)
        await self._converse(link, reader, writer)

    async def _converse(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read a connection to its end; the first one is written to."""
        link.heard_at_s = time.monotonic()
        link.connections.add(writer)
        is_first = link.writer is None
        if is_first:
            link.writer = writer
            self._announce(link.peer, LinkOpened(), Event.LINK_OPENED)
            link.flush()
        try:
            with contextlib.suppress(*READ_ERRORS):
                await self._read_frames(link, reader)
        finally:
            link.connections.discard(writer)
            writer.close()
            if is_first:
                self._detach(link)

    def _detach(self, link: Link) -> None:
        """Note that the connection of a link has ended."""
        link.writer = None
        link.outbox.clear()
        if not self.is_closing:
            self._announce(link.peer, LinkClosed(), Event.LINK_CLOSED)

    def _announce(
        self,
        peer: str,
        change: LinkOpened | LinkClosed,
        event: Event,
    ) -> None:
        """Log a change of a link and tell its subscribers."""
        log_event(event, peer=peer)
        self.deliver(peer, change)

    async def _read_frames(
        self,
        link: Link,
        reader: asyncio.StreamReader,
    ) -> None:
        """Deliver what arrives until the connection ends."""
        while True:
            frame = await _read_frame(reader)
            link.heard_at_s = time.monotonic()
            METRICS.add('link_bytes_received_total', len(frame))
            for message in FRAME_DECODER.decode(frame):
                link.used_at_s = link.heard_at_s
                self.deliver(link.peer, message)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    """Return the next frame.

    :raises asyncio.IncompleteReadError: the connection has ended
    :raises ConnectionError: the frame is too long
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
    if length > FRAME_LIMIT_BYTES:
        raise ConnectionError(f'frame of {length} bytes')
    return await reader.readexactly(length)
