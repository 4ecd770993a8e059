"""UDP socket that reads all waiting datagrams in one turn of the event loop.

The transports of event loops read a few in each turn (uvloop: 32). While turns
are long, more than that arrive in the meantime: the receive buffer fills, every
message is read late, and the rest are dropped.
"""

import asyncio
import contextlib
import socket
import struct
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol, Self

from dandelionplank.metrics import METRICS
from dandelionplank.settings import Address

# Datagrams read in one turn; bounds the time for which a flood holds the loop.
MAX_DATAGRAMS_PER_TURN = 512
MAX_DATAGRAM_BYTES = 65_536
# The kernel grants what its own limit allows.
BUFFER_BYTES = 1_048_576
# Option of Linux, absent from the standard library: datagrams state how many
# the socket has dropped so far.
SO_RXQ_OVFL = 40
DROP_COUNT = struct.Struct('=I')
ANCILLARY_BYTES = socket.CMSG_SPACE(DROP_COUNT.size)
# Datagrams that wait for room in the send buffer; further ones are not sent.
MAX_UNSENT = 1024

SocketAddress = tuple[str, int]
DatagramListener = Callable[[bytes, SocketAddress], None]


class DropListener(Protocol):
    """Learns that datagrams were dropped."""

    def record_drop(self, now_s: float) -> None:
        """Record that the receive buffer had no room for some of them.

        :param now_s: monotonic time at which this was read
        """


class DatagramSocket:
    """A bound UDP socket on the running event loop."""

    def __init__(
        self, opened: socket.socket, on_datagram: DatagramListener
    ) -> None:
        """Start to read.

        :param opened: bound and non-blocking
        :param on_datagram: takes each datagram and its sender
        """
        self.opened = opened
        self.on_datagram = on_datagram
        self.dropped = 0
        self.drop_listeners: Sequence[DropListener] = ()
        self.unsent: deque[tuple[bytes, SocketAddress]] = deque()
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(opened, self._read_waiting)

    @classmethod
    def from_address(
        cls, address: Address, on_datagram: DatagramListener
    ) -> Self:
        """Open a socket at an address.

        :raises OSError: the address cannot be used
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            opened.setblocking(False)  # noqa: FBT003
            for buffer in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                opened.setsockopt(socket.SOL_SOCKET, buffer, BUFFER_BYTES)
            # A kernel without it reports no drops.
            with contextlib.suppress(OSError):
                opened.setsockopt(socket.SOL_SOCKET, SO_RXQ_OVFL, 1)
            opened.bind((address.ip, address.port))
        except OSError:
            opened.close()
            raise
        return cls(opened, on_datagram)

    def sendto(self, block: bytes, address: SocketAddress) -> None:
        """Send a datagram, as soon as the send buffer has room.

        :raises OSError: it cannot be sent
        """
        if not self.unsent:
            with contextlib.suppress(BlockingIOError):
                self.opened.sendto(block, address)
                return
            self.loop.add_writer(self.opened, self._send_waiting)
        if len(self.unsent) >= MAX_UNSENT:
            raise BlockingIOError('send buffer is full')
        self.unsent.append((block, address))

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self.opened.fileno() >= 0:
            self.loop.remove_reader(self.opened)
            self.loop.remove_writer(self.opened)
            self.opened.close()

    def _read_waiting(self) -> None:
        """Read the datagrams that wait, up to the bound."""
        with contextlib.suppress(BlockingIOError):
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                block, ancillary, _, sender = self.opened.recvmsg(
                    MAX_DATAGRAM_BYTES, ANCILLARY_BYTES
                )
                if ancillary:
                    self._record_dropped(ancillary[0][2])
                self.on_datagram(block, sender)

    def _record_dropped(self, count: bytes) -> None:
        """Report that the number of dropped datagrams has grown.

        :param count: number that the socket has dropped so far
        """
        dropped: int = DROP_COUNT.unpack(count)[0]
        if dropped == self.dropped:
            return
        METRICS.add('peer_datagrams_dropped_total', dropped - self.dropped)
        self.dropped = dropped
        for listener in self.drop_listeners:
            listener.record_drop(time.monotonic())

    def _send_waiting(self) -> None:
        """Send the datagrams that wait while the send buffer has room."""
        while self.unsent:
            try:
                self.opened.sendto(*self.unsent[0])
            except BlockingIOError:
                return
            except OSError:
                METRICS.add('peer_reports_unsent_total')
            self.unsent.popleft()
        self.loop.remove_writer(self.opened)
