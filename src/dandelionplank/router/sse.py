"""Server-sent events of a model's answer: checked, counted, passed on."""

from typing import Any

import msgspec

from dandelionplank.errors import ErrorCode, Outcome, TargetError
from dandelionplank.fairness.cost import Usage

SEPARATOR = b'\n\n'
FIELD = b'data: '
END_MARK = b'data: [DONE]'
USAGE_MARK = b'"usage"'
DONE_MARK = b'[DONE]'
ERROR_MARK = b'"error"'
STEP = 'answer'

_DECODER = msgspec.json.Decoder()
_ENCODER = msgspec.json.Encoder()


class AnswerStream:
    """Checks the events of one attempt and holds back the end.

    The usage event and the end mark are held back, so that the charge can
    be added to them and nothing looks complete that is not.

    :param attempt_id: must occur in the id of every event
    :param stamped: targets of the service repeat the attempt id
    """

    def __init__(self, attempt_id: str, *, stamped: bool) -> None:
        """Start before the first byte."""
        self.attempt_id = attempt_id
        self.marker = f'-{attempt_id}"'.encode() if stamped else b''
        self.remainder = b''
        self.events = 0
        self.usage_event: dict[str, Any] = {}
        self.is_whole = False

    def feed(self, chunk: bytes) -> bytes:
        """Take in bytes and return the whole events to pass on.

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
        if DONE_MARK in chunk or _is_special(chunk):
            chunk = self._hold_back(chunk)
        events = chunk.count(SEPARATOR)
        if self.marker and chunk.count(self.marker) < events:
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
        """Tokens as the target counted them; events stand in if it did not."""
        counted = self.usage_event.get('usage') or {}
        return Usage(
            int(counted.get('prompt_tokens', 0)),
            int(counted.get('completion_tokens', self.events)),
        )

    def ending(self, receipt_id: str, charge: float) -> bytes:
        """Return the usage event with the charge, and the end mark."""
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
        return encode_event(event) + END_MARK + SEPARATOR

    def _hold_back(self, chunk: bytes) -> bytes:
        """Take usage and end mark out of a block of events."""
        kept = []
        for event in chunk.split(SEPARATOR)[:-1]:
            if event.startswith(END_MARK):
                self.is_whole = True
            elif not (_is_special(event) and self._take_special(event)):
                kept.append(event + SEPARATOR)
        return b''.join(kept)

    def _take_special(self, event: bytes) -> bool:
        """Keep a usage event for the end; refuse an error event."""
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


class AnswerText:
    """Assembles a whole answer from events, for callers without streams."""

    def __init__(self) -> None:
        """Start empty."""
        self.parts: list[str] = []
        self.first: dict[str, Any] = {}
        self.finish_reason: str | None = None

    def add(self, block: bytes) -> None:
        """Add the events of a passage."""
        for event in block.split(SEPARATOR)[:-1]:
            document = _decode_event(event)
            self.first = self.first or document
            for choice in document.get('choices', ()):
                delta = choice.get('delta', {}).get('content')
                self.parts.append(delta or '')
                self.finish_reason = (
                    choice.get('finish_reason') or self.finish_reason
                )

    def body(self, usage: Usage, receipt_id: str, charge: float) -> bytes:
        """Return the answer in the usual form of a completion."""
        return _ENCODER.encode(
            {
                'id': self.first.get('id', ''),
                'object': 'chat.completion',
                'created': self.first.get('created', 0),
                'model': self.first.get('model', ''),
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
    """Return a document as one event."""
    return FIELD + _ENCODER.encode(document) + SEPARATOR


def _is_special(block: bytes) -> bool:
    """Tell whether a block may hold a usage or an error event."""
    return USAGE_MARK in block or ERROR_MARK in block


def _decode_event(event: bytes) -> dict[str, Any]:
    """Return the document of an event, empty if it carries none."""
    if not event.startswith(FIELD):
        return {}
    try:
        document = _DECODER.decode(event[len(FIELD) :])
    except msgspec.DecodeError:
        return {}
    return document if isinstance(document, dict) else {}
