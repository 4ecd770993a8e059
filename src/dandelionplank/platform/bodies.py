"""Reads the bodies of responses to the calls that an instance itself makes."""

import types

from aiohttp import ClientPayloadError
from aiohttp.streams import StreamReader

# The size of a body that is not compressed is known as it arrives.
NOT_ENCODED = types.MappingProxyType({'Accept-Encoding': 'identity'})


async def read_bounded(body: StreamReader, limit_bytes: int) -> bytes:
    """Read a body up to a limit.

    :raises aiohttp.ClientPayloadError: it is longer, or is truncated
    """
    found = bytearray()
    while block := await body.readany():
        found += block
        if len(found) > limit_bytes:
            raise ClientPayloadError(f'body is longer than {limit_bytes} bytes')
    return bytes(found)
