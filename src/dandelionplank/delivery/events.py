"""Frames of a stream of events, cut from bytes in pieces of any size."""

import dataclasses

BLANK_LINES = (b'\n\n', b'\r\n\r\n')
ID_FIELD = b'id:'


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event with its blank line.

    :param event_id: none if the event states no whole number
    """

    raw: bytes
    event_id: int | None


class EventFramer:
    """Cuts bytes into whole events and keeps the rest."""

    def __init__(self) -> None:
        """Start before the first byte."""
        self.remainder = b''

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events that are whole now."""
        pending = self.remainder + chunk
        events: list[StreamEvent] = []
        while True:
            end = _end_of_event(pending)
            if not end:
                self.remainder = pending
                return events
            events.append(_read_event(pending[:end]))
            pending = pending[end:]


def _end_of_event(pending: bytes) -> int:
    """Return where the first event ends, zero if it is not whole."""
    ends = []
    for blank in BLANK_LINES:
        position = pending.find(blank)
        if position >= 0:
            ends.append(position + len(blank))
    return min(ends, default=0)


def _read_event(raw: bytes) -> StreamEvent:
    """Return an event with the id that it states."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            stated = line[len(ID_FIELD) :].strip()
            return StreamEvent(raw, int(stated) if stated.isdigit() else None)
    return StreamEvent(raw, None)
