"""Splits a server-sent event stream into complete events."""

import dataclasses

BLANK_LINES = (b'\n\n', b'\r\n\r\n')
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
        self.remainder = b''

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are complete now."""
        pending = self.remainder + chunk
        events: list[StreamEvent] = []
        while True:
            end = _end_of_event(pending)
            if not end:
                self.remainder = pending
                return events
            events.append(_parse_event(pending[:end]))
            pending = pending[end:]


def _end_of_event(pending: bytes) -> int:
    """Return the end of the first event, zero if it is incomplete."""
    ends = []
    for blank in BLANK_LINES:
        position = pending.find(blank)
        if position >= 0:
            ends.append(position + len(blank))
    return min(ends, default=0)


def _parse_event(raw: bytes) -> StreamEvent:
    """Return an event with its id."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            stated = line[len(ID_FIELD) :].strip()
            return StreamEvent(raw, int(stated) if stated.isdigit() else None)
    return StreamEvent(raw, None)
