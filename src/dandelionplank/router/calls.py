"""Calls: the parsed request, its account and its service contract."""

import hashlib
from typing import Any

import msgspec
import xxhash

from dandelionplank.accounts import ClientAccount
from dandelionplank.contracts import ServiceContract
from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.fairness.cost import RequestSize
from dandelionplank.messages import Ticket

PREFIX_BYTES = 1024
STEP = 'parse'
_JSON_ENCODER = msgspec.json.Encoder()


class ChatMessage(msgspec.Struct):
    """One message of a conversation; other fields are forwarded unchanged."""

    role: str
    content: msgspec.Raw = msgspec.Raw(b'null')  # noqa: WPS110


class ChatRequest(msgspec.Struct):
    """Fields of a chat request that the router needs."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def output_limit(self) -> int:
        """Output tokens that the caller allows, zero without a limit."""
        return self.max_completion_tokens or self.max_tokens or 0


_CHAT_DECODER = msgspec.json.Decoder(ChatRequest)


class Call(msgspec.Struct, frozen=True):
    """Holds everything that routing and charging need of a call.

    :param id: request id, sent to the caller in a header
    :param body: what is sent to the target
    :param prefix: hash of the start of the prompt, zero for plain services
    :param key: the caller's idempotency key, empty if none
    """

    id: str
    account: ClientAccount
    contract: ServiceContract
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    size: RequestSize
    wants_stream: bool = False
    prefix: int = 0
    key: str = ''

    @property
    def is_retryable(self) -> bool:
        """Return whether the call is idempotent."""
        return self.contract.is_retryable(self.method)

    @property
    def intent_key(self) -> str:
        """Name under which the idempotency key is stored."""
        return f'{self.account.name}/{self.contract.name}/{self.key}'

    @property
    def fingerprint(self) -> str:
        """Digest of the parts that every call with the same key must share."""
        digest = hashlib.sha256()
        for part in (self.method.encode(), self.path.encode(), self.body):
            digest.update(part)
            digest.update(b'\0')
        return digest.hexdigest()

    def ticket(self, estimate: float) -> Ticket:
        """Return the ticket that is queued until a target is granted."""
        return Ticket(
            self.id,
            self.account.name,
            estimate,
            prefix=self.prefix,
            is_retryable=self.is_retryable,
        )


class ParsedChat(msgspec.Struct, frozen=True):
    """Holds a parsed chat request and the body to send to the target."""

    request: ChatRequest
    body: bytes
    prefix: int


def parse_chat(body: bytes) -> ParsedChat:
    """Parse a chat request.

    The body for the target always requests a stream and its token usage.

    :raises RefusalError: the body is not a chat request
    """
    try:
        request = _CHAT_DECODER.decode(body)
        document: dict[str, Any] = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise RefusalError(
            f'body: {error}',
            step=STEP,
            code=ErrorCode.BAD_REQUEST,
        ) from error
    document['stream'] = True
    document['stream_options'] = {'include_usage': True}
    first = request.messages[0].content if request.messages else b''
    prefix = xxhash.xxh32_intdigest(bytes(first)[:PREFIX_BYTES])
    return ParsedChat(request, _JSON_ENCODER.encode(document), prefix)
