"""Tests of request bodies that their callers have encoded."""

import gzip
import zlib

from nose2.tools import params

from tests.fixtures import run_async
from tests.platformfleet import hostile_fleet

BODY = b'the body that the caller has encoded'


@params(('gzip', gzip.compress(BODY)), ('deflate', zlib.compress(BODY)))
def test_targets_get_encoded_bodies_unchanged(encoding, encoded):
    """They got the decoded body, and the header of the encoded one."""
    received = []

    async def record(exchange):
        received.append(exchange.request.body)
        await exchange.write(exchange.response(b'done'))

    @run_async
    async def call():
        async with hostile_fleet(record) as (fleet, _):
            status, _, _ = await fleet.call(
                '/book/x',
                data=encoded,
                headers={'Content-Encoding': encoding},
            )
            assert status == 200

    call()
    assert received == [encoded]
