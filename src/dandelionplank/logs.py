"""Structured log lines: one JSON object a line, with the event's number."""

import sys
import time
from typing import Any

import logbook
import msgspec

from dandelionplank.events import Event
from dandelionplank.metrics import METRICS

_ENCODER = msgspec.json.Encoder()
_LOGGER = logbook.Logger('dandelionplank')
MILLISECONDS = 3


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


def start_logging(level: str = 'INFO') -> None:
    """Send log lines of at least this level to standard error.

    :param level: name of the least severe level written
    """
    stream = logbook.StreamHandler(
        sys.stderr,
        level=level,
        format_string='{record.message}',
    )
    stream.push_application()
