"""Log of routing decisions; recent ones are stored for operators."""

import time
from collections import deque
from typing import NamedTuple

from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.messages import Grant
from dandelionplank.router.poolview import MS_PER_SECOND, PendingTicket

MAX_DECISIONS = 5000


class RoutingDecision(NamedTuple):
    """Holds where a ticket was sent and why."""

    ticket_id: str
    pool: str
    target: str
    dispatcher: str
    why: str
    waited_ms: int


class DecisionLog:
    """Holds the latest routing decisions on this entry's tickets."""

    def __init__(self) -> None:
        """Hold the latest ``MAX_DECISIONS`` decisions."""
        self.decisions: deque[RoutingDecision] = deque(maxlen=MAX_DECISIONS)

    def record(
        self, pending: PendingTicket, dispatcher: str, grant: Grant
    ) -> None:
        """Store and log where a ticket was sent and why."""
        waited_s = time.monotonic() - pending.enqueued_at_s
        waited_ms = round(waited_s * MS_PER_SECOND)
        self.decisions.append(
            RoutingDecision(
                grant.ticket_id,
                grant.pool,
                grant.target,
                dispatcher,
                grant.reason,
                waited_ms,
            ),
        )
        log_event(
            Event.ROUTED,
            request=grant.ticket_id,
            account=pending.ticket.account,
            pool=grant.pool,
            target=grant.target,
            dispatcher=dispatcher,
            why=grant.reason,
            waited_ms=waited_ms,
        )

    def for_request(self, request_id: str) -> tuple[RoutingDecision, ...]:
        """Return the stored decisions on a request."""
        return tuple(
            decision
            for decision in self.decisions
            if decision.ticket_id.rpartition('.')[0] == request_id
        )
