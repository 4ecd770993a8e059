"""Structured logging: one JSON object per line, with the event number."""

import os
import sys
import time
from typing import Any, TextIO

import logbook
import msgspec

from dandelionplank.events import Event
from dandelionplank.metrics import METRICS

_ENCODER = msgspec.json.Encoder()
_LOGGER = logbook.Logger('dandelionplank')
TIMESTAMP_DECIMALS = 3
# Buffer for a slow reader; log lines beyond it are dropped.
MAX_PENDING_BYTES = 262_144


def log_event(event: Event, **fields: Any) -> None:
    """Write one log line for an event.

    :param event: event to log
    :param fields: log fields; they must not contain secrets
    """
    METRICS.count_event(event.number)
    _LOGGER.log(
        logbook.lookup_level(event.level.value),
        '{}',
        _ENCODER.encode(
            {
                'time': round(time.time(), TIMESTAMP_DECIMALS),
                'event': event.number,
                'name': event.name.lower(),
                **fields,
            },
        ).decode(),
    )


class NonBlockingStream:
    """Writes to a file descriptor without blocking.

    Output that the reader has not consumed is buffered up to a limit; lines
    beyond it are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        self.descriptor = descriptor
        self.pending = b''
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text, or drop it while the buffer is full."""
        if len(self.pending) > MAX_PENDING_BYTES:
            METRICS.add('log_lines_dropped_total')
        else:
            self.pending += text.encode()
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        if not self.pending:
            return
        try:
            written = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        self.pending = self.pending[written:]


def start_logging(
    level: str = 'INFO',
    output: TextIO | NonBlockingStream | None = None,
) -> None:
    """Write log lines of at least this level to an output.

    :param level: lowest level that is written
    :param output: destination, standard error by default
    """
    stream = logbook.StreamHandler(
        output or sys.stderr,
        level=level,
        format_string='{record.message}',
    )
    stream.push_application()
