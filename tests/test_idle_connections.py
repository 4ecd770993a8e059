"""Tests of the close of callers' connections that carry no request."""

import asyncio
import socket
from unittest import mock

from aiohttp import web

from dandelionplank.router import idle
from dandelionplank.settings import CallerSettings
from tests.fixtures import run_async, wait_until

HEAD = b'GET / HTTP/1.1\r\nHost: callers.example\r\n\r\n'
CONNECTION_COUNT = 8
TURNS_BEFORE_CHECK = 4


@run_async
async def test_a_request_read_as_its_connection_expires_is_answered():
    """In each turn of the loop one expired connection reads a request.

    A 408 response would promise that it does not run.
    """
    settings = CallerSettings(header_timeout_s=0.01, idle_timeout_s=0.01)
    task = idle.IdleConnectionTask(settings)

    async def serve(request):
        task.record_request_start(request.protocol)
        await asyncio.sleep(0.05)
        task.record_request_end(request.protocol)
        response = web.Response()
        response.force_close()
        return response

    task.server = web.Server(serve, handler_cancellation=True)
    listening = socket.create_server(('127.0.0.1', 0))
    listener = await asyncio.get_running_loop().create_server(
        task.server, sock=listening
    )
    callers = [
        await asyncio.open_connection(*listening.getsockname())
        for _ in range(CONNECTION_COUNT)
    ]
    await wait_until(lambda: len(task.server.connections) == CONNECTION_COUNT)
    assert not task.find_expired(task.server.connections)
    await asyncio.sleep(0.05)
    with mock.patch.object(idle, 'CHECK_PERIOD_S', 0):
        read = await receive_as_idle_connections_expire(task)
    async with asyncio.timeout(2):
        statuses = [(await reader.read())[9:12] for reader, _ in callers]
    listener.close()
    assert statuses[:read].count(b'200') == read, (statuses, read)
    assert statuses[read:].count(b'408') == CONNECTION_COUNT - read


async def receive_as_idle_connections_expire(task):
    """Let one connection a turn read a request until the others have closed.

    :return: how many have read one
    """
    checks = None
    read = 0
    for turn, connection in enumerate(task.server.connections):
        if turn == TURNS_BEFORE_CHECK:
            checks = asyncio.ensure_future(task.run())
        if connection.connected and connection.transport.is_reading():
            connection.data_received(HEAD)
            read += 1
        await asyncio.sleep(0)
    await asyncio.sleep(0.02)
    checks.cancel()
    return read
