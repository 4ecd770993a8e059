"""Links between routers: one stream for each pair that talks.

A link is opened when the first message is sent and closed when it is idle.
Messages that were queued on a link that breaks are lost; whoever needs them
learns of the break by :class:`LinkOpened` and reconciles its state.
"""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import grpc
import grpc.aio

from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.messages import FRAME_DECODER, FRAME_ENCODER, Message
from dandelionplank.metrics import METRICS
from dandelionplank.settings import MembershipSettings

METHOD = 'dandelionplank.Links/Exchange'
SENDER = 'x-instance'
IDLE_CLOSE_S = 30.0
REDIAL_PAUSE_S = 0.1
OUTBOX_LIMIT = 100_000
CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', 16_777_216),
    ('grpc.enable_retries', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.optimization_target', 'latency'),
)
EMPTY_FRAME = FRAME_ENCODER.encode(())


@dataclasses.dataclass(frozen=True)
class LinkOpened:
    """A stream to a peer is open; earlier messages may be lost."""


@dataclasses.dataclass(frozen=True)
class LinkClosed:
    """The stream to a peer has ended."""


LinkEvent = Message | LinkOpened | LinkClosed
Receiver = Callable[[str, LinkEvent], None]


class FrameStream(Protocol):
    """Either end of a stream of frames."""

    async def read(self) -> Any:
        """Return the next frame or the end mark."""

    async def write(self, frame: bytes) -> None:
        """Send a frame."""


class AddressBook(Protocol):
    """Knows where the links of an instance are served."""

    def address_of(self, instance: str) -> str:
        """Return ``ip:port``, or nothing if the instance is not known."""


class Link:
    """Outgoing messages for one peer and the stream that carries them."""

    def __init__(self, peer: str) -> None:
        """Start without a stream."""
        self.peer = peer
        self.outbox: list[Message] = []
        self.wake = asyncio.Event()
        self.stream: FrameStream | None = None
        self.dialing: asyncio.Task[None] | None = None
        self.heard_at_s = time.monotonic()
        self.written_at_s = 0.0
        self.used_at_s = time.monotonic()

    def put(self, message: Message) -> None:
        """Queue a message."""
        self.outbox.append(message)
        self.used_at_s = time.monotonic()
        self.wake.set()

    def take_frame(self) -> bytes:
        """Return all queued messages as one frame."""
        messages = tuple(self.outbox)
        self.outbox.clear()
        METRICS.add('link_messages_total', len(messages))
        return FRAME_ENCODER.encode(messages)


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
        credentials: grpc.ChannelCredentials | None = None,
    ) -> None:
        """Start without any link."""
        self.own = own
        self.settings = settings
        self.book = book
        self.credentials = credentials
        self.links: dict[str, Link] = {}
        self.receivers: dict[type, list[Receiver]] = {}
        self.server: grpc.aio.Server | None = None
        self.closing = False

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
        if len(link.outbox) >= OUTBOX_LIMIT:
            link.outbox.clear()
        link.put(message)
        if link.stream is None and link.dialing is None:
            self._start_dialing(link)

    def deliver(self, sender: str, message: LinkEvent) -> None:
        """Hand a message to its receivers."""
        for receiver in self.receivers.get(type(message), ()):
            receiver(sender, message)

    def is_open(self, peer: str) -> bool:
        """Tell whether messages to a peer can flow now."""
        if peer == self.own:
            return True
        link = self.links.get(peer)
        return link is not None and link.stream is not None

    async def listen(
        self,
        address: str,
        credentials: grpc.ServerCredentials | None = None,
    ) -> None:
        """Accept streams of peers.

        :param address: ``ip:port``
        :param credentials: certificate and key, nothing for plain TCP
        """
        self.server = grpc.aio.server(options=CHANNEL_OPTIONS)
        service, _, method = METHOD.partition('/')
        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    service,
                    {
                        method: grpc.stream_stream_rpc_method_handler(
                            self.accept
                        )
                    },
                ),
            ),
        )
        if credentials:
            self.server.add_secure_port(address, credentials)
        else:
            self.server.add_insecure_port(address)
        await self.server.start()

    async def accept(self, _: Any, context: Any) -> None:
        """Serve a stream that a peer has opened."""
        metadata: Mapping[str, str] = dict(context.invocation_metadata() or ())
        peer = metadata.get(SENDER, '')
        if not peer:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, SENDER)
        link = self._link_to(peer)
        await self._converse(link, context)

    async def close(self) -> None:
        """Flush and end all streams."""
        self.closing = True
        for link in self.links.values():
            if link.dialing:
                link.dialing.cancel()
        if self.server:
            await self.server.stop(grace=0.1)

    def drop(self, peer: str) -> None:
        """Forget the link to an instance that has failed."""
        link = self.links.pop(peer, None)
        if link and link.dialing:
            link.dialing.cancel()

    def _link_to(self, peer: str) -> Link:
        """Return the link to a peer, a new one if there is none."""
        link = self.links.get(peer)
        if link is None:
            link = Link(peer)
            self.links[peer] = link
        return link

    def _start_dialing(self, link: Link) -> None:
        """Open a stream in a task."""
        if self.closing:
            return
        link.dialing = asyncio.get_running_loop().create_task(self._dial(link))

    async def _dial(self, link: Link) -> None:
        """Open streams to a peer until there is nothing more to send."""
        try:
            while not self.closing and link.stream is None:
                address = self.book.address_of(link.peer)
                if address:
                    await self._dial_once(link, address)
                if not link.outbox:
                    break
                await asyncio.sleep(REDIAL_PAUSE_S)
        finally:
            link.dialing = None

    async def _dial_once(self, link: Link, address: str) -> None:
        """Open one stream and talk until it ends."""
        if self.credentials:
            channel = grpc.aio.secure_channel(
                address,
                self.credentials,
                CHANNEL_OPTIONS,
            )
        else:
            channel = grpc.aio.insecure_channel(address, CHANNEL_OPTIONS)
        async with channel:
            call = channel.stream_stream(f'/{METHOD}')(
                metadata=((SENDER, self.own),),
            )
            with contextlib.suppress(grpc.aio.AioRpcError, TimeoutError):
                await asyncio.wait_for(
                    call.write(EMPTY_FRAME),
                    self.settings.link_timeout_s,
                )
                await self._converse(link, call)

    async def _converse(self, link: Link, stream: FrameStream) -> None:
        """Read a stream to its end; write to it if it is the link's first."""
        link.heard_at_s = time.monotonic()
        is_first = link.stream is None
        writer: asyncio.Task[None] | None = None
        if is_first:
            link.stream = stream
            self._announce(link.peer, LinkOpened(), Event.LINK_OPENED)
            writer = asyncio.get_running_loop().create_task(
                self._write_frames(link, stream),
            )
        reader = asyncio.get_running_loop().create_task(
            self._read_frames(link, stream),
        )
        tasks: list[asyncio.Task[None]] = [reader]
        if writer:
            tasks.append(writer)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if is_first:
                self._detach(link)

    def _detach(self, link: Link) -> None:
        """Note that the stream of a link has ended."""
        link.stream = None
        link.outbox.clear()
        if not self.closing:
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

    async def _read_frames(self, link: Link, stream: FrameStream) -> None:
        """Deliver what arrives until the stream ends or falls silent."""
        while True:
            frame = await asyncio.wait_for(
                stream.read(),
                self.settings.link_timeout_s,
            )
            if frame is grpc.aio.EOF:
                return
            link.heard_at_s = time.monotonic()
            METRICS.add('link_bytes_received_total', len(frame))
            for message in FRAME_DECODER.decode(frame):
                link.used_at_s = link.heard_at_s
                self.deliver(link.peer, message)

    async def _write_frames(self, link: Link, stream: FrameStream) -> None:
        """Send queued messages in batches, and heartbeats between them."""
        while True:
            await _wait_or_pass(link.wake, self.settings.heartbeat_s)
            link.wake.clear()
            now_s = time.monotonic()
            if not link.outbox and now_s - link.used_at_s > IDLE_CLOSE_S:
                return
            frame = link.take_frame()
            METRICS.add('link_bytes_sent_total', len(frame))
            await stream.write(frame)
            link.written_at_s = now_s


async def _wait_or_pass(wake: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event, but no longer than the timeout."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await wake.wait()
