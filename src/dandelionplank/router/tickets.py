"""Tickets of this entry's callers: waiting for a grant or running."""

import asyncio
import time
from collections.abc import Sequence

from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.messages import (
    AccountCounter,
    Cancel,
    Done,
    Enqueue,
    Grant,
    Message,
    Pause,
    Probe,
    Progress,
    Refuse,
    Sync,
    SyncRequest,
    Ticket,
    TicketsMoved,
)
from dandelionplank.metrics import METRICS
from dandelionplank.router.decisions import DecisionLog
from dandelionplank.router.links import (
    LinkClosed,
    LinkEvent,
    LinkOpened,
    Links,
)
from dandelionplank.router.membership import MembersChanged, MembershipTask
from dandelionplank.router.poolview import (
    AttemptHandlers,
    PendingTicket,
    PoolView,
    configured_name,
)
from dandelionplank.routing.rendezvous import pick_instance
from dandelionplank.settings import DispatchSettings

CHECK_PERIOD_S = 0.25


class TicketTask:
    """Owns this entry's tickets and reports them to the dispatchers."""

    def __init__(
        self,
        settings: DispatchSettings,
        links: Links,
        membership: MembershipTask,
    ) -> None:
        """Subscribe to dispatchers' messages and to membership changes."""
        self.settings = settings
        self.links = links
        self.membership = membership
        self.pools: dict[str, PoolView] = {}
        self.decisions = DecisionLog()
        links.subscribe(
            (Grant, Pause, Probe, Refuse, SyncRequest, LinkOpened, LinkClosed),
            self.receive,
        )
        membership.listeners.append(self.on_members)

    async def acquire(
        self,
        ticket: Ticket,
        pools: Sequence[str],
        timeout_s: float,
    ) -> Grant:
        """Queue a ticket and wait for a target.

        The ticket is queued in the first pool. While it waits, the number of
        pools in which it is queued doubles each period; the first grant wins.

        :param ticket: the request
        :param pools: pools in which it may run, the preferred one first
        :param timeout_s: longest wait
        :raises RefusalError: the queue is full or the wait has timed out
        """
        grant_future = asyncio.get_running_loop().create_future()
        granting_pool = ''
        try:
            async with asyncio.timeout(timeout_s):
                grant = await self._wait_in(ticket, pools, grant_future)
            granting_pool = configured_name(grant.pool)
        except TimeoutError as error:
            raise RefusalError(
                step='queue',
                peer=pools[0],
                request_id=ticket.id,
                code=ErrorCode.QUEUE_TIMEOUT,
                retry_after_s=1,
            ) from error
        finally:
            for pool in pools:
                if pool != granting_pool:
                    self.abandon(ticket, pool)
        return grant

    def progress(self, ticket: Ticket, pool: str, cost: float) -> None:
        """Report that the cost of a running attempt exceeds its charge."""
        view = self.pools[pool]
        pending = view.pending.get(ticket.id)
        if pending is None:
            return
        pending.cost = cost
        self._send(view, Progress(view.remote_name, ticket.id, cost))

    def finish(
        self,
        ticket: Ticket,
        pool: str,
        cost: float,
        *,
        failed: bool = False,
    ) -> None:
        """Report that an attempt has ended, which frees its slot."""
        view = self.pools[pool]
        pending = view.pending.pop(ticket.id, None)
        if pending is None or pending.grant is None:
            return
        target = pending.grant.target
        done = Done(view.remote_name, ticket.id, target, cost, failed)
        self._send(view, done)

    def abandon(self, ticket: Ticket, pool: str) -> None:
        """Cancel a ticket that was not executed."""
        view = self.pools.get(pool)
        pending = view.pending.pop(ticket.id, None) if view else None
        if view and pending:
            self._send(view, Cancel(view.remote_name, ticket.id))

    def set_handlers(
        self,
        ticket: Ticket,
        pool: str,
        handlers: AttemptHandlers,
    ) -> None:
        """Set the handlers of the dispatcher's commands to an attempt."""
        pending = self.pools[pool].pending.get(ticket.id)
        if pending:
            pending.handlers = handlers

    def pool_view(self, pool: str) -> PoolView:
        """Return this entry's view of a pool, creating it if needed."""
        view = self.pools.get(pool)
        if view is None:
            view = PoolView(pool, self.dispatcher_of(pool))
            self.pools[pool] = view
        return view

    def dispatcher_of(self, pool: str) -> str:
        """Return the instance that dispatches a pool."""
        if self.settings.policy != 'fair':
            return self.links.own_id
        return pick_instance(f'pool/{pool}', self.membership.present)

    def receive(self, sender: str, message: LinkEvent) -> None:
        """Handle a message from a dispatcher or a link event."""
        match message:
            case Grant():
                self._on_grant(sender, message)
            case Pause() | Probe():
                self._on_command(message)
            case Refuse():
                self._on_refuse(message)
            case SyncRequest():
                self._on_sync_request(sender, message)
            case LinkOpened():
                self._on_link_opened(sender)
            case LinkClosed():
                self.membership.probe_now(sender)

    def on_members(self, _: MembersChanged) -> None:
        """Move tickets to the instances that dispatch their pools now."""
        for view in self.pools.values():
            dispatcher = self.dispatcher_of(view.name)
            is_same = dispatcher == view.dispatcher
            if not is_same and not view.is_fallback:
                self._move(view, dispatcher)

    def reassign_tickets(self) -> None:
        """Move tickets after this instance's own status has changed."""
        self.on_members(MembersChanged(()))

    async def run(self) -> None:
        """Check the reachability of dispatchers and resynchronize them."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            now_s = time.monotonic()
            for view in self.pools.values():
                self._check_reachability(view, now_s)
                if now_s - view.synced_at_s > self.settings.resync_period_s:
                    self.sync(view)

    def sync(
        self,
        view: PoolView,
        counters: tuple[AccountCounter, ...] = (),
    ) -> None:
        """Report all outstanding tickets of a pool to its dispatcher.

        :param counters: sent only to a dispatcher that is new to the pool,
            since a merge would undo charges that it has refunded meanwhile
        """
        view.synced_at_s = time.monotonic()
        self._send(
            view,
            Sync(view.remote_name, view.waiting(), view.running(), counters),
        )

    async def _wait_in(
        self,
        ticket: Ticket,
        pools: Sequence[str],
        grant_future: asyncio.Future[Grant],
    ) -> Grant:
        """Queue a ticket in a growing number of pools until it is granted."""
        self._enqueue(ticket, pools[0], grant_future)
        queued = 1
        while queued < len(pools):
            period_s = self.settings.further_pool_after_s
            done, _waiting = await asyncio.wait(
                {grant_future}, timeout=period_s
            )
            if done:
                break
            for pool in pools[queued : 2 * queued]:
                self._enqueue(ticket, pool, grant_future)
                METRICS.add('further_pools_total')
            queued *= 2
        return await grant_future

    def _enqueue(
        self,
        ticket: Ticket,
        pool: str,
        grant_future: asyncio.Future[Grant],
    ) -> None:
        """Queue a ticket in one pool."""
        view = self.pool_view(pool)
        pending = PendingTicket(ticket, pool, time.monotonic(), grant_future)
        view.pending[ticket.id] = pending
        self._send(view, Enqueue(view.remote_name, ticket))

    def _on_grant(self, sender: str, grant: Grant) -> None:
        """Start a granted ticket or decline the grant."""
        view = self.pool_view(configured_name(grant.pool))
        pending = view.pending.get(grant.ticket_id)
        if pending is None:
            self._decline(sender, grant)
            return
        if pending.grant is not None:
            is_same_target = pending.grant.target == grant.target
            if not (is_same_target and pending.granted_by == sender):
                self._decline(sender, grant)
            return
        view.counters[pending.ticket.account] = grant.virtual
        if pending.grant_future.done():
            view.pending.pop(grant.ticket_id)
            self._decline(sender, grant)
            return
        pending.grant = grant
        pending.granted_by = sender
        pending.grant_future.set_result(grant)
        self.decisions.record(pending, sender, grant)

    def _decline(self, sender: str, grant: Grant) -> None:
        """Return a grant that is not needed, at no cost."""
        self.links.send(
            sender,
            Done(grant.pool, grant.ticket_id, grant.target, 0),
        )

    def _on_command(self, message: Pause | Probe) -> None:
        """Pass a dispatcher's pause or probe command to a running attempt."""
        view = self.pool_view(configured_name(message.pool))
        pending = view.pending.get(message.ticket_id)
        if pending is None or pending.handlers is None:
            return
        if isinstance(message, Probe):
            pending.handlers.probe(message.target)
        else:
            pending.handlers.pause()

    def _on_refuse(self, refusal: Refuse) -> None:
        """Fail a refused ticket unless another pool still queues it."""
        pool = configured_name(refusal.pool)
        pending = self.pool_view(pool).pending.pop(refusal.ticket_id, None)
        if pending is None or pending.grant_future.done():
            return
        if any(
            refusal.ticket_id in each.pending for each in self.pools.values()
        ):
            return
        pending.grant_future.set_exception(
            RefusalError(
                step='queue',
                peer=pool,
                request_id=refusal.ticket_id,
                code=ErrorCode[refusal.code],
                retry_after_s=refusal.retry_after_s,
            ),
        )

    def _on_sync_request(self, sender: str, request: SyncRequest) -> None:
        """Send this entry's state to an instance that now dispatches a pool."""
        view = self.pools.get(request.pool)
        if view is None:
            self.links.send(sender, Sync(request.pool, (), (), ()))
        elif view.dispatcher == sender and not view.is_fallback:
            self.sync(view, view.known_counters())
        else:
            counters = view.known_counters()
            self.links.send(sender, Sync(request.pool, (), (), counters))

    def _on_link_opened(self, peer: str) -> None:
        """Report to a dispatcher whose link has just been opened."""
        for view in self.pools.values():
            if view.is_fallback and self.dispatcher_of(view.name) == peer:
                self._leave_fallback(view, peer)
            elif view.dispatcher == peer:
                view.unreachable_since_s = 0
                self.sync(view)

    def _check_reachability(self, view: PoolView, now_s: float) -> None:
        """Grant locally while a pool's dispatcher cannot be reached.

        Membership may still list it as alive, because other
        instances can reach it.
        """
        if view.is_fallback:
            dispatcher = self.dispatcher_of(view.name)
            if dispatcher == self.links.own_id:
                self._leave_fallback(view, dispatcher)
            else:
                self.links.send(dispatcher, TicketsMoved(view.name))
        elif self.links.is_open(view.dispatcher) or not view.waiting():
            view.unreachable_since_s = 0
        elif not view.unreachable_since_s:
            view.unreachable_since_s = now_s
        elif now_s - view.unreachable_since_s > self.settings.fallback_after_s:
            self._enter_fallback(view)

    def _enter_fallback(self, view: PoolView) -> None:
        """Start to grant a few slots locally."""
        log_event(Event.FALLBACK, pool=view.name, dispatcher=view.dispatcher)
        view.is_fallback = True
        view.dispatcher = self.links.own_id
        self.sync(view, view.known_counters())

    def _leave_fallback(self, view: PoolView, dispatcher: str) -> None:
        """Stop granting locally and move tickets back to the dispatcher."""
        self._send(view, TicketsMoved(view.remote_name))
        view.is_fallback = False
        view.unreachable_since_s = 0
        view.dispatcher = dispatcher
        self.sync(view, view.known_counters())

    def _move(self, view: PoolView, dispatcher: str) -> None:
        """Report a pool's tickets to another dispatcher."""
        if view.dispatcher in self.membership.present:
            self._send(view, TicketsMoved(view.remote_name))
        view.dispatcher = dispatcher
        self.sync(view, view.known_counters())

    def _send(self, view: PoolView, message: Message) -> None:
        """Send a message to a pool's dispatcher."""
        self.links.send(view.dispatcher, message)
