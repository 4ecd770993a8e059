"""Owner of pools: assigns their targets to the tickets of all entries."""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Any

from dandelionplank.delivery.dispatch import Dispatcher
from dandelionplank.errors import RefusalError
from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet.localhealth import LONGEST_DELAY_S
from dandelionplank.fleet.tickets import (
    OpenGrant,
    OpenGrants,
    Ticket,
    TicketEvent,
    TicketEvents,
    TicketGrant,
    TicketQueued,
    TicketRejection,
    TicketReply,
)
from dandelionplank.routing.load import DispatchedRequest
from dandelionplank.routing.scheduler import Grant, Scheduler
from dandelionplank.routing.work import PromptPart, TokenWork

# A ticket that is not granted by then is confirmed as queued.
QUEUED_REPLY_S = 0.005
# A queued ticket that its entry has not repeated for this long is dropped.
WAITING_MAX_AGE_S = 0.5
# A grant that its entry has not listed for this long no longer counts.
GRANT_MAX_AGE_S = 3.0
# A grant may be missing from a list that was sent before it arrived.
LISTING_GRACE_S = 0.5
EXPIRY_PERIOD_S = 0.25

TicketKey = tuple[str, int]
ReplySender = Callable[[str, TicketReply], None]


@dataclasses.dataclass(slots=True, eq=False)
class OwnedTicket:
    """A ticket that waits at this owner or was granted by it.

    :param seen_s: monotonic time at which its entry last mentioned it
    """

    sender: str
    number: int
    seen_s: float
    owner: str
    task: 'asyncio.Task[None] | None' = None
    grant: Grant | None = None

    @property
    def reply(self) -> TicketReply:
        """Return the state of the ticket for its entry."""
        if self.grant is None:
            return TicketQueued(self.number)
        return TicketGrant(
            self.owner,
            self.number,
            self.grant.load.target.name,
            self.grant.sent.uncached_tokens,
            self.grant.expected_s,
        )


class PoolOwner:
    """Serves the tickets of entries from the pools that this instance owns.

    Every instance has one: which pools it owns is decided by the entries,
    which send their tickets to the instance that they hold for the owner.
    """

    def __init__(
        self, name: str, dispatcher: Dispatcher, send: ReplySender
    ) -> None:
        """Hold the dispatcher of this instance.

        :param name: this instance
        :param send: sends a reply to an entry
        """
        self.name = name
        self.dispatcher = dispatcher
        self.send = send
        self.tickets: dict[TicketKey, OwnedTicket] = {}

    @property
    def scheduler(self) -> Scheduler:
        """Return the scheduler, which also serves this instance's callers."""
        return self.dispatcher.scheduler

    @property
    def receivers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handlers of the messages for an owner."""
        return {
            Ticket: self.receive_ticket,
            TicketEvents: self.receive_events,
            OpenGrants: self.receive_open_grants,
        }

    def receive_ticket(self, ticket: Ticket) -> None:
        """Queue a new ticket, or repeat the reply to a known one."""
        now_s = time.monotonic()
        key = (ticket.sender, ticket.number)
        known = self.tickets.get(key)
        if known:
            known.seen_s = now_s
            self.send(ticket.sender, known.reply)
            return
        waiting = _to_waiting_request(ticket, now_s)
        if ticket.is_overflow and not self.scheduler.may_start(waiting, now_s):
            self.send(
                ticket.sender,
                TicketRejection(ticket.number, 'pool has no idle target', 0),
            )
            return
        owned = OwnedTicket(ticket.sender, ticket.number, now_s, self.name)
        self.tickets[key] = owned
        owned.task = asyncio.ensure_future(self._serve(owned, waiting))
        asyncio.get_running_loop().call_later(
            QUEUED_REPLY_S, self._confirm_queued, owned
        )

    def receive_events(self, message: TicketEvents) -> None:
        """Apply what happened to tickets at their entry."""
        for number, event in message.events:
            owned = self.tickets.get((message.sender, number))
            if owned is None:
                continue
            owned.seen_s = time.monotonic()
            if event is TicketEvent.ENDED:
                self._end(owned)
            elif owned.grant:
                self._apply(event, owned.grant)

    def receive_open_grants(self, message: OpenGrants) -> None:
        """Compare the grants of an entry with those known here.

        Grants that are missing here are added: this instance may have become
        the owner of their pool. Those that the entry no longer lists ended
        without a message.
        """
        now_s = time.monotonic()
        listed = {grant.number for grant in message.grants}
        for grant in message.grants:
            owned = self.tickets.get((message.sender, grant.number))
            if owned is None:
                owned = self._adopt(message.sender, grant, now_s)
            if owned:
                owned.seen_s = now_s
        for owned in self._granted_to(message.sender):
            is_old = now_s - owned.seen_s > LISTING_GRACE_S
            if owned.number not in listed and is_old:
                self._end(owned)

    async def run_expiry(self) -> None:
        """Drop the tickets of silent entries until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            self.expire(time.monotonic())

    def expire(self, now_s: float) -> None:
        """Drop the tickets that their entries have not mentioned lately.

        This only ends their count here; a request in progress goes on.
        """
        for owned in tuple(self.tickets.values()):
            limit_s = GRANT_MAX_AGE_S if owned.grant else WAITING_MAX_AGE_S
            if now_s - owned.seen_s > limit_s:
                self._end(owned)

    async def _serve(self, owned: OwnedTicket, waiting: WaitingRequest) -> None:
        """Wait for a target and send it to the entry."""
        try:
            owned.grant = await self.dispatcher.acquire(waiting)
        except RefusalError as error:
            self.tickets.pop((owned.sender, owned.number), None)
            self.send(
                owned.sender,
                TicketRejection(
                    owned.number, error.reason, error.retry_after_s
                ),
            )
            return
        owned.seen_s = time.monotonic()
        self.send(owned.sender, owned.reply)

    def _confirm_queued(self, owned: OwnedTicket) -> None:
        """Confirm to an entry that its ticket waits."""
        is_open = (owned.sender, owned.number) in self.tickets
        if is_open and owned.grant is None:
            self.send(owned.sender, owned.reply)

    def _apply(self, event: TicketEvent, grant: Grant) -> None:
        """Apply an event of a granted ticket."""
        if event is TicketEvent.PREFILLED:
            self.dispatcher.record_first_event(grant)
        elif event is TicketEvent.UNREACHABLE:
            self.dispatcher.record_unreachable(grant)
        elif event in {TicketEvent.FULL, TicketEvent.MISDIRECTED}:
            self.dispatcher.record_not_executed(
                grant, is_misdirected=event is TicketEvent.MISDIRECTED
            )
        else:
            self.dispatcher.record_outcome(
                grant, is_success=event is TicketEvent.SUCCEEDED
            )

    def _end(self, owned: OwnedTicket) -> None:
        """Release the target of a ticket, or stop its wait."""
        self.tickets.pop((owned.sender, owned.number), None)
        if owned.grant:
            self.dispatcher.release(owned.grant)
        elif owned.task:
            owned.task.cancel()

    def _granted_to(self, sender: str) -> list[OwnedTicket]:
        """Return the granted tickets of an entry."""
        return [
            owned
            for owned in self.tickets.values()
            if owned.grant and owned.sender == sender
        ]

    def _adopt(
        self, sender: str, listed: OpenGrant, now_s: float
    ) -> OwnedTicket | None:
        """Count a grant that another owner made."""
        load = self.scheduler.loads.get(listed.target)
        if load is None:
            return None
        sent = DispatchedRequest(
            listed.uncached_tokens, 0, now_s, listed.is_prefilled
        )
        load.adopt(sent)
        waiting = WaitingRequest(
            '', '', 0, listed.queue, None, now_s, now_s, cost=0
        )
        owned = OwnedTicket(sender, listed.number, now_s, self.name)
        owned.grant = Grant(waiting, load, sent, 0)
        self.tickets[(sender, listed.number)] = owned
        return owned


def _to_waiting_request(ticket: Ticket, now_s: float) -> WaitingRequest:
    """Return a ticket as the scheduler queues it."""
    work = None if ticket.is_plain else _to_work(ticket)
    return WaitingRequest(
        ticket.request_id,
        ticket.account,
        ticket.objective_left_s,
        ticket.queue,
        work,
        now_s,
        now_s + ticket.deadline_left_s,
        cost=ticket.cost,
        avoided=ticket.avoided,
        is_ticket=True,
        accepts_reread=ticket.is_overflow,
        versions=ticket.versions,
        delay_s=min(max(0.0, ticket.delay_s), LONGEST_DELAY_S),
    )


def _to_work(ticket: Ticket) -> TokenWork:
    """Return the prompt of a ticket."""
    return TokenWork(
        ticket.model,
        ticket.prompt_tokens,
        ticket.output_tokens,
        tuple(PromptPart(part_id, tokens) for part_id, tokens in ticket.parts),
    )
