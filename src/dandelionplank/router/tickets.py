"""Tickets of this entry's callers: waiting for a grant or running."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import msgspec

from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.messages import (
    AccountCounter,
    Cancel,
    Done,
    Enqueue,
    Grant,
    Pause,
    Probe,
    Progress,
    Refuse,
    RunningAttempt,
    Sync,
    SyncRequest,
    Ticket,
    Withdraw,
)
from dandelionplank.router.dispatch import FALLBACK_SUFFIX
from dandelionplank.router.links import (
    LinkClosed,
    LinkEvent,
    LinkOpened,
    Links,
)
from dandelionplank.router.membership import MembersChanged, MembershipTask
from dandelionplank.routing.rendezvous import pick_instance
from dandelionplank.settings import DispatchSettings

MILLISECONDS = 1000
UNREACHABLE_S = 1.5
PERIOD_S = 0.25


@dataclasses.dataclass(frozen=True)
class AttemptHandlers:
    """What a running attempt does at its dispatcher's word.

    :param pause: gives the slot to short work
    :param probe: tries the named target with a copy of the call
    """

    pause: Callable[[], None]
    probe: Callable[[str], None]


@dataclasses.dataclass
class Pending:
    """A ticket whose caller waits for a grant or an answer."""

    ticket: Ticket
    pool: str
    since_s: float
    granted: asyncio.Future[Grant]
    grant: Grant | None = None
    granted_by: str = ''
    cost: float = 0
    handlers: AttemptHandlers | None = None


@dataclasses.dataclass
class PoolView:
    """What this entry knows of a pool: its dispatcher and its tickets."""

    dispatcher: str
    pending: dict[str, Pending] = dataclasses.field(default_factory=dict)
    counters: dict[str, float] = dataclasses.field(default_factory=dict)
    synced_at_s: float = 0
    unreachable_since_s: float = 0

    def known_counters(self) -> tuple[AccountCounter, ...]:
        """Return the accounts' virtual counters as last heard."""
        return tuple(
            AccountCounter(account, virtual)
            for account, virtual in self.counters.items()
        )


class TicketTask:
    """Owns this entry's tickets and keeps the dispatchers informed."""

    def __init__(
        self,
        settings: DispatchSettings,
        links: Links,
        membership: MembershipTask,
    ) -> None:
        """Subscribe to grants and to changes of the fleet."""
        self.settings = settings
        self.links = links
        self.membership = membership
        self.pools: dict[str, PoolView] = {}
        links.subscribe(
            (Grant, Pause, Probe, Refuse, SyncRequest, LinkOpened, LinkClosed),
            self.receive,
        )
        membership.listeners.append(self.on_members)

    async def acquire(
        self,
        ticket: Ticket,
        pool: str,
        timeout_s: float,
    ) -> Grant:
        """Wait for a target.

        :param ticket: the request
        :param pool: pool in which it is queued
        :param timeout_s: longest wait
        :raises RefusalError: the queue is full or the wait too long
        """
        view = self.view_of(pool)
        pending = Pending(
            ticket,
            pool,
            time.monotonic(),
            asyncio.get_running_loop().create_future(),
        )
        view.pending[ticket.id] = pending
        self.links.send(
            view.dispatcher,
            Enqueue(self.name_at(view, pool), ticket),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await pending.granted
        except BaseException as error:
            self.abandon(ticket, pool)
            if isinstance(error, TimeoutError):
                raise RefusalError(
                    step='queue',
                    peer=pool,
                    request_id=ticket.id,
                    code=ErrorCode.QUEUE_TIMEOUT,
                    retry_after_s=1,
                ) from error
            raise

    def progress(self, ticket: Ticket, pool: str, cost: float) -> None:
        """Report that a running attempt has outgrown its charge."""
        view = self.pools[pool]
        pending = view.pending.get(ticket.id)
        if pending is None:
            return
        pending.cost = cost
        self.links.send(
            view.dispatcher,
            Progress(self.name_at(view, pool), ticket.id, cost),
        )

    def finish(
        self,
        ticket: Ticket,
        pool: str,
        cost: float,
        *,
        failed: bool = False,
    ) -> None:
        """Report that an attempt has ended and free its slot."""
        view = self.pools[pool]
        pending = view.pending.pop(ticket.id, None)
        if pending is None or pending.grant is None:
            return
        self.links.send(
            view.dispatcher,
            Done(
                self.name_at(view, pool),
                ticket.id,
                pending.grant.target,
                cost,
                failed,
            ),
        )

    def abandon(self, ticket: Ticket, pool: str) -> None:
        """Withdraw a ticket that has not run."""
        view = self.pools[pool]
        pending = view.pending.pop(ticket.id, None)
        if pending:
            self.links.send(
                view.dispatcher,
                Cancel(self.name_at(view, pool), ticket.id),
            )

    def attach(
        self,
        ticket: Ticket,
        pool: str,
        handlers: AttemptHandlers,
    ) -> None:
        """Set what is called for a running ticket at its dispatcher's word."""
        pending = self.pools[pool].pending.get(ticket.id)
        if pending:
            pending.handlers = handlers

    def view_of(self, pool: str) -> PoolView:
        """Return this entry's view of a pool."""
        view = self.pools.get(pool)
        if view is None:
            view = PoolView(self.dispatcher_of(pool))
            self.pools[pool] = view
        return view

    def dispatcher_of(self, pool: str) -> str:
        """Return the instance that dispatches a pool."""
        if self.settings.policy != 'fair':
            return self.links.own
        return pick_instance(f'pool/{pool}', self.membership.present)

    def name_at(self, view: PoolView, pool: str) -> str:
        """Return the pool's name at the dispatcher in use."""
        return f'{pool}{FALLBACK_SUFFIX}' if view.unreachable_since_s else pool

    def receive(self, sender: str, message: LinkEvent) -> None:
        """Handle one message of a dispatcher or a change of a link."""
        match message:
            case Grant():
                self._on_grant(sender, message)
            case Pause() | Probe():
                self._on_order(message)
            case Refuse():
                self._on_refuse(message)
            case SyncRequest():
                self._on_sync_request(sender, message)
            case LinkOpened():
                self._sync_all(sender)
            case LinkClosed():
                self.membership.hint_failure(sender)

    def on_members(self, _: MembersChanged) -> None:
        """Move tickets to the instances that dispatch their pools now."""
        for pool, view in self.pools.items():
            self._move(pool, view, self.dispatcher_of(pool))

    def move_all(self) -> None:
        """Move tickets after this instance's own status has changed."""
        self.on_members(MembersChanged(()))

    async def run(self) -> None:
        """Report the whole state to the dispatchers now and then."""
        while True:
            await asyncio.sleep(PERIOD_S)
            now_s = time.monotonic()
            for pool, view in self.pools.items():
                if now_s - view.synced_at_s > self.settings.resync_period_s:
                    self.sync(pool, view)

    def sync(
        self,
        pool: str,
        view: PoolView,
        counters: tuple[AccountCounter, ...] = (),
    ) -> None:
        """Report all that is outstanding in a pool to its dispatcher.

        :param counters: sent only to a dispatcher that is new to the pool,
            since charges given back later would be undone by a merge
        """
        now_s = time.monotonic()
        view.synced_at_s = now_s
        waiting = tuple(
            _aged(pending, now_s)
            for pending in view.pending.values()
            if pending.grant is None
        )
        running = tuple(
            RunningAttempt(
                pending.ticket,
                pending.grant.target,
                max(pending.cost, pending.grant.charged),
            )
            for pending in view.pending.values()
            if pending.grant is not None
        )
        self.links.send(
            view.dispatcher,
            Sync(self.name_at(view, pool), waiting, running, counters),
        )

    def _on_grant(self, sender: str, grant: Grant) -> None:
        """Start a granted ticket or decline the grant."""
        pool = grant.pool.removesuffix(FALLBACK_SUFFIX)
        view = self.view_of(pool)
        pending = view.pending.get(grant.ticket_id)
        if pending is None or pending.granted.cancelled():
            self._decline(sender, grant)
            return
        if pending.grant is not None:
            same = pending.grant.target == grant.target
            if not (same and pending.granted_by == sender):
                self._decline(sender, grant)
            return
        view.counters[pending.ticket.account] = grant.virtual
        pending.grant = grant
        pending.granted_by = sender
        pending.granted.set_result(grant)
        log_event(
            Event.ROUTED,
            request=grant.ticket_id,
            account=pending.ticket.account,
            pool=grant.pool,
            target=grant.target,
            dispatcher=sender,
            why=grant.reason,
            waited_ms=round(
                (time.monotonic() - pending.since_s) * MILLISECONDS
            ),
        )

    def _decline(self, sender: str, grant: Grant) -> None:
        """Give back a grant that is not needed."""
        self.links.send(
            sender,
            Done(grant.pool, grant.ticket_id, grant.target, 0),
        )

    def _on_refuse(self, refusal: Refuse) -> None:
        """Fail a ticket that the dispatcher does not queue."""
        pool = refusal.pool.removesuffix(FALLBACK_SUFFIX)
        pending = self.view_of(pool).pending.get(refusal.ticket_id)
        if pending is None or pending.granted.done():
            return
        pending.granted.set_exception(
            RefusalError(
                step='queue',
                peer=pool,
                request_id=refusal.ticket_id,
                code=ErrorCode[refusal.code],
                retry_after_s=refusal.retry_after_s,
            ),
        )

    def _on_order(self, message: Pause | Probe) -> None:
        """Pass a dispatcher's word on to a running attempt."""
        pool = message.pool.removesuffix(FALLBACK_SUFFIX)
        pending = self.view_of(pool).pending.get(message.ticket_id)
        if pending is None or pending.handlers is None:
            return
        if isinstance(message, Probe):
            pending.handlers.probe(message.target)
        else:
            pending.handlers.pause()

    def _on_sync_request(self, sender: str, request: SyncRequest) -> None:
        """Answer an instance that begins to dispatch a pool."""
        view = self.pools.get(request.pool)
        if view is None:
            self.links.send(sender, Sync(request.pool, (), (), ()))
        elif view.dispatcher == sender:
            self.sync(request.pool, view, view.known_counters())
        else:
            counters = view.known_counters()
            self.links.send(sender, Sync(request.pool, (), (), counters))

    def _sync_all(self, peer: str) -> None:
        """Report to a dispatcher whose link has just been opened."""
        for pool, view in self.pools.items():
            if view.dispatcher == peer:
                self.sync(pool, view)

    def _move(self, pool: str, view: PoolView, dispatcher: str) -> None:
        """Report a pool's tickets to another dispatcher."""
        if dispatcher == view.dispatcher:
            return
        self._withdraw(pool, view)
        view.dispatcher = dispatcher
        self.sync(pool, view, view.known_counters())

    def _withdraw(self, pool: str, view: PoolView) -> None:
        """Tell the former dispatcher that the tickets have moved."""
        if view.dispatcher in self.membership.present:
            self.links.send(
                view.dispatcher,
                Withdraw(self.name_at(view, pool)),
            )


def _aged(pending: Pending, now_s: float) -> Ticket:
    """Return a waiting ticket with its waiting time up to now."""
    waited_ms = int((now_s - pending.since_s) * MILLISECONDS)
    return msgspec.structs.replace(pending.ticket, waited_ms=waited_ms)
