"""Sends the events of an entry's tickets to the owners, batched by turn."""

import asyncio
from collections import defaultdict
from collections.abc import Callable

from dandelionplank.fleet.tickets import (
    TicketEvent,
    TicketEvents,
    TicketMessage,
)

MessageSender = Callable[[str, TicketMessage], None]


class TicketEventSender:
    """Collects the events of a turn of the event loop for each owner."""

    def __init__(self, name: str, send: MessageSender) -> None:
        """Hold no event.

        :param name: this instance
        :param send: sends a message to another instance
        """
        self.name = name
        self.send = send
        self.unsent: dict[str, list[tuple[int, TicketEvent]]] = defaultdict(
            list
        )

    def put(self, owner: str, number: int, event: TicketEvent) -> None:
        """Add an event to the next message to an owner."""
        if not self.unsent:
            asyncio.get_running_loop().call_soon(self._send_turn)
        self.unsent[owner].append((number, event))

    def _send_turn(self) -> None:
        """Send the events of the present turn of the loop."""
        unsent = tuple(self.unsent.items())
        self.unsent.clear()
        for owner, events in unsent:
            self.send(owner, TicketEvents(self.name, tuple(events)))
