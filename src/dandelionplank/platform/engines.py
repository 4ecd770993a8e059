"""Calls that the router itself makes to engines."""

import asyncio

import aiohttp
import msgspec
from aiohttp.http_exceptions import HttpProcessingError

from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.delivery.connections import ConnectionPool
from dandelionplank.errors import ErrorCode, TargetError
from dandelionplank.platform.bodies import read_bounded
from dandelionplank.routing.work import PromptPart
from dandelionplank.targets import Target

STEP = 'kept parts'
CACHED_PARTS_PATH = '/v1/kv-list'
TIMEOUT_S = 1.0
# About 25,000 parts; all engines of a fleet may be queried together.
MAX_LIST_BYTES = 1_048_576
FETCH_ERRORS = (
    aiohttp.ClientError,
    HttpProcessingError,
    OSError,
    TimeoutError,
    *DECODE_ERRORS,
)

# An entry of the list: an empty string, the part's id, its tokens, the model.
_CacheEntry = tuple[str, str, int, str]


class _CachedParts(msgspec.Struct, frozen=True):
    """The engine's response; ``held`` lists the parts in its prefix cache."""

    held: tuple[_CacheEntry, ...] = ()


async def fetch_cached_parts(target: Target) -> tuple[PromptPart, ...]:
    """Fetch the prompt parts in an engine's prefix cache.

    :raises TargetError: the call failed or the response is malformed
    """
    try:
        async with asyncio.timeout(TIMEOUT_S):
            raw = await _get(target, CACHED_PARTS_PATH)
        decoded = msgspec.json.decode(raw, type=_CachedParts)
    except FETCH_ERRORS as error:
        raise TargetError(
            repr(error),
            step=STEP,
            peer=target.name,
            code=ErrorCode.TARGET_UNREACHABLE,
        ) from error
    return tuple(
        PromptPart(part_id, tokens) for _, part_id, tokens, _ in decoded.held
    )


async def _get(target: Target, path: str) -> bytes:
    """Return the body of a response, read within the limits on targets.

    :raises TargetError: no connection was established
    :raises aiohttp.ClientError: the response is malformed or too long
    """
    connection = await ConnectionPool().open(target)
    head = (
        f'GET {path} HTTP/1.1\r\nHost: {target.address.text}\r\n'
        'Connection: close\r\n\r\n'
    )
    try:
        connection.send(
            head.encode(), b'', request_id='', has_response_body=True
        )
        response = await connection.read_response()
        return await read_bounded(response.body, MAX_LIST_BYTES)
    finally:
        connection.abort()
