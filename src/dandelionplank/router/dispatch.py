"""Task that dispatches pools: it owns a scheduler for each of them."""

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
from dandelionplank.fairness.scheduler import Delivery, PoolScheduler
from dandelionplank.fairness.totals import ForeignCharges
from dandelionplank.instances import InstanceStatus
from dandelionplank.logs import log_event
from dandelionplank.messages import (
    AccountCounter,
    Cancel,
    Done,
    Enqueue,
    ForeignTotals,
    Handover,
    Message,
    PoolTotals,
    Progress,
    Sync,
    SyncRequest,
    TargetReport,
    Withdraw,
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
    Withdraw,
    Handover,
    ForeignTotals,
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
    """A scheduler and whether it may grant already.

    :param awaited: entries whose state has not been heard yet
    :param opens_at_s: time at which it grants in any case
    """

    scheduler: PoolScheduler
    recovery: SchedulerRecovery
    awaited: set[str]
    opens_at_s: float
    is_open: bool = False
    adapted_at_s: float = 0
    epoch: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)
    foreign: ForeignCharges = dataclasses.field(
        default_factory=ForeignCharges,
    )
    reported: dict[str, float] = dataclasses.field(default_factory=dict)
    aggregator: str = ''

    def news_for(self, aggregator: str) -> tuple[AccountCounter, ...]:
        """Return the accounts whose charges changed since the last report.

        :param aggregator: names the aggregator's run; a new one is told all
        """
        if aggregator != self.aggregator:
            self.aggregator = aggregator
            self.reported.clear()
        charged = self.scheduler.counters.charged_here
        changed = {
            account: level
            for account, level in charged.items()
            if self.reported.get(account) != level
        }
        self.reported.update(changed)
        return tuple(
            AccountCounter(account, level) for account, level in changed.items()
        )


class DispatchTask:
    """Owns the schedulers of the pools that this instance dispatches.

    A scheduler comes into being with the first message for its pool. It asks
    all instances for their state and grants when they have answered or the
    grace period is over.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        links: Links,
        membership: MembershipTask,
    ) -> None:
        """Subscribe to the messages of pools."""
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

    def follow_leaving_targets(self, names: frozenset[str]) -> None:
        """Stop giving work to targets that the platform says are leaving."""
        if names == self.leaving_targets:
            return
        for name in sorted(names - self.leaving_targets):
            log_event(Event.TARGET_DRAINING, target=name, source='list')
        self.leaving_targets = names
        if self.catalogue:
            self.configure(self.catalogue)

    def on_members(self, event: MembersChanged) -> None:
        """Drop the tickets of instances that have gone."""
        for change in event.changes:
            name = change.instance.id
            if change.instance.is_present:
                continue
            for dispatched in self.pools.values():
                dispatched.awaited.discard(name)
                if change.instance.status is InstanceStatus.DEAD:
                    dispatched.recovery.drop_entry(name)

    async def run_totals(self) -> None:
        """Report to the aggregators of services that have several pools."""
        while True:
            await asyncio.sleep(self.settings.totals_period_s)
            if self.catalogue and self.settings.policy == 'fair':
                self._report_totals(self.catalogue)

    async def run(self) -> None:
        """Handle messages and let time pass in the schedulers."""
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
        """Pass every pool on to the instance that dispatches it next."""
        others = [
            name for name in self.membership.present if name != self.links.own
        ]
        for name, dispatched in self.pools.items():
            ranked = rank_instances(f'pool/{name}', others)
            if ranked:
                self.links.send(ranked[0], dispatched.recovery.handover())

    async def _next_batch(self) -> set[str]:
        """Handle all waiting messages and return the pools to schedule."""
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
        """Return how long to wait for a message at the most."""
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
                self._deliver(scheduler.enqueue(sender, message.ticket, now_s))
            case Cancel():
                scheduler.cancel(message.ticket_id)
            case Progress():
                scheduler.progress(message)
            case Done():
                scheduler.finish(message, now_s)
            case TargetReport():
                scheduler.observe(message)
            case Sync():
                self._deliver(recovery.sync(sender, message, now_s))
                dispatched.awaited.discard(sender)
                self._cap_debt(dispatched)
            case Withdraw():
                recovery.drop_entry(sender)
            case Handover():
                recovery.take_over(message)
            case ForeignTotals():
                rises = dispatched.foreign.take(message.counters)
                scheduler.counters.absorb(rises)

    def _open_pool(self, name: str, now_s: float) -> DispatchedPool | None:
        """Create a scheduler and ask the entries for their state."""
        pool = self._find_pool(name)
        if self.catalogue is None or pool is None:
            return None
        contract = self.catalogue.services[pool.service]
        order = ORDERS[self.settings.policy]()
        scheduler = PoolScheduler(name, contract, order)
        self._configure_pool(name, scheduler)
        awaited: set[str] = set()
        if self.settings.policy == 'fair' and FALLBACK_SUFFIX not in name:
            awaited = set(self.membership.present) - {self.links.own}
        dispatched = DispatchedPool(
            scheduler,
            SchedulerRecovery(scheduler),
            awaited,
            now_s + self.settings.recovery_grace_s,
        )
        self.pools[name] = dispatched
        log_event(Event.POOL_TAKEN, pool=name, awaited=sorted(awaited))
        for peer in awaited:
            self.links.send(peer, SyncRequest(name))
        return dispatched

    def _find_pool(self, name: str) -> Pool | None:
        """Return the configured pool behind a scheduler's name."""
        if self.catalogue is None:
            return None
        return self.catalogue.pools.get(configured_name(name))

    def _configure_pool(self, name: str, scheduler: PoolScheduler) -> None:
        """Give a scheduler its accounts and its targets."""
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
            usual = slots.target.limit or contract.target_limit
            if name.endswith(FALLBACK_SUFFIX):
                slots.limit = float(self.settings.fallback_limit_per_target)
            elif divisor > 1:
                slots.limit = max(1.0, usual / divisor)

    def _limit_divisor(self) -> int:
        """Return by how much this instance must divide the limits."""
        if self.settings.policy == 'fair':
            return 1
        return max(1, len(self.membership.present))

    def _schedule(self, name: str, now_s: float) -> None:
        """Grant what can be granted in a pool that is open."""
        dispatched = self.pools.get(name)
        if dispatched is None:
            return
        if not dispatched.is_open:
            if dispatched.awaited and now_s < dispatched.opens_at_s:
                return
            dispatched.is_open = True
            log_event(
                Event.POOL_OPENED,
                pool=name,
                missing=sorted(dispatched.awaited),
            )
        self._deliver(dispatched.scheduler.schedule(now_s))

    def _report_totals(self, catalogue: Catalogue) -> None:
        """Send what has changed to the aggregator of each service."""
        for name, dispatched in self.pools.items():
            pool = self._find_pool(name)
            if (
                pool is None
                or len(catalogue.pools_of_service[pool.service]) < 2
            ):
                continue
            role = f'total/{pool.service}'
            aggregator = pick_instance(role, self.membership.present)
            run = self.membership.table.members[aggregator].incarnation
            message = PoolTotals(
                pool.service,
                name,
                dispatched.epoch,
                dispatched.news_for(f'{aggregator}/{run}'),
            )
            self.links.send(aggregator, message)

    def _deliver(self, deliveries: list[Delivery]) -> None:
        """Send messages to the entries."""
        for delivery in deliveries:
            self.links.send(delivery.instance, delivery.message)

    def _tick(self, now_s: float) -> None:
        """Adapt limits, note stragglers and check the invariants."""
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
        """Adapt the limits of one pool."""
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
        """Log every invariant that does not hold."""
        if not dispatched.is_open:
            return
        self._deliver(dispatched.scheduler.schedule(now_s))
        for fault in find_violations(dispatched.scheduler, now_s):
            METRICS.add('invariant_violations_total')
            log_event(Event.INVARIANT_BROKEN, pool=name, fault=fault)

    def _cap_debt(self, dispatched: DispatchedPool) -> None:
        """Cap debts after views have been merged."""
        for account in dispatched.recovery.cap_debt():
            log_event(
                Event.DEBT_CAPPED,
                pool=dispatched.scheduler.pool,
                account=account,
            )
