"""Resets connections, as a crash does."""

import asyncio
import socket
import struct

# A socket that lingers for no time is reset when it is closed.
NO_LINGER = struct.pack('ii', 1, 0)


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make a connection end with a reset when it is closed."""
    raw_socket = transport.get_extra_info('socket')
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
