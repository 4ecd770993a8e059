"""Limits on the bytes of a target's response that are held in memory.

Designed for targets that send bytes without end: in a body, in an event, as
interim responses, in a response to another request, or between two responses.
A response up to :data:`RESERVED_BODY_BYTES` is always held, so that endless
bodies at other targets do not affect it; the rest of a larger one counts
towards a limit that all responses of the process share.
"""

import contextlib
from collections.abc import Iterator

from dandelionplank.errors import ErrorCode, Outcome, TargetError

STEP = 'read'
# Part of a body that does not count towards the shared limit.
RESERVED_BODY_BYTES = 65_536
# Longest body that is read completely before it is passed on.
MAX_BODY_BYTES = 4_194_304
# Total of the bodies that are being read, without their reserved parts.
MAX_HELD_BYTES = 8_388_608
# A connection is read no further while twice this waits for its reader.
READ_BUFFER_BYTES = 65_536
# Longest event of a stream.
MAX_EVENT_BYTES = 262_144
# Events without progress in a stream: repeated ones and comments.
MAX_IDLE_BYTES = 262_144
# Heads of responses parsed ahead of the reader of a connection.
MAX_PARSED_HEADS = 16
# Bytes parsed before the number of parsed heads is checked.
PARSED_SLICE_BYTES = 16_384
# Interim responses before the final one.
MAX_INTERIM_RESPONSES = 8
# Responses to other requests that are skipped, and the size of their bodies.
MAX_SKIPPED_RESPONSES = 4
MAX_SKIPPED_BODY_BYTES = 65_536


class HeldBytes:
    """Counts the bytes of the bodies that are being read."""

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        """Hold the shared limit.

        :param limit_bytes: total of all bodies, without their reserved parts
        """
        self.limit_bytes = limit_bytes
        self.total_bytes = 0

    @contextlib.contextmanager
    def hold_body(self, peer: str) -> Iterator['BodyBytes']:
        """Count one body until the context ends.

        :param peer: target that sends it
        """
        body = BodyBytes(self, peer)
        try:
            yield body
        finally:
            self.total_bytes -= body.shared_bytes


class BodyBytes:
    """Counts the bytes of one body."""

    def __init__(self, held: HeldBytes, peer: str) -> None:
        """Hold the shared count and the name of the target."""
        self.held = held
        self.peer = peer
        self.total_bytes = 0
        self.shared_bytes = 0

    def add(self, count: int) -> None:
        """Count bytes that have arrived.

        :raises TargetError: the body is longer than the limits allow
        """
        self.total_bytes += count
        shared_bytes = max(0, self.total_bytes - RESERVED_BODY_BYTES)
        self.held.total_bytes += shared_bytes - self.shared_bytes
        self.shared_bytes = shared_bytes
        if self.total_bytes > MAX_BODY_BYTES:
            raise self._error(f'body is longer than {MAX_BODY_BYTES} bytes')
        if shared_bytes and self.held.total_bytes > self.held.limit_bytes:
            raise self._error(
                f'open bodies are longer than {self.held.limit_bytes} bytes'
            )

    def _error(self, reason: str) -> TargetError:
        """Return the error for a body beyond the limits."""
        return TargetError(
            reason,
            step=STEP,
            peer=self.peer,
            code=ErrorCode.TARGET_FAILED,
            outcome=Outcome.UNKNOWN,
        )
