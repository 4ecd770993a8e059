"""Entry's side of the pools: obtains targets from the owners of pools.

An owner that does not answer in the time that its replies usually take is
skipped: the next owner is asked, and then this instance decides alone.
"""

import asyncio
import dataclasses
import itertools
import math
import random
import time
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from dandelionplank.delivery.dispatch import Dispatcher
from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.fairness.precedence import BEHIND_RANK
from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet.avoidedtargets import AvoidedTargets
from dandelionplank.fleet.localhealth import LocalHealth
from dandelionplank.fleet.ownerreplies import OwnerReplies
from dandelionplank.fleet.owners import OwnerDirectory
from dandelionplank.fleet.replytimes import ReplyTimes
from dandelionplank.fleet.ticketevents import (
    MessageSender,
    TicketEventSender,
)
from dandelionplank.fleet.tickets import (
    OpenGrant,
    OpenGrants,
    Ticket,
    TicketEvent,
    TicketGrant,
    TicketQueued,
    TicketRejection,
    TicketReply,
)
from dandelionplank.ingress.overload import OVERLOADED_RETRY_S
from dandelionplank.metrics import METRICS
from dandelionplank.routing.admission import may_retry_in_time
from dandelionplank.routing.load import (
    DispatchedRequest,
    opens_in_s,
)
from dandelionplank.routing.pools import TargetPools
from dandelionplank.routing.scheduler import Grant
from dandelionplank.routing.work import TokenWork

STEP = 'pool'
# How often a ticket is sent before its owner counts as silent.
SENDS_PER_OWNER = 2
# Period at which the owner of a queued ticket is asked whether it still waits.
QUEUED_CHECK_S = 0.1
# Pools besides its own in which a request of an account that is behind may
# wait, one after the other.
POOLS_IF_BEHIND = 3
# Period at which open grants are listed to their owners.
LISTING_PERIOD_S = 0.5
RANDOM_NUMBER_BITS = 48
# In the ticket of a request that has no prompt.
NO_WORK = TokenWork('', 0, 0, ())


@dataclasses.dataclass(slots=True, eq=False)
class RemoteGrant:
    """A grant of another instance.

    :param owner: instance that made it
    """

    owner: str
    number: int
    queue: str
    sent: DispatchedRequest
    target: str

    @property
    def listing(self) -> OpenGrant:
        """Return the entry of this grant in a list of open grants."""
        return OpenGrant(
            self.number,
            self.queue,
            self.target,
            self.sent.uncached_tokens,
            self.sent.is_prefilled,
        )


class PoolClient:
    """Obtains targets: from owners for prompts, alone for other work."""

    def __init__(
        self,
        name: str,
        dispatcher: Dispatcher,
        pools: TargetPools,
        owners: OwnerDirectory,
        send: MessageSender,
    ) -> None:
        """Hold the parts of the decision.

        :param name: this instance
        :param dispatcher: decides for this instance, and for its own pools
        :param send: sends a message to another instance
        """
        self.name = name
        self.dispatcher = dispatcher
        self.pools = pools
        self.owners = owners
        self.send = send
        # A random start, so that no reply to an earlier process matches.
        self.numbers = itertools.count(random.getrandbits(RANDOM_NUMBER_BITS))
        self.replies: dict[int, asyncio.Queue[TicketReply]] = {}
        self.reply_times = ReplyTimes()
        self.health = LocalHealth()
        self.owner_replies = OwnerReplies()
        self.avoided = AvoidedTargets(owners.view.registry)
        self.grants: dict[int, RemoteGrant] = {}
        self.events = TicketEventSender(name, send)

    @property
    def receivers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handlers of the messages for an entry."""
        return {
            TicketGrant: self.receive_reply,
            TicketQueued: self.receive_reply,
            TicketRejection: self.receive_reply,
        }

    async def acquire(self, waiting: WaitingRequest) -> Grant:
        """Wait for a target.

        :raises RefusalError: the request was rejected and not executed
        """
        now_s = time.monotonic()
        queues = self.queues_of(waiting, now_s)
        waiting.delay_s = self.health.delay_at_s(now_s)
        self.avoided.renew(now_s)
        if not queues or (
            self.avoided.closed
            and opens_in_s(
                self.dispatcher.scheduler.loads_of(waiting.service), now_s
            )
            > 0
        ):
            return await self.dispatcher.acquire(waiting)
        waiting.avoided = (*waiting.avoided, *self.avoided.names)
        try:
            return await self._acquire_in_order(queues, waiting)
        except RefusalError:
            pools = self.queues_of(waiting, time.monotonic())
            if not pools or queues[0] in pools:
                raise
            # The pool lost its last targets while the request waited there.
            return await self._acquire_in_order(pools, waiting)

    def service_levels(self) -> Mapping[str, float]:
        """Return the service that accounts received lately, fleet-wide."""
        return self.dispatcher.service_levels()

    def record_first_event(self, grant: Grant) -> None:
        """Record that a target has started to respond."""
        if grant.ticket_number < 0:
            self.dispatcher.record_first_event(grant)
        elif not grant.sent.is_prefilled:
            grant.sent.is_prefilled = True
            self._report(grant, TicketEvent.PREFILLED)
            self.dispatcher.scheduler.cold.record_response(
                grant.load.target, time.monotonic()
            )

    def record_outcome(self, grant: Grant, *, is_success: bool) -> None:
        """Record the outcome of a request in the target's health."""
        self._report(
            grant,
            TicketEvent.SUCCEEDED if is_success else TicketEvent.FAILED,
        )
        self.dispatcher.record_outcome(grant, is_success=is_success)

    def record_unreachable(self, grant: Grant) -> None:
        """Record that a target accepted no connection."""
        self._report(grant, TicketEvent.UNREACHABLE)
        self.dispatcher.record_unreachable(grant)

    def record_not_executed(
        self, grant: Grant, *, is_misdirected: bool
    ) -> None:
        """Pause a target that did not execute a request."""
        self._report(
            grant,
            TicketEvent.MISDIRECTED if is_misdirected else TicketEvent.FULL,
        )
        self.dispatcher.record_not_executed(
            grant, is_misdirected=is_misdirected
        )

    def record_closed(self, grant: Grant) -> None:
        """Record that a target has turned this instance away."""
        self.avoided.record_closed(grant.load)
        self.dispatcher.record_closed(grant)

    def is_excluded(self, grant: Grant) -> bool:
        """Return whether an order forbids requests to a granted target."""
        return self.owners.view.registry.is_excluded(grant.load.target)

    def record_excluded(self, grant: Grant) -> None:
        """Keep the owner, which may not know the order, from granting it."""
        self.avoided.record_excluded(grant.load.target)
        self.record_not_executed(grant, is_misdirected=False)

    def release(self, grant: Grant) -> None:
        """Record that a request has left its target."""
        if grant.ticket_number < 0:
            self.dispatcher.release(grant)
            return
        self._report(grant, TicketEvent.ENDED)
        self.grants.pop(grant.ticket_number, None)

    def receive_reply(self, reply: TicketReply) -> None:
        """Pass a reply on to its request; give an unwanted target back."""
        replies = self.replies.get(reply.number)
        if replies is not None:
            replies.put_nowait(reply)
            return
        now_s = time.monotonic()
        owner = self.reply_times.record_late(reply.number, now_s)
        if owner:
            self.owner_replies.late += 1
            self.health.record_late_reply(owner, now_s)
            self.owners.record_answer(owner)
        if isinstance(reply, TicketGrant) and reply.number not in self.grants:
            self.owner_replies.returned += 1
            self.events.put(reply.owner, reply.number, TicketEvent.ENDED)

    async def run_listing(self) -> None:
        """List the open grants to their owners until cancelled."""
        while True:
            await asyncio.sleep(LISTING_PERIOD_S)
            self.list_grants(time.monotonic())

    def list_grants(self, now_s: float) -> None:
        """Send the open grants to the owners of their pools."""
        by_owner: dict[str, list[OpenGrant]] = defaultdict(list)
        for grant in self.grants.values():
            owners = {
                grant.owner,
                *self.owners.owners_of(grant.queue, now_s)[:1],
            }
            for owner in owners - {self.name}:
                by_owner[owner].append(grant.listing)
        for owner, grants in by_owner.items():
            self.send(owner, OpenGrants(self.name, tuple(grants)))

    def queues_of(self, waiting: WaitingRequest, now_s: float) -> list[str]:
        """Return the queues whose owners assign a target to a request.

        A request rate that all instances share needs one instance that uses
        it, whatever the size of the fleet.

        :return: in order of preference, none if this instance decides
        """
        scheduler = self.dispatcher.scheduler
        service = waiting.service
        needs_owner = scheduler.cold.needs_owner(service, now_s)
        # Each cold target is assigned in one queue only, whether a request
        # states a prompt or not: an engine by the owner of its pool.
        is_model = scheduler.engine_memory.get(service) is not None
        if self.owners.is_pooled and (is_model or not needs_owner):
            if waiting.work is not None:
                return self.pools.rank(service, waiting.work, waiting.versions)
            if needs_owner:
                return self.pools.pools_of(service).rank(waiting.request_id)
        if needs_owner or scheduler.has_limits(service):
            return [service]
        return []

    async def _acquire_in_order(
        self, queues: Sequence[str], waiting: WaitingRequest
    ) -> Grant:
        """Wait for a target of the preferred pool, or else of another one.

        :raises RefusalError: the request was rejected and not executed
        """
        try:
            return await self._acquire_in(queues[0], waiting)
        except RefusalError as error:
            if error.code is ErrorCode.OVERLOADED:
                raise
            grant = await self._acquire_elsewhere(queues[1:], waiting)
            if grant is None:
                raise
            return grant

    async def _acquire_elsewhere(
        self, queues: Sequence[str], waiting: WaitingRequest
    ) -> Grant | None:
        """Return a target of a pool that is not the preferred one.

        Only an idle target, unless the account is behind: then the request
        waits in the fair order of other pools, because its own may be full or
        have lost its targets while others serve the accounts ahead.
        """
        rank = self.dispatcher.scheduler.rank(waiting.account, time.monotonic())
        is_behind = rank < BEHIND_RANK
        chosen = _spread(queues, rank) if is_behind else queues[:1]
        for queue in chosen:
            try:
                return await self._acquire_in(
                    queue, waiting, is_overflow=not is_behind
                )
            except RefusalError as error:
                if error.code is ErrorCode.OVERLOADED:
                    return None
        return None

    async def _acquire_in(
        self,
        queue: str,
        waiting: WaitingRequest,
        *,
        is_overflow: bool = False,
    ) -> Grant:
        """Wait for a target of one pool.

        :raises RefusalError: the owner rejected the request
        """
        for owner in self.owners.owners_of(queue, time.monotonic()):
            if owner == self.name:
                return await self._acquire_here(
                    queue, waiting, is_overflow=is_overflow
                )
            grant = await self._ask(
                owner, queue, waiting, is_overflow=is_overflow
            )
            if grant:
                return grant
        if is_overflow:
            raise _refusal(waiting, 'pool has no owner', 0)
        self.owner_replies.alone += 1
        METRICS.add('pool_decisions_alone_total')
        try:
            return await self.dispatcher.acquire(waiting)
        except RefusalError as error:
            error.reason = f'no owner replied; {error.reason}'
            raise

    async def _acquire_here(
        self, queue: str, waiting: WaitingRequest, *, is_overflow: bool
    ) -> Grant:
        """Wait for a target of a pool that this instance owns."""
        own = dataclasses.replace(
            waiting, service=queue, accepts_reread=is_overflow
        )
        scheduler = self.dispatcher.scheduler
        if is_overflow and not scheduler.may_start(own, time.monotonic()):
            raise _refusal(waiting, 'pool has no idle target', 0)
        return await self.dispatcher.acquire(own)

    async def _ask(
        self,
        owner: str,
        queue: str,
        waiting: WaitingRequest,
        *,
        is_overflow: bool,
    ) -> Grant | None:
        """Send a ticket to an owner and wait for its decision.

        :return: None if the owner does not answer
        :raises RefusalError: the owner rejected the request
        """
        number = next(self.numbers)
        sent_s = time.monotonic()
        replies: asyncio.Queue[TicketReply] = asyncio.Queue()
        self.replies[number] = replies
        is_settled = False
        self.owner_replies.asked += 1
        try:
            while True:
                reply = await self._next_reply(
                    owner,
                    _ticket(self.name, number, queue, waiting, is_overflow),
                    replies,
                )
                if isinstance(reply, TicketRejection):
                    is_settled = True
                    raise _refusal(waiting, reply.reason, reply.retry_after_s)
                if isinstance(reply, TicketGrant):
                    is_settled = True
                    return self._accept(owner, queue, waiting, reply)
                if reply is None and self._is_silent(owner, sent_s, waiting):
                    return None
        finally:
            self.replies.pop(number)
            if not is_settled:
                self.events.put(owner, number, TicketEvent.ENDED)

    def _is_silent(
        self, owner: str, sent_s: float, waiting: WaitingRequest
    ) -> bool:
        """Return whether a missing reply shows that an owner is silent.

        While the loop is late, the owner is asked again as long as a refused
        caller could still be served in time by another instance.

        :param sent_s: monotonic time at which the ticket was first sent
        :raises RefusalError: this is not known in that time
        """
        now_s = time.monotonic()
        is_silent = self.health.is_silence(owner, sent_s, now_s)
        waited_s = now_s - waiting.arrived_s
        if not is_silent and may_retry_in_time(waited_s, waiting.objective_s):
            return False
        self.owner_replies.unanswered[owner] += 1
        if not is_silent:
            raise _late_refusal(waiting)
        self.owners.record_silent(owner, sent_s, now_s)
        return True

    async def _next_reply(
        self,
        owner: str,
        ticket: Ticket,
        replies: 'asyncio.Queue[TicketReply]',
    ) -> TicketReply | None:
        """Return the decision on a ticket; ask again while it is queued.

        :return: None if the owner does not answer
        """
        sent_s = time.monotonic()
        for _ in range(SENDS_PER_OWNER):
            self.send(owner, ticket)
            timeout_s = self.reply_times.timeout_s(
                owner
            ) + self.health.reading_time_s(time.monotonic())
            try:
                async with asyncio.timeout(timeout_s):
                    reply = await replies.get()
            except TimeoutError:
                # Timers precede the reading of sockets in a turn of the loop.
                await asyncio.sleep(0)
                if replies.empty():
                    continue
                reply = replies.get_nowait()
            now_s = time.monotonic()
            self.reply_times.record(owner, now_s - sent_s)
            self.health.record_reply(owner, sent_s, now_s)
            self.owners.record_answer(owner)
            if not isinstance(reply, TicketQueued):
                return reply
            try:
                async with asyncio.timeout(QUEUED_CHECK_S):
                    return await _decision(replies)
            except TimeoutError:
                return reply
        self.reply_times.record_unanswered(owner, ticket.number, sent_s)
        return None

    def _accept(
        self,
        owner: str,
        queue: str,
        waiting: WaitingRequest,
        reply: TicketGrant,
    ) -> Grant:
        """Return the grant of an owner as one of this instance.

        :raises RefusalError: the target is not known here, or draining
        """
        target = self.owners.view.registry.targets.get(reply.target)
        if target is None:
            self.events.put(owner, reply.number, TicketEvent.MISDIRECTED)
            self.events.put(owner, reply.number, TicketEvent.ENDED)
            raise _refusal(waiting, 'granted target was removed', 0)
        sent = DispatchedRequest(reply.uncached_tokens, 0, time.monotonic())
        self.grants[reply.number] = RemoteGrant(
            owner, reply.number, queue, sent, reply.target
        )
        scheduler = self.dispatcher.scheduler
        load = scheduler.load_of(target)
        load.cold = scheduler.cold.state_of(target)
        return Grant(
            waiting,
            load,
            sent,
            reply.expected_s,
            reply.number,
        )

    def _report(self, grant: Grant, event: TicketEvent) -> None:
        """Report an event to the owner of a grant, if it is another one."""
        remote = self.grants.get(grant.ticket_number)
        if remote:
            self.events.put(remote.owner, remote.number, event)


def _ticket(
    sender: str,
    number: int,
    queue: str,
    waiting: WaitingRequest,
    is_overflow: bool,  # noqa: FBT001
) -> Ticket:
    """Return a ticket with the times that are left now."""
    now_s = time.monotonic()
    work = waiting.work or NO_WORK
    return Ticket(
        sender,
        number,
        queue,
        waiting.request_id,
        waiting.account,
        waiting.objective_deadline_s - now_s,
        waiting.deadline_s - now_s,
        waiting.cost,
        work.model,
        work.prompt_tokens,
        work.output_tokens,
        tuple((part.part_id, part.tokens) for part in work.parts),
        waiting.avoided,
        is_overflow,
        waiting.work is None,
        waiting.versions,
        waiting.delay_s,
    )


def _spread(queues: Sequence[str], rank: float) -> list[str]:
    """Choose pools besides its own for a request of an account behind.

    The next one in its order of preference, where its prefix may be cached,
    then others. The further behind the account, the larger the part of the
    pools that these are chosen from, so that an account whose prompts all
    prefer one pool reaches its share of a fleet of any size.

    :param queues: in order of preference
    :param rank: service level of the account relative to the highest one
    """
    part = queues[1 : math.ceil((1 - rank) * len(queues))]
    others = random.sample(part, min(len(part), POOLS_IF_BEHIND - 1))
    return [*queues[:1], *others]


async def _decision(replies: 'asyncio.Queue[TicketReply]') -> TicketReply:
    """Return the next reply that is a decision."""
    while True:
        reply = await replies.get()
        if not isinstance(reply, TicketQueued):
            return reply


def _refusal(
    waiting: WaitingRequest, reason: str, retry_after_s: float
) -> RefusalError:
    """Return the error for a rejected ticket."""
    return RefusalError(
        reason,
        step=STEP,
        peer=waiting.service,
        code=ErrorCode.QUEUE_TIMEOUT,
        request_id=waiting.request_id,
        retry_after_s=retry_after_s,
    )


def _late_refusal(waiting: WaitingRequest) -> RefusalError:
    """Return the error for a ticket whose reply may not be read yet."""
    return RefusalError(
        'replies of other instances are read late',
        step=STEP,
        peer=waiting.service,
        code=ErrorCode.OVERLOADED,
        request_id=waiting.request_id,
        retry_after_s=OVERLOADED_RETRY_S,
    )
