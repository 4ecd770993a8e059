"""Tests of what decides how callers' bytes are parsed, without a network."""

import asyncio

from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from dandelionplank.ingress.connection import ConnectionGuard
from dandelionplank.ingress.turns import (
    HEAVY_S,
    HEAVY_TURN_S,
    TURN_S,
    TurnQueue,
)
from tests.fixtures import run_on_both_loops


def test_small_requests_pass_messages_that_cost_much():
    """Bodies in chunks of one byte kept all others from being parsed."""
    queue = TurnQueue()
    queue.add('heavy', HEAVY_S)
    assert queue.may_run(0)
    assert not queue.may_run(HEAVY_S)
    queue.add('light', 0)
    assert not queue.may_run(0)
    assert queue.take(is_first=True) == 'light'
    assert queue.take(is_first=True) == 'heavy'
    assert queue.take(is_first=True) is None
    assert queue.is_empty


@given(st.lists(st.floats(0, 0.01)))
def test_a_turn_ends_and_none_waits_forever(costs):
    """A turn takes the time of its bound and of one more block at most."""
    queue = TurnQueue()
    for cost_s in costs:
        queue.add(cost_s, cost_s)
    served = []
    while not queue.is_empty:
        queue.begin_turn()
        taken = queue.take(is_first=True)
        while taken is not None:
            limit_s = TURN_S if taken < HEAVY_S else HEAVY_TURN_S
            assert queue.spent_s < limit_s or not queue.spent_s
            served.append(taken)
            queue.charge(taken)
            taken = queue.take(is_first=False)
    assert sorted(served) == sorted(costs)


@run_on_both_loops
async def test_the_handler_has_the_attributes_that_are_relied_on():
    """Another version of aiohttp may name or count them in another way."""

    async def serve(_):
        return web.Response()

    server = web.Server(serve)
    guard = ConnectionGuard()
    made = []

    def make():
        made.append(guard.wrap(server()))
        return made[0]

    listener = await asyncio.get_running_loop().create_server(
        make, '127.0.0.1', 0
    )
    host, port = listener.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    await asyncio.sleep(0.05)
    connection = made[0]
    assert connection.http._request_count == 0
    connection.http.data_received(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    assert connection.http._request_count == 1
    message, body = connection.http._messages[-1]
    assert message.method == 'GET'
    assert body.is_eof()
    assert (await reader.readline()).startswith(b'HTTP/1.1 200')
    writer.close()
    listener.close()
    await server.shutdown()
    assert not guard.connections
