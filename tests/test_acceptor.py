"""Tests of accepting callers' connections.

Guards against connections that wait for seconds, until their callers give up,
while the turns of a busy instance's event loop take long.
"""

import asyncio
import errno
import socket
from unittest import mock

from bench.fleet import reserve_ports
from dandelionplank.ingress.acceptor import ConnectionAcceptor
from dandelionplank.ingress.callerbounds import CallerBounds
from dandelionplank.ingress.server import CallerServer
from dandelionplank.settings import Address
from tests.fixtures import run_on_both_loops, wait_until

WAITING_CONNECTIONS = 64
# A connection is accepted in one turn; its protocol starts in the next ones.
TURNS = 6


class CountingProtocol(asyncio.Protocol):
    """Records its connection in a list."""

    def __init__(self, opened):
        self.opened = opened

    def connection_made(self, transport):
        self.opened.append(transport)


def open_acceptor():
    """Return an acceptor, its address and the connections it accepts."""
    opened = []
    acceptor = ConnectionAcceptor(lambda: CountingProtocol(opened), 4096)
    address = Address('127.0.0.1', reserve_ports(1)[0])
    acceptor.listen(address)
    return acceptor, (address.ip, address.port), opened


@run_on_both_loops
async def test_waiting_connections_are_accepted_in_a_few_turns():
    """With a single one a turn, callers give up while they wait."""
    server = CallerServer(mock.Mock(bounds=CallerBounds()), mock.Mock())
    address = Address('127.0.0.1', reserve_ports(1)[0])
    await server.listen(address)
    callers = [
        socket.create_connection((address.ip, address.port))
        for _ in range(WAITING_CONNECTIONS)
    ]
    for _ in range(TURNS):
        await asyncio.sleep(0)
    accepted = server.connection_count
    server.stop_accepting()
    for connection in server.connections:
        connection.force_close()
    for each in callers:
        each.close()
    assert accepted == WAITING_CONNECTIONS, accepted


@run_on_both_loops
async def test_connections_that_wait_are_accepted_before_the_socket_closes():
    """Closing the socket resets the connections that still wait."""
    acceptor, address, opened = open_acceptor()
    caller = socket.create_connection(address)
    acceptor.close()
    await wait_until(lambda: opened)
    is_refused = False
    try:
        socket.create_connection(address).close()
    except ConnectionRefusedError:
        is_refused = True
    assert is_refused
    opened[0].close()
    caller.close()


@run_on_both_loops
async def test_accepting_continues_after_a_lack_of_descriptors():
    """An error of the socket must neither end accepting nor repeat at once."""
    acceptor, address, opened = open_acceptor()
    listening = acceptor.listening
    acceptor.listening = mock.Mock(
        wraps=listening,
        fileno=listening.fileno,
        accept=mock.Mock(side_effect=OSError(errno.EMFILE, 'too many')),
    )
    caller = socket.create_connection(address)
    await wait_until(lambda: acceptor.listening.accept.call_count)
    for _ in range(TURNS):
        await asyncio.sleep(0)
    assert acceptor.listening.accept.call_count == 1
    acceptor.listening = listening
    await wait_until(lambda: opened)
    acceptor.close()
    opened[0].close()
    caller.close()
