"""Server-sent events of a model response: validation and assembly."""

from typing import Any

import msgspec

from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.errors import ErrorCode, Outcome, TargetError
from dandelionplank.fairness.cost import Usage

SEPARATOR = b'\n\n'
DATA_PREFIX = b'data: '
END_EVENT = b'data: [DONE]'
USAGE_MARK = b'"usage"'
DONE_MARK = b'[DONE]'
ERROR_MARK = b'"error"'
STEP = 'answer'

_DECODER = msgspec.json.Decoder()
_ENCODER = msgspec.json.Encoder()


class ResponseStream:
    """Validates the events of one attempt and withholds the final ones.

    The usage event and the ``[DONE]`` event are withheld, so that the charge
    can be added and a truncated response never looks complete.

    :param attempt_id: id of the attempt
    :param has_attempt_ids: targets of the service put the attempt id into
        the id of every event, so an event without it is rejected
    """

    def __init__(self, attempt_id: str, *, has_attempt_ids: bool) -> None:
        """Hold the unfinished event and the usage of one attempt."""
        self.attempt_id = attempt_id
        self.id_suffix = f'-{attempt_id}"'.encode() if has_attempt_ids else b''
        self.remainder = b''
        self.events = 0
        self.usage_event: dict[str, Any] = {}
        self.is_complete = False

    def feed(self, chunk: bytes) -> bytes:
        """Process received bytes and return the complete events to forward.

        :raises TargetError: an event belongs to another attempt, or the
            target reports an error
        """
        if self.remainder:
            chunk = self.remainder + chunk
            self.remainder = b''
        if not chunk.endswith(SEPARATOR):
            chunk, _, remainder = chunk.rpartition(SEPARATOR)
            self.remainder = remainder
            if not chunk:
                return b''
            chunk += SEPARATOR
        if DONE_MARK in chunk or _may_be_special(chunk):
            chunk = self._withhold_final_events(chunk)
        events = chunk.count(SEPARATOR)
        if self.id_suffix and chunk.count(self.id_suffix) < events:
            raise TargetError(
                step=STEP,
                request_id=self.attempt_id,
                code=ErrorCode.ANSWER_MISMATCH,
                outcome=Outcome.UNKNOWN,
            )
        self.events += events
        return chunk

    @property
    def usage(self) -> Usage:
        """Tokens reported by the target, else one output token per event."""
        counted = self.usage_event.get('usage') or {}
        return Usage(
            int(counted.get('prompt_tokens', 0)),
            int(counted.get('completion_tokens', self.events)),
        )

    def final_events(self, receipt_id: str, charge: float) -> bytes:
        """Return the usage event with the charge, and the end event."""
        usage = self.usage
        event = {
            'id': f'chatcmpl-{self.attempt_id}',
            'object': 'chat.completion.chunk',
            'choices': [],
            **self.usage_event,
            'usage': {
                'prompt_tokens': usage.input_tokens,
                'completion_tokens': usage.output_tokens,
                'total_tokens': usage.input_tokens + usage.output_tokens,
                **(self.usage_event.get('usage') or {}),
            },
            'receipt': {'id': receipt_id, 'charge': charge},
        }
        return encode_event(event) + END_EVENT + SEPARATOR

    def _withhold_final_events(self, chunk: bytes) -> bytes:
        """Remove the usage event and the end event from a block."""
        forwarded = []
        for event in chunk.split(SEPARATOR)[:-1]:
            if event.startswith(END_EVENT):
                self.is_complete = True
            elif not (_may_be_special(event) and self._handle_special(event)):
                forwarded.append(event + SEPARATOR)
        return b''.join(forwarded)

    def _handle_special(self, event: bytes) -> bool:
        """Store a usage event and return whether the event was one.

        :raises TargetError: the target reports an error
        """
        document = _decode_event(event)
        if 'error' in document:
            raise TargetError(
                str(document['error']),
                step=STEP,
                request_id=self.attempt_id,
                code=ErrorCode.TARGET_FAILED,
                outcome=Outcome.UNKNOWN,
            )
        if not document.get('usage') or document.get('choices', ()):
            return False
        self.usage_event = document
        return True


class CompletionBuilder:
    """Builds one completion document from the events of a response."""

    def __init__(self) -> None:
        """Hold the text parts of the document and its other fields."""
        self.parts: list[str] = []
        self.first_event: dict[str, Any] = {}
        self.finish_reason: str | None = None

    def add(self, block: bytes) -> None:
        """Add the events of a block."""
        for event in block.split(SEPARATOR)[:-1]:
            document = _decode_event(event)
            self.first_event = self.first_event or document
            for choice in document.get('choices', ()):
                delta = choice.get('delta', {}).get('content')
                self.parts.append(delta or '')
                self.finish_reason = (
                    choice.get('finish_reason') or self.finish_reason
                )

    def body(self, usage: Usage, receipt_id: str, charge: float) -> bytes:
        """Return the response as a chat completion document."""
        return _ENCODER.encode(
            {
                'id': self.first_event.get('id', ''),
                'object': 'chat.completion',
                'created': self.first_event.get('created', 0),
                'model': self.first_event.get('model', ''),
                'choices': [
                    {
                        'index': 0,
                        'message': {
                            'role': 'assistant',
                            'content': ''.join(self.parts),
                        },
                        'finish_reason': self.finish_reason,
                    },
                ],
                'usage': {
                    'prompt_tokens': usage.input_tokens,
                    'completion_tokens': usage.output_tokens,
                    'total_tokens': usage.input_tokens + usage.output_tokens,
                },
                'receipt': {'id': receipt_id, 'charge': charge},
            },
        )


def encode_event(document: dict[str, Any]) -> bytes:
    """Return a document encoded as one event."""
    return DATA_PREFIX + _ENCODER.encode(document) + SEPARATOR


def _may_be_special(block: bytes) -> bool:
    """Return whether a block may contain a usage or an error event."""
    return USAGE_MARK in block or ERROR_MARK in block


def _decode_event(event: bytes) -> dict[str, Any]:
    """Return the JSON object of an event, empty if it has none."""
    if not event.startswith(DATA_PREFIX):
        return {}
    try:
        document = _DECODER.decode(event[len(DATA_PREFIX) :])
    except DECODE_ERRORS:
        return {}
    return document if isinstance(document, dict) else {}
