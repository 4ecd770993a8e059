"""Sends chat requests as callers do and checks the responses."""

import dataclasses
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
import xxhash

DATA_PREFIX = b'data: '
TokenCallback = Callable[[str, int], None]


@dataclasses.dataclass
class ChatOutcome:
    """The result of one chat request as its caller saw it.

    :param is_complete: all requested tokens and the end of the stream arrived
    :param has_mismatch: a token of the response does not belong to the prompt
    """

    account: str
    status: int = 0
    sent_at_s: float = 0
    first_token_at_s: float = 0
    ended_at_s: float = 0
    tokens: int = 0
    requested_tokens: int = 0
    is_complete: bool = False
    has_mismatch: bool = False
    charge: float = 0
    receipt: str = ''
    refusal: dict[str, Any] = dataclasses.field(default_factory=dict)
    on_tokens: TokenCallback | None = None

    @property
    def first_token_s(self) -> float:
        """Time from sending the request to the first token."""
        return self.first_token_at_s - self.sent_at_s


def chat_document(prompt: str, tokens: int, *, stream: bool = True) -> Any:
    """Return the body of a chat request."""
    return {
        'model': 'standin',
        'stream': stream,
        'max_tokens': tokens,
        'messages': [{'role': 'user', 'content': prompt}],
    }


async def chat(
    session: aiohttp.ClientSession,
    url: str,
    account: str,
    prompt: str,
    tokens: int,
    key: str = '',
    on_tokens: TokenCallback | None = None,
) -> ChatOutcome:
    """Send a streamed chat and check every token of the response.

    :param on_tokens: called with the account and the number of new tokens
    """
    outcome = ChatOutcome(
        account, requested_tokens=tokens, sent_at_s=time.monotonic()
    )
    outcome.on_tokens = on_tokens
    digest = xxhash.xxh64_hexdigest(prompt.encode())[:6]
    try:
        async with session.post(
            f'{url}/v1/chat/completions',
            data=msgspec.json.encode(chat_document(prompt, tokens)),
            headers={'Authorization': f'Bearer {key or f"key-of-{account}"}'},
        ) as response:
            outcome.status = response.status
            if response.status == 200:
                await _read_events(response, outcome, digest)
            else:
                body = await response.read()
                outcome.refusal = msgspec.json.decode(body)['error']
    except (aiohttp.ClientError, ConnectionError) as error:
        outcome.refusal = {'type': 'connection', 'message': str(error)}
    outcome.ended_at_s = time.monotonic()
    return outcome


async def _read_events(
    response: aiohttp.ClientResponse,
    outcome: ChatOutcome,
    digest: str,
) -> None:
    """Read a stream to its end and check its events."""
    buffer = b''
    async for chunk in response.content.iter_any():
        buffer += chunk
        *events, buffer = buffer.split(b'\n\n')
        before = outcome.tokens
        for event in events:
            _check_event(event.removeprefix(DATA_PREFIX), outcome, digest)
        if outcome.on_tokens:
            outcome.on_tokens(outcome.account, outcome.tokens - before)


def _check_event(event: bytes, outcome: ChatOutcome, digest: str) -> None:
    """Check one event and record it in the outcome."""
    expected = b'"content":"%b:%d "' % (digest.encode(), outcome.tokens)
    if outcome.tokens and expected in event:
        outcome.tokens += 1
        return
    if event == b'[DONE]':
        outcome.is_complete = outcome.tokens == outcome.requested_tokens
        return
    document = msgspec.json.decode(event)
    if 'error' in document:
        outcome.refusal = document['error']
    elif document.get('choices', ()):
        if not outcome.tokens:
            outcome.first_token_at_s = time.monotonic()
        word = document['choices'][0]['delta']['content']
        if word != f'{digest}:{outcome.tokens} ':
            outcome.has_mismatch = True
        outcome.tokens += 1
    else:
        receipt = document.get('receipt', {})
        outcome.charge = receipt.get('charge', 0)
        outcome.receipt = receipt.get('id', '')
