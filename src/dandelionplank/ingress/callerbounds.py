"""Bounds on what all callers together hold, from the limits of the machine.

Pure. A process that exceeds its memory is killed, so that the figures leave
room for what is not counted: connections, targets' responses, the store's view.
"""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

BYTES_PER_MB = 1_048_576
# Part of the memory that a process may use under attack.
MEMORY_SHARE = 0.6
# Resident memory of a process that serves few requests: 48 MB measured.
RESIDENT_MB = 56
# Held bytes on machines whose memory is not known, and the fewest.
DEFAULT_HELD_BYTES = 134_217_728
MIN_HELD_BYTES = 16_777_216
# Parts of the held bytes.
SMALL_SHARE = 0.2
LARGE_SHARE = 0.5
RESPONSE_SHARE = 0.3
# Descriptors for files, and those for targets, peers and the store.
FILE_RESERVE = 200
SOCKET_RESERVE_SHARE = 0.25
# Connections of callers on machines whose descriptors are not known, and the
# fewest.
DEFAULT_CONNECTIONS = 8192
MIN_CONNECTIONS = 64
# Share of the connections from which on idle ones are closed, and to which.
CROWDED_SHARE = 0.9
UNCROWDED_SHARE = 0.85
# What the kernel may hold of each connection before it is read. It doubles the
# figure for its own overhead; without it, some MB are held.
RECEIVE_BUFFER_BYTES = 65_536

Writer = TypeVar('Writer')


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBounds:
    """What callers may hold together.

    :param held_bytes: bytes of bodies and responses
    :param connections: open connections
    :param receive_buffer_bytes: unread bytes of a connection, zero for what
        the system allows
    """

    held_bytes: int = DEFAULT_HELD_BYTES
    connections: int = DEFAULT_CONNECTIONS
    receive_buffer_bytes: int = 0

    @property
    def small_bytes(self) -> int:
        """Return the bytes reserved for the beginnings of bodies."""
        return int(self.held_bytes * SMALL_SHARE)

    @property
    def large_bytes(self) -> int:
        """Return the bytes for the rest of large bodies."""
        return int(self.held_bytes * LARGE_SHARE)

    @property
    def response_bytes(self) -> int:
        """Return the bytes of responses that callers have not read."""
        return int(self.held_bytes * RESPONSE_SHARE)

    @property
    def crowded_connections(self) -> int:
        """Return the number of connections from which on idle ones close."""
        return int(self.connections * CROWDED_SHARE)

    def count_surplus(self, open_connections: int) -> int:
        """Return how many idle connections are to be closed."""
        if open_connections < self.crowded_connections:
            return 0
        return open_connections - int(self.connections * UNCROWDED_SHARE)


def derive_bounds(memory_mb: float, file_descriptors: float) -> CallerBounds:
    """Return the bounds of a process.

    :param memory_mb: memory that it may use, zero if not known
    :param file_descriptors: descriptors that it may open, zero if not known
    """
    held_bytes = DEFAULT_HELD_BYTES
    if memory_mb:
        free_mb = memory_mb * MEMORY_SHARE - RESIDENT_MB
        held_bytes = max(MIN_HELD_BYTES, int(free_mb * BYTES_PER_MB))
    connections = DEFAULT_CONNECTIONS
    if file_descriptors:
        sockets = file_descriptors - FILE_RESERVE
        reserve = sockets * SOCKET_RESERVE_SHARE
        connections = max(MIN_CONNECTIONS, int(sockets - reserve))
    return CallerBounds(
        held_bytes,
        connections,
        RECEIVE_BUFFER_BYTES if memory_mb else 0,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Unread(Generic[Writer]):
    """Bytes that a caller has not read yet.

    :param previous_size: the same a period before
    """

    writer: Writer
    size: int
    previous_size: int

    @property
    def is_stalled(self) -> bool:
        """Whether the caller has read nothing in the period."""
        return bool(self.previous_size) and self.size >= self.previous_size


def find_slow_readers(
    unread: Iterable[Unread[Writer]], limit_bytes: int
) -> Iterator[Unread[Writer]]:
    """Return whose connections close, so that the others keep a limit.

    Those that read nothing come first, then the largest.
    """
    ranked = sorted(
        unread, key=lambda each: (each.is_stalled, each.size), reverse=True
    )
    excess = sum(each.size for each in ranked) - limit_bytes
    for each in ranked:
        if excess <= 0:
            return
        excess -= each.size
        yield each
