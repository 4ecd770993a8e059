"""Bounds on what a connection may send besides bodies: pure, no I/O.

A head is checked by the parser only once it is complete, and the extensions and
trailers of a chunked body belong to no body. Both are counted as they arrive.
"""

import enum
from http import HTTPStatus

# Empty lines before a request, and what else precedes its head.
HEAD_SLACK_BYTES = 1024
# Framing of a chunked body without any byte of the body in between.
MAX_IDLE_FRAMING_BYTES = 65_536
# Bytes on the wire for each byte of a body; chunks of one byte take six.
MAX_FRAMING_FACTOR = 16


class Excess(enum.Enum):
    """Reasons to refuse what a connection sends."""

    HEAD = ('head', HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
    EMPTY_LINES = ('empty lines', HTTPStatus.BAD_REQUEST)
    FRAMING = ('framing', HTTPStatus.BAD_REQUEST)
    LATE_HEAD = ('late head', HTTPStatus.REQUEST_TIMEOUT)

    def __init__(self, label: str, status: HTTPStatus) -> None:
        """Set the attributes of the member from its value."""
        self.label = label
        self.status = status


class InputMeter:
    """Counts what a connection has sent since its last complete message."""

    __slots__ = (
        'body_bytes',
        'framing_bytes',
        'head_bytes',
        'head_since_s',
        'is_blank',
        'wire_bytes',
    )

    def __init__(self) -> None:
        """Hold the counts of a connection that has sent nothing."""
        self.reset()

    def reset(self) -> None:
        """Count anew: a head or a body is complete."""
        self.head_bytes = 0
        self.head_since_s = 0.0
        self.is_blank = True
        self.wire_bytes = 0
        self.body_bytes = 0
        self.framing_bytes = 0

    def count_room(self, header_bytes: int) -> int:
        """Return how many bytes of a head may be parsed before a check."""
        return header_bytes + HEAD_SLACK_BYTES - self.head_bytes

    def add_head(
        self, block: bytes, header_bytes: int, now_s: float
    ) -> Excess | None:
        """Count bytes after which a head is still incomplete."""
        if not self.head_bytes:
            self.head_since_s = now_s
        self.head_bytes += len(block)
        self.is_blank = self.is_blank and not block.strip(b'\r\n')
        if self.count_room(header_bytes) > 0:
            return None
        return Excess.EMPTY_LINES if self.is_blank else Excess.HEAD

    def add_body(self, size: int, body_bytes: int) -> Excess | None:
        """Count bytes after which a body is still incomplete.

        :param size: bytes on the wire
        :param body_bytes: bytes of the body that have been found so far
        """
        self.wire_bytes += size
        self.framing_bytes += size
        if body_bytes > self.body_bytes:
            self.body_bytes = body_bytes
            self.framing_bytes = 0
        most = body_bytes * MAX_FRAMING_FACTOR + MAX_IDLE_FRAMING_BYTES
        if self.framing_bytes > MAX_IDLE_FRAMING_BYTES:
            return Excess.FRAMING
        return Excess.FRAMING if self.wire_bytes > most else None

    def is_late(self, limit_s: float, now_s: float) -> bool:
        """Return whether a head has been incomplete for too long."""
        return bool(self.head_bytes) and now_s - self.head_since_s > limit_s
