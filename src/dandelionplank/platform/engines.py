"""Calls that the router itself makes to engines."""

import aiohttp
import msgspec

from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.errors import ErrorCode, TargetError
from dandelionplank.routing.work import PromptPart
from dandelionplank.targets import Target

STEP = 'kept parts'
CACHED_PARTS_PATH = '/v1/kv-list'
TIMEOUT_S = 1.0
FETCH_ERRORS = (aiohttp.ClientError, TimeoutError, *DECODE_ERRORS)

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
        async with (
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as session,
            session.get(target.url + CACHED_PARTS_PATH) as response,
        ):
            raw = await response.read()
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
