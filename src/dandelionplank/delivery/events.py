"""Splits a server-sent event stream into complete events."""

import dataclasses
import re

from dandelionplank.delivery.bounds import MAX_EVENT_BYTES

BLANK_LINE = re.compile(rb'\n\n|\r\n\r\n')
# Bytes of a blank line that may have arrived with the chunk before.
MAX_SPLIT_BYTES = 3
ID_FIELD = b'id:'


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event with its blank line.

    :param event_id: None if the event has no integer id
    """

    raw: bytes
    event_id: int | None


class EventFramer:
    """Splits chunks of any size into events; buffers an incomplete one."""

    def __init__(self) -> None:
        """Hold the bytes of an incomplete event."""
        self.remainder = bytearray()

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are complete now.

        Only the new bytes are searched, and once, so that the time grows
        linearly with the length and the number of the events.

        :raises ValueError: the incomplete event is too long
        """
        searched = max(0, len(self.remainder) - MAX_SPLIT_BYTES)
        self.remainder += chunk
        events: list[StreamEvent] = []
        start = 0
        for blank in BLANK_LINE.finditer(self.remainder, searched):
            end = blank.end()
            events.append(_parse_event(bytes(self.remainder[start:end])))
            start = end
        self.remainder = self.remainder[start:]
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise ValueError(f'event is longer than {MAX_EVENT_BYTES} bytes')
        return events


def _parse_event(raw: bytes) -> StreamEvent:
    """Return an event with its id."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            stated = line[len(ID_FIELD) :].strip()
            return StreamEvent(raw, int(stated) if stated.isdigit() else None)
    return StreamEvent(raw, None)
