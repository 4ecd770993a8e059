"""Structured log lines: one JSON object a line, with the event's number."""

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
MILLISECONDS = 3
# Log lines that wait for a slow reader; more are dropped.
PENDING_LOG_BYTES = 262_144


def log_event(event: Event, **fields: Any) -> None:
    """Write one log line for an event.

    :param event: entry of the catalogue
    :param fields: facts of the event; they must hold no secrets
    """
    METRICS.count_event(event.number)
    _LOGGER.log(
        logbook.lookup_level(event.level.value),
        '{}',
        _ENCODER.encode(
            {
                'time': round(time.time(), MILLISECONDS),
                'event': event.number,
                'name': event.name.lower(),
                **fields,
            },
        ).decode(),
    )


class LossyStream:
    """Writes to a file descriptor and drops lines instead of waiting.

    What the reader does not take in time is kept up to a bound; lines
    beyond it are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        """Let writes to the descriptor return at once."""
        self.descriptor = descriptor
        self.pending = b''
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text, or drop it while too much is pending."""
        if len(self.pending) > PENDING_LOG_BYTES:
            METRICS.add('log_lines_dropped_total')
        else:
            self.pending += text.encode()
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what is pending, as far as the reader takes it."""
        if not self.pending:
            return
        try:
            written = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        self.pending = self.pending[written:]


def start_logging(
    level: str = 'INFO',
    output: TextIO | LossyStream | None = None,
) -> None:
    """Send log lines of at least this level to an output.

    :param level: name of the least severe level written
    :param output: where lines go, standard error if none is given
    """
    stream = logbook.StreamHandler(
        output or sys.stderr,
        level=level,
        format_string='{record.message}',
    )
    stream.push_application()
