"""Task that owns a scheduler for each pool that this instance dispatches."""

import asyncio
import dataclasses
import time
import uuid
from collections.abc import Mapping
from types import MappingProxyType

from dandelionplank.configuration.catalogue import Catalogue, Pool
from dandelionplank.events import Event
from dandelionplank.fairness.invariants import find_violations
from dandelionplank.fairness.order import (
    AccountOrder,
    ArrivalOrder,
    FairOrder,
)
from dandelionplank.fairness.recovery import SchedulerRecovery
from dandelionplank.fairness.scheduler import OutgoingMessage, PoolScheduler
from dandelionplank.fairness.totals import RemoteCharges
from dandelionplank.instances import InstanceStatus
from dandelionplank.logs import log_event
from dandelionplank.messages import (
    AccountCounter,
    Cancel,
    Done,
    Enqueue,
    Handover,
    Message,
    PoolTotals,
    Progress,
    RemoteTotals,
    Sync,
    SyncRequest,
    TargetReport,
    TicketsMoved,
)
from dandelionplank.metrics import METRICS
from dandelionplank.router.links import LinkEvent, Links
from dandelionplank.router.membership import MembersChanged, MembershipTask
from dandelionplank.router.poolview import FALLBACK_SUFFIX, configured_name
from dandelionplank.routing.rendezvous import pick_instance, rank_instances
from dandelionplank.settings import DispatchSettings

TICK_S = 0.05
IDLE_TICK_S = 0.25
CHECK_PERIOD_S = 1.0
POOL_MESSAGES = (
    Enqueue,
    Cancel,
    Progress,
    Done,
    TargetReport,
    Sync,
    TicketsMoved,
    Handover,
    RemoteTotals,
)
OPENING_MESSAGES = (Enqueue, Sync, Handover)
ORDERS: Mapping[str, type[AccountOrder]] = MappingProxyType(
    {
        'fair': FairOrder,
        'local_fair': FairOrder,
        'round_robin': ArrivalOrder,
    },
)


@dataclasses.dataclass
class DispatchedPool:
    """Holds a pool's scheduler and the state of its recovery and reports.

    :param awaited_entries: entries whose state has not been received yet
    :param opens_at_s: monotonic time at which it grants even if some entries
        have not reported
    """

    scheduler: PoolScheduler
    recovery: SchedulerRecovery
    awaited_entries: set[str]
    opens_at_s: float
    is_open: bool = False
    adapted_at_s: float = 0
    epoch: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)
    remote_charges: RemoteCharges = dataclasses.field(
        default_factory=RemoteCharges,
    )
    reported: dict[str, float] = dataclasses.field(default_factory=dict)
    aggregator: str = ''

    def updates_for(self, aggregator: str) -> tuple[AccountCounter, ...]:
        """Return the accounts whose charges changed since the last report.

        :param aggregator: name and incarnation of the aggregator; a new one
            receives all accounts
        """
        if aggregator != self.aggregator:
            self.aggregator = aggregator
            self.reported.clear()
        charged = self.scheduler.counters.local_charges
        changed = {
            account: charge
            for account, charge in charged.items()
            if self.reported.get(account) != charge
        }
        self.reported.update(changed)
        return tuple(
            AccountCounter(account, charge)
            for account, charge in changed.items()
        )


class DispatchTask:
    """Owns the schedulers of the pools that this instance dispatches.

    A scheduler is created when the first message for its pool arrives. It
    asks all instances for their state and starts to grant when they have
    responded or the grace period has expired.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        links: Links,
        membership: MembershipTask,
    ) -> None:
        """Subscribe to pool messages and to membership changes."""
        self.settings = settings
        self.links = links
        self.membership = membership
        self.catalogue: Catalogue | None = None
        self.leaving_targets: frozenset[str] = frozenset()
        self.pools: dict[str, DispatchedPool] = {}
        self.inbox: asyncio.Queue[tuple[str, Message]] = asyncio.Queue()
        links.subscribe(POOL_MESSAGES, self.post)
        membership.listeners.append(self.on_members)

    def post(self, sender: str, message: LinkEvent) -> None:
        """Put a message into the inbox."""
        if isinstance(message, Message):
            self.inbox.put_nowait((sender, message))

    def configure(self, catalogue: Catalogue) -> None:
        """Apply a configuration to all schedulers."""
        self.catalogue = catalogue
        for name, dispatched in tuple(self.pools.items()):
            self._configure_pool(name, dispatched.scheduler)

    def update_leaving_targets(self, names: frozenset[str]) -> None:
        """Stop granting to targets that the platform lists as leaving."""
        if names == self.leaving_targets:
            return
        for name in sorted(names - self.leaving_targets):
            log_event(Event.TARGET_DRAINING, target=name, source='list')
        self.leaving_targets = names
        if self.catalogue:
            self.configure(self.catalogue)

    def on_members(self, event: MembersChanged) -> None:
        """Stop awaiting absent instances; drop the tickets of dead ones."""
        for change in event.changes:
            name = change.instance.id
            if change.instance.is_present:
                continue
            for dispatched in self.pools.values():
                dispatched.awaited_entries.discard(name)
                if change.instance.status is InstanceStatus.DEAD:
                    dispatched.recovery.drop_entry(name)

    async def report_totals(self) -> None:
        """Report charges of services that have several pools, periodically."""
        while True:
            await asyncio.sleep(self.settings.totals_period_s)
            if self.catalogue and self.settings.policy == 'fair':
                self._send_totals(self.catalogue)

    async def run(self) -> None:
        """Process messages and run the schedulers."""
        ticked_at_s = 0.0
        while True:
            touched = await self._next_batch()
            now_s = time.monotonic()
            if now_s - ticked_at_s > TICK_S:
                ticked_at_s = now_s
                self._tick(now_s)
                touched = set(self.pools)
            for name in touched:
                self._schedule(name, now_s)

    def hand_over(self) -> None:
        """Send the state of every pool to the instance that takes it over."""
        others = [
            name
            for name in self.membership.present
            if name != self.links.own_id
        ]
        for name, dispatched in self.pools.items():
            ranked = rank_instances(f'pool/{name}', others)
            if ranked:
                self.links.send(ranked[0], dispatched.recovery.handover())

    async def _next_batch(self) -> set[str]:
        """Process all queued messages and return the pools to schedule."""
        touched: set[str] = set()
        try:
            async with asyncio.timeout(self._tick_s()):
                sender, message = await self.inbox.get()
        except TimeoutError:
            return touched
        touched.add(self._process(sender, message))
        while not self.inbox.empty():
            touched.add(self._process(*self.inbox.get_nowait()))
        return touched

    def _tick_s(self) -> float:
        """Return the longest wait for a message, shorter while work is open."""
        is_busy = any(
            len(each.scheduler.backlog)
            or len(each.scheduler.paused)
            or each.scheduler.in_flight.attempts
            for each in self.pools.values()
        )
        return TICK_S if is_busy else IDLE_TICK_S

    def _process(self, sender: str, message: Message) -> str:
        """Apply one message to its scheduler and return the pool's name."""
        now_s = time.monotonic()
        name: str = message.pool  # type: ignore[attr-defined]
        dispatched = self.pools.get(name)
        if dispatched is None:
            if not isinstance(message, OPENING_MESSAGES):
                return name
            dispatched = self._open_pool(name, now_s)
        if dispatched is None:
            return name
        self._apply(dispatched, sender, message, now_s)
        return name

    def _apply(
        self,
        dispatched: DispatchedPool,
        sender: str,
        message: Message,
        now_s: float,
    ) -> None:
        """Apply one message to a scheduler."""
        scheduler = dispatched.scheduler
        recovery = dispatched.recovery
        match message:
            case Enqueue():
                if scheduler.is_full(message.ticket.account):
                    self._schedule(scheduler.pool, now_s)
                self._send_all(scheduler.enqueue(sender, message.ticket, now_s))
            case Cancel():
                scheduler.cancel(message.ticket_id)
            case Progress():
                scheduler.progress(message)
            case Done():
                scheduler.finish(message, now_s)
            case TargetReport():
                scheduler.record_report(message)
            case Sync():
                self._send_all(recovery.sync(sender, message, now_s))
                dispatched.awaited_entries.discard(sender)
                self._cap_debt(dispatched)
            case TicketsMoved():
                recovery.drop_entry(sender)
            case Handover():
                recovery.apply_handover(message)
            case RemoteTotals():
                increases = dispatched.remote_charges.update(message.counters)
                scheduler.counters.charge_remote(increases)

    def _open_pool(self, name: str, now_s: float) -> DispatchedPool | None:
        """Create a scheduler and request the state of the entries."""
        pool = self._find_pool(name)
        if self.catalogue is None or pool is None:
            return None
        contract = self.catalogue.services[pool.service]
        order = ORDERS[self.settings.policy]()
        scheduler = PoolScheduler(name, contract, order)
        self._configure_pool(name, scheduler)
        awaited_entries: set[str] = set()
        if self.settings.policy == 'fair' and FALLBACK_SUFFIX not in name:
            awaited_entries = set(self.membership.present) - {self.links.own_id}
        dispatched = DispatchedPool(
            scheduler,
            SchedulerRecovery(scheduler),
            awaited_entries,
            now_s + self.settings.recovery_grace_s,
        )
        self.pools[name] = dispatched
        log_event(
            Event.POOL_TAKEN,
            pool=name,
            awaited=sorted(awaited_entries),
        )
        for peer in awaited_entries:
            self.links.send(peer, SyncRequest(name))
        return dispatched

    def _find_pool(self, name: str) -> Pool | None:
        """Return the configured pool that a scheduler's name stands for."""
        if self.catalogue is None:
            return None
        return self.catalogue.pools.get(configured_name(name))

    def _configure_pool(self, name: str, scheduler: PoolScheduler) -> None:
        """Set a scheduler's contract, accounts, targets and limits."""
        pool = self._find_pool(name)
        if self.catalogue is None:
            return
        targets = pool.targets if pool else ()
        divisor = self._limit_divisor()
        contract = self.catalogue.services.get(
            pool.service if pool else '',
            scheduler.contract,
        )
        scheduler.configure(
            contract,
            self.catalogue.accounts,
            [
                target
                for target in targets
                if target.name not in self.leaving_targets
            ],
        )
        for slots in scheduler.slots.values():
            configured_limit = slots.target.limit or contract.target_limit
            if name.endswith(FALLBACK_SUFFIX):
                slots.limit = float(self.settings.fallback_limit_per_target)
            elif divisor > 1:
                slots.limit = max(1.0, configured_limit / divisor)

    def _limit_divisor(self) -> int:
        """Return the number of instances that share each target's limit.

        Under policies other than ``fair`` every instance dispatches its own
        tickets and takes an equal share of the limit.
        """
        if self.settings.policy == 'fair':
            return 1
        return max(1, len(self.membership.present))

    def _schedule(self, name: str, now_s: float) -> None:
        """Open a pool that has recovered, and grant what can be granted."""
        dispatched = self.pools.get(name)
        if dispatched is None:
            return
        if not dispatched.is_open:
            if dispatched.awaited_entries and now_s < dispatched.opens_at_s:
                return
            dispatched.is_open = True
            log_event(
                Event.POOL_OPENED,
                pool=name,
                missing=sorted(dispatched.awaited_entries),
            )
        self._send_all(dispatched.scheduler.schedule(now_s))

    def _send_totals(self, catalogue: Catalogue) -> None:
        """Send changed charges to the aggregator of each service."""
        for name, dispatched in self.pools.items():
            pool = self._find_pool(name)
            if (
                pool is None
                or len(catalogue.pools_by_service[pool.service]) < 2
            ):
                continue
            role = f'total/{pool.service}'
            aggregator = pick_instance(role, self.membership.present)
            incarnation = self.membership.table.members[aggregator].incarnation
            message = PoolTotals(
                pool.service,
                name,
                dispatched.epoch,
                dispatched.updates_for(f'{aggregator}/{incarnation}'),
            )
            self.links.send(aggregator, message)

    def _send_all(self, messages: list[OutgoingMessage]) -> None:
        """Send a scheduler's messages to the entries."""
        for outgoing in messages:
            self.links.send(outgoing.instance, outgoing.message)

    def _tick(self, now_s: float) -> None:
        """Adapt limits and check invariants once a report period."""
        for name, dispatched in self.pools.items():
            age_s = now_s - dispatched.adapted_at_s
            if age_s < self.settings.report_period_s:
                continue
            dispatched.adapted_at_s = now_s
            is_fallback = name.endswith(FALLBACK_SUFFIX)
            if self.settings.policy == 'fair' and not is_fallback:
                self._adapt(name, dispatched.scheduler, now_s)
            self._check(name, dispatched, now_s)

    def _adapt(
        self,
        name: str,
        scheduler: PoolScheduler,
        now_s: float,
    ) -> None:
        """Adapt a pool's target limits; log slow and recovered targets."""
        change = scheduler.adapt(now_s)
        for target in change.slowed:
            log_event(Event.TARGET_SLOW, pool=name, target=target)
        for target in change.recovered:
            log_event(Event.TARGET_RECOVERED, pool=name, target=target)
        for target, slots in scheduler.slots.items():
            METRICS.set_gauge('target_limit', slots.limit, target=target)
            METRICS.set_gauge(
                'target_in_flight', slots.in_flight, target=target
            )
        METRICS.set_gauge('pool_waiting', len(scheduler.backlog), pool=name)

    def _check(
        self,
        name: str,
        dispatched: DispatchedPool,
        now_s: float,
    ) -> None:
        """Schedule an open pool and log every violated invariant."""
        if not dispatched.is_open:
            return
        self._send_all(dispatched.scheduler.schedule(now_s))
        for violation in find_violations(dispatched.scheduler, now_s):
            METRICS.add('invariant_violations_total')
            log_event(Event.INVARIANT_BROKEN, pool=name, fault=violation)

    def _cap_debt(self, dispatched: DispatchedPool) -> None:
        """Cap the debts of accounts after counters have been merged."""
        for account in dispatched.recovery.cap_debt():
            log_event(
                Event.DEBT_CAPPED,
                pool=dispatched.scheduler.pool,
                account=account,
            )
