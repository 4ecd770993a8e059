"""Tests of the socket for the messages of other instances."""

import asyncio
import socket
from unittest import mock

from dandelionplank.fleet import datagrams
from dandelionplank.fleet.datagrams import (
    MAX_DATAGRAMS_PER_TURN,
    MAX_UNSENT,
    DatagramSocket,
)
from dandelionplank.fleet.localhealth import LocalHealth
from dandelionplank.metrics import METRICS
from dandelionplank.settings import Address
from tests.fixtures import reserve_ports, run_on_both_loops

# More datagrams than the smallest receive buffer holds.
DROPPED = 100
TARGET = ('127.0.0.1', 9)


def full_socket():
    """Return a socket whose send buffer has no room."""
    opened = mock.Mock(spec=socket.socket)
    opened.sendto.side_effect = BlockingIOError
    return opened


def make_socket(opened):
    """Return a datagram socket on a loop that calls nothing back."""
    loop = mock.Mock(spec=asyncio.AbstractEventLoop)
    with mock.patch.object(asyncio, 'get_running_loop', return_value=loop):
        return DatagramSocket(opened, mock.Mock())


@run_on_both_loops
async def test_a_flood_of_messages_holds_the_loop_for_a_bounded_time():
    """Other events have their turn between the parts of a flood."""
    received = []
    address = Address('127.0.0.1', reserve_ports(1)[0])
    opened = DatagramSocket.from_address(
        address, lambda block, sender: received.append(block)
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(2 * MAX_DATAGRAMS_PER_TURN):
            sender.sendto(b'x', (address.ip, address.port))
    opened._read_waiting()
    assert 0 < len(received) <= MAX_DATAGRAMS_PER_TURN
    opened.close()
    opened.close()


@run_on_both_loops
async def test_messages_that_the_socket_drops_are_reported():
    """A reply that was dropped looked like one that was never sent."""
    address = Address('127.0.0.1', reserve_ports(1)[0])
    with mock.patch.object(datagrams, 'BUFFER_BYTES', 1):
        opened = DatagramSocket.from_address(address, mock.Mock())
    listener = mock.Mock(spec=LocalHealth())
    opened.drop_listeners = (listener,)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(DROPPED):
            sender.sendto(b'x', (address.ip, address.port))
        opened._read_waiting()
        assert not listener.record_drop.called
        for _ in range(2):
            sender.sendto(b'x', (address.ip, address.port))
            opened._read_waiting()
    assert listener.record_drop.call_count == 1
    opened.close()


def test_messages_wait_in_order_for_room_in_the_send_buffer():
    """Reports to hundreds of instances are sent in one turn."""
    opened = full_socket()
    sender = make_socket(opened)
    for block in (b'first', b'second'):
        sender.sendto(block, TARGET)
    opened.sendto.reset_mock(side_effect=True)
    sender._send_waiting()
    sent = [call.args[0] for call in opened.sendto.mock_calls]
    assert sent == [b'first', b'second']
    assert not sender.unsent
    assert sender.loop.remove_writer.called


def test_the_messages_that_wait_are_bounded():
    """A send buffer that stays full costs no memory without limit."""
    sender = make_socket(full_socket())
    for _ in range(MAX_UNSENT):
        sender.sendto(b'x', TARGET)
    try:
        sender.sendto(b'x', TARGET)
    except BlockingIOError:
        assert len(sender.unsent) == MAX_UNSENT
    else:
        raise AssertionError('queued')


def test_a_message_that_cannot_be_sent_holds_up_no_other():
    """One address without a route must not cost the others their messages."""
    opened = full_socket()
    sender = make_socket(opened)
    for block in (b'lost', b'sent'):
        sender.sendto(block, TARGET)
    opened.sendto.reset_mock(side_effect=True)
    opened.sendto.side_effect = (OSError, None)
    before = METRICS.counters['peer_reports_unsent_total', ()]
    sender._send_waiting()
    assert not sender.unsent
    assert METRICS.counters['peer_reports_unsent_total', ()] == before + 1
