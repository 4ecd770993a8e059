"""Shows whether a caller has closed its connection."""

import select

from aiohttp import web

# The peer has closed its side, or the connection is reset.
LEFT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_left(request: web.BaseRequest) -> bool:
    """Return whether the caller of a request has closed its connection.

    The event loop learns of a close only after it has read the bytes that were
    received before it, which takes several turns on a busy instance.
    """
    transport = request.transport
    if transport is None or transport.is_closing():
        return True
    connection = transport.get_extra_info('socket')
    if connection is None:
        return False
    poll = select.poll()
    poll.register(connection.fileno(), LEFT_EVENTS)
    return bool(poll.poll(0))


def has_next_request(request: web.BaseRequest) -> bool:
    """Return whether another request of the same connection has been read.

    The HTTP library states this nowhere else.
    """
    return bool(getattr(request.protocol, '_messages', ()))
