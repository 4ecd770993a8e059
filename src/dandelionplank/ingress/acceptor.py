"""Accepts the connections that wait at a listening socket."""

import asyncio
import errno
import socket
from typing import Protocol

from dandelionplank.events import Event
from dandelionplank.fleet.sockets import open_bounded
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.settings import Address

# Connections accepted in one turn of the event loop. uvloop's own server
# accepts a single one, so that connections waited for seconds while the turns
# of a busy instance took some tenths of a second.
ACCEPTS_PER_TURN = 256
# Pause after an error that lasts, such as a lack of descriptors.
ERROR_PAUSE_S = 0.1
# The connection was closed before it was accepted.
CONNECTION_ERRORS = frozenset((errno.ECONNABORTED, errno.EPROTO, errno.EINTR))


class ProtocolFactory(Protocol):
    """Makes the protocol of an accepted connection."""

    def __call__(self) -> asyncio.BaseProtocol:
        """Return the protocol of one connection."""


class ConnectionAcceptor:
    """Accepts all waiting connections in one turn of the event loop."""

    def __init__(self, factory: ProtocolFactory, backlog: int) -> None:
        """Hold the factory; no socket is open.

        :param backlog: connections that may wait to be accepted
        """
        self.factory = factory
        self.backlog = backlog
        self.address = ''
        self.listening: socket.socket | None = None
        self.is_failing = False
        self.starting: set[asyncio.Task[object]] = set()

    def listen(self, address: Address, receive_buffer_bytes: int = 0) -> None:
        """Open the socket and accept connections from now on.

        :param receive_buffer_bytes: bound on what the kernel receives for each
            connection, zero for that of the system
        :raises OSError: the address cannot be used
        """
        self.listening = open_bounded(address, receive_buffer_bytes)
        self.listening.listen(self.backlog)
        self.address = address.text
        self.listening.setblocking(False)  # noqa: FBT003
        self._resume()

    def close(self) -> None:
        """Accept the connections that wait, and no more."""
        listening = self.listening
        if listening is None:
            return
        self._accept_waiting(self.backlog)
        self.listening = None
        asyncio.get_running_loop().remove_reader(listening)
        listening.close()

    def _resume(self) -> None:
        """Accept connections whenever some wait."""
        if self.listening is not None:
            asyncio.get_running_loop().add_reader(
                self.listening, self._accept_waiting
            )

    def _accept_waiting(self, limit: int = ACCEPTS_PER_TURN) -> None:
        """Accept the connections that wait now.

        :param limit: most connections to accept
        """
        listening = self.listening
        if listening is None:
            return
        for _ in range(limit):
            try:
                connection, _ = listening.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in CONNECTION_ERRORS:
                    self._pause(error)
                    return
            else:
                self.is_failing = False
                self._start(connection)

    def _pause(self, error: OSError) -> None:
        """Stop accepting for a short time after an error that lasts."""
        METRICS.add('accept_errors_total')
        if not self.is_failing:
            log_event(
                Event.SOCKET_UNAVAILABLE,
                purpose='accept',
                address=self.address,
                why=repr(error),
            )
        self.is_failing = True
        loop = asyncio.get_running_loop()
        if self.listening is not None:
            loop.remove_reader(self.listening)
        loop.call_later(ERROR_PAUSE_S, self._resume)

    def _start(self, connection: socket.socket) -> None:
        """Hand an accepted connection to a new protocol."""
        connection.setblocking(False)  # noqa: FBT003
        starting = asyncio.ensure_future(
            asyncio.get_running_loop().connect_accepted_socket(
                self.factory, connection
            )
        )
        self.starting.add(starting)
        starting.add_done_callback(self._record_started)

    def _record_started(self, starting: 'asyncio.Task[object]') -> None:
        """Count a connection that was closed before its protocol started."""
        self.starting.discard(starting)
        if starting.cancelled() or starting.exception():
            METRICS.add('accept_errors_total')
