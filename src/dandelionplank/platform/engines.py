"""Calls to engines themselves, apart from callers' requests."""

import aiohttp
import msgspec

from dandelionplank.errors import ErrorCode, TargetError
from dandelionplank.routing.work import PromptPart
from dandelionplank.targets import Target

STEP = 'kept parts'
KEPT_PARTS_PATH = '/v1/kv-list'
TIMEOUT_S = 1.0

# An entry of the list: an empty text, the part's id, its tokens, the model.
_Entry = tuple[str, str, int, str]


class _KeptParts(msgspec.Struct, frozen=True):
    """The engine's answer; ``held`` names the parts in its memory."""

    held: tuple[_Entry, ...] = ()


async def read_kept_parts(target: Target) -> tuple[PromptPart, ...]:
    """Ask an engine which parts of prompts it keeps.

    :raises TargetError: the engine did not answer
    """
    try:
        async with (
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            ) as session,
            session.get(target.url + KEPT_PARTS_PATH) as response,
        ):
            raw = await response.read()
            answer = msgspec.json.decode(raw, type=_KeptParts)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
        raise TargetError(
            repr(error),
            step=STEP,
            peer=target.name,
            code=ErrorCode.TARGET_UNREACHABLE,
        ) from error
    return tuple(
        PromptPart(part_id, tokens) for _, part_id, tokens, _ in answer.held
    )
