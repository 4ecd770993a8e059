"""Routing decisions: logged, and kept for a while to be explained."""

import time
from collections import deque
from typing import NamedTuple

from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.messages import Grant
from dandelionplank.router.poolview import MILLISECONDS, Pending

KEPT_DECISIONS = 5000


class RoutingDecision(NamedTuple):
    """Where a ticket was sent and why."""

    ticket_id: str
    pool: str
    target: str
    dispatcher: str
    why: str
    waited_ms: int


class DecisionLog:
    """The latest routing decisions on this entry's tickets."""

    def __init__(self) -> None:
        """Start empty."""
        self.decisions: deque[RoutingDecision] = deque(maxlen=KEPT_DECISIONS)

    def note(self, pending: Pending, dispatcher: str, grant: Grant) -> None:
        """Keep and log where a ticket was sent and why."""
        waited_s = time.monotonic() - pending.since_s
        waited_ms = round(waited_s * MILLISECONDS)
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

    def on_request(self, request_id: str) -> tuple[RoutingDecision, ...]:
        """Return the latest decisions on a request."""
        return tuple(
            decision
            for decision in self.decisions
            if decision.ticket_id.rpartition('.')[0] == request_id
        )
