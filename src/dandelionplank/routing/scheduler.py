"""Matches waiting requests with targets that have capacity.

Pure state: events and the time go in, grants and rejections come out.
"""

import dataclasses
import itertools
import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType

from dandelionplank.fairness.precedence import (
    BEHIND_RANK,
    AccountPrecedence,
)
from dandelionplank.fairness.waiting import WaitingQueue, WaitingRequest
from dandelionplank.fleet.peers import (
    PeerLoadTable,
    PrefillReport,
    ServiceLevels,
    TargetShare,
)
from dandelionplank.routing.admission import (
    FIRST_EVENT_OVERHEAD_S,
    LatencyEstimate,
    attainable_objective_s,
    misses_objective,
    retry_after_s,
    wait_reason,
)
from dandelionplank.routing.coldstart import ColdTargets
from dandelionplank.routing.load import (
    TARGET_QUEUE_S,
    DispatchedRequest,
    TargetLoad,
    opens_in_s,
)
from dandelionplank.routing.placement import (
    EXTRA_PREFILL_WEIGHT,
    Placement,
    PlacementPolicy,
    TargetSnapshot,
    TargetSnapshots,
)
from dandelionplank.routing.routes import ModelMemory, RouteTable
from dandelionplank.routing.work import PromptPart
from dandelionplank.targets import Target

# Waiting requests examined in one scheduling pass; limits its duration.
SCAN_LIMIT = 48
# A waiting request is placed again after this time, or once its target has
# capacity. The cost of placing all of them at every event would grow with the
# size of the fleet.
PLACEMENT_MAX_AGE_S = 0.05
# Load snapshots (health of the targets, load of the peers) are renewed after
# this time, which is short compared with the period of the peers' reports.
SNAPSHOT_MAX_AGE_S = 0.01
NO_SNAPSHOT: tuple[float, TargetSnapshots] = (
    float('-inf'),
    MappingProxyType({}),
)
# Extra work that a target may hold before a request of an account that has
# received no service lately, as a fraction of the usual limit.
FAIRNESS_QUEUE_BONUS = 1.0
# The service levels of the accounts are summed again after this time.
SERVICE_LEVELS_MAX_AGE_S = 0.05
# Maximum number of prefills held for the next reports to the other instances.
MAX_PREFILL_REPORTS = 256
# Retry-After of a service that has no target at all.
NO_TARGET_RETRY_S = 1.0
NO_TARGET = 'no sound target'


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request that may be sent to a target.

    :param expected_s: expected time until its prompt is prefilled
    :param ticket_number: number of the ticket that another instance granted,
        negative if this instance decided
    """

    waiting: WaitingRequest
    load: TargetLoad
    sent: DispatchedRequest
    expected_s: float
    ticket_number: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A request that is refused and was not executed.

    :param reason: cause, as the caller sees it
    :param retry_after_s: time after which the caller should retry
    """

    waiting: WaitingRequest
    reason: str
    retry_after_s: float


TargetsOf = Callable[[str], Iterable[Target]]


def _is_never(_: str) -> bool:
    """Return a property of a queue that no queue has."""
    return False


class Scheduler:
    """Decides for this instance which request goes to which target."""

    def __init__(
        self,
        data_center: str,
        targets_of: TargetsOf,
        peers: PeerLoadTable,
        jitter: Callable[[], float] = random.random,
        has_other_pools: Callable[[str], bool] = _is_never,
        is_withdrawn: Callable[[str], bool] = _is_never,
    ) -> None:
        """Hold the loads of the targets and the queues of the services.

        :param targets_of: returns the targets of a service that accept work
        :param peers: load of the other instances
        :param jitter: returns random numbers from zero to one
        :param has_other_pools: returns whether a queue is that of one of
            several pools of a service
        :param is_withdrawn: returns whether an order excludes all targets of
            a queue's service
        """
        self.has_other_pools = has_other_pools
        self.is_withdrawn = is_withdrawn
        self.data_center = data_center
        self.targets_of = targets_of
        self.peers = peers
        self.jitter = jitter
        self.loads: dict[str, TargetLoad] = {}
        self.cold = ColdTargets()
        self.queues: dict[str, WaitingQueue] = {}
        self.policies: dict[str, PlacementPolicy] = {}
        self.engine_memory: Mapping[str, ModelMemory | None] = {}
        self.snapshots: dict[str, tuple[float, TargetSnapshots]] = {}
        self.closed: dict[str, tuple[str, ...]] = {}
        self.local_service_levels = ServiceLevels()
        self.prefill_reports: deque[PrefillReport] = deque(
            maxlen=MAX_PREFILL_REPORTS
        )
        self.service_levels: dict[str, float] = {}
        self.service_levels_updated_s = float('-inf')
        self.highest_level = 0.0

    def configure(self, table: RouteTable) -> None:
        """Set the memory of each service's engines."""
        self.engine_memory = {
            name: service.memory for name, service in table.services.items()
        }
        self.cold.configure(
            {
                name: service.cold
                for name, service in table.services.items()
                if service.cold
            },
        )

    def submit(self, waiting: WaitingRequest, now_s: float) -> Rejection | None:
        """Queue a request, or reject it at once."""
        self.refresh_service_levels(now_s)
        snapshots = self._snapshots(waiting.service, now_s)
        queue_limit_s = self._queue_limit_s(waiting.account)
        placement = self._place(waiting, snapshots, queue_limit_s, now_s)
        if placement is None:
            return _reject_without_target(
                waiting,
                opens_in_s(self.loads_of(waiting.service), now_s),
                self.jitter(),
            )
        queue = self.queues.setdefault(waiting.service, WaitingQueue())
        estimate = self._estimate_wait(waiting, placement, queue)
        if estimate:
            waiting.objective_s = attainable_objective_s(
                estimate, waiting.objective_s
            )
        if _misses(waiting, estimate, now_s):
            # The placement prefers a wait for targets that cache the prefix.
            # Others may be idle, or serve accounts that are ahead.
            waiting.accepts_reread = True
            other = self._place(waiting, snapshots, queue_limit_s, now_s)
            is_behind = self._rank(waiting.account) < BEHIND_RANK
            if other and (is_behind or not other.wait_s):
                placement = other
                estimate = self._estimate_wait(waiting, placement, queue)
        if estimate and _misses(waiting, estimate, now_s):
            return Rejection(
                waiting,
                wait_reason(estimate),
                retry_after_s(estimate, self.jitter()),
            )
        self._start_waiting(waiting, placement, now_s)
        queue.add(waiting)
        return None

    def may_start(self, waiting: WaitingRequest, now_s: float) -> bool:
        """Return whether a request could be sent now, ahead of no other."""
        queue = self.queues.get(waiting.service)
        if queue and queue.count:
            return False
        snapshots = self._snapshots(waiting.service, now_s)
        placement = self._place(waiting, snapshots, TARGET_QUEUE_S, now_s)
        return placement is not None and placement.has_capacity

    def rank(self, account: str, now_s: float) -> float:
        """Return an account's service level relative to the highest one.

        :return: from zero to one; one for requests without an account
        """
        self.refresh_service_levels(now_s)
        return self._rank(account) if account else 1.0

    def refresh_service_levels(self, now_s: float) -> None:
        """Sum the service each account received lately from all instances."""
        if now_s - self.service_levels_updated_s <= SERVICE_LEVELS_MAX_AGE_S:
            return
        self.service_levels_updated_s = now_s
        self.service_levels = self.peers.service_levels(now_s)
        for account, level in self.local_service_levels.decay_to(now_s).items():
            self.service_levels[account] = (
                self.service_levels.get(account, 0) + level
            )
        self.highest_level = max(self.service_levels.values(), default=0.0)

    def withdraw(self, waiting: WaitingRequest) -> None:
        """Remove a request from its queue."""
        queue = self.queues.get(waiting.service)
        if queue and queue.remove(waiting):
            self._stop_waiting(waiting)

    def run_pass(self, service: str, now_s: float) -> list[Grant]:
        """Grant targets to waiting requests while there is capacity."""
        queue = self.queues.get(service)
        if queue is None or not queue.count:
            return []
        self.refresh_service_levels(now_s)
        snapshots = self._snapshots(service, now_s)
        grants = []
        candidates = queue.in_fair_order(self.service_levels, now_s)
        for waiting in itertools.islice(candidates, SCAN_LIMIT):
            queue_limit_s = self._queue_limit_s(waiting.account)
            if _keeps_waiting(waiting, snapshots, queue_limit_s, now_s):
                continue
            self._stop_waiting(waiting)
            placement = self._place(waiting, snapshots, queue_limit_s, now_s)
            if placement is None:
                continue
            if placement.has_capacity and _may_use_capacity(
                waiting,
                placement.snapshot,
                now_s,
            ):
                grants.append(self._grant(waiting, placement, now_s))
            else:
                self._start_waiting(waiting, placement, now_s)
        for grant in grants:
            queue.remove(grant.waiting)
        return grants

    def expire(self, now_s: float) -> list[Rejection]:
        """Reject the requests that can't be answered before their deadline.

        Those of a pool that has lost its targets may be served in another one,
        and do not wait until then, nor do those of a withdrawn service.
        """
        rejections = self._reject_stranded(now_s)
        expired = [
            waiting
            for queue in self.queues.values()
            for waiting in queue.all_requests()
            if _is_over(waiting, now_s)
        ]
        for waiting in expired:
            self.withdraw(waiting)
        rejections.extend(
            Rejection(waiting, 'no target was free in time', 1 + self.jitter())
            for waiting in expired
        )
        return rejections

    def load_of(self, target: Target) -> TargetLoad:
        """Return the load of a target, a fresh one if it has restarted."""
        load = self.loads.get(target.name)
        if load is None or not load.target.is_same_start(target):
            load = TargetLoad(target, self.engine_memory.get(target.service))
            self.loads[target.name] = load
        return load

    def loads_of(self, service: str) -> list[TargetLoad]:
        """Return the loads of the targets of a service."""
        return [self.load_of(target) for target in self.targets_of(service)]

    def has_limits(self, service: str) -> bool:
        """Return whether a target of a service states a request rate."""
        loads = (
            self.loads.get(target.name) for target in self.targets_of(service)
        )
        return any(load is not None and load.limit.is_limited for load in loads)

    def shares(self) -> dict[str, TargetShare]:
        """Return this instance's load on each target that has any."""
        return {
            name: load.share
            for name, load in self.loads.items()
            if not load.is_idle
        }

    def record_prefill_reports(self, reports: Iterable[PrefillReport]) -> None:
        """Record the prompts that other instances sent to targets."""
        for report in reports:
            load = self.loads.get(report.target)
            if load and load.prefix_cache:
                load.prefix_cache.record_prefill(
                    PromptPart(part_id, tokens)
                    for part_id, tokens in report.parts
                )

    def forget(self, names: Iterable[str]) -> None:
        """Drop the state of removed targets that hold no request."""
        forgotten = tuple(names)
        self.cold.forget(forgotten)
        for name in forgotten:
            load = self.loads.get(name)
            if load and load.is_idle:
                self.loads.pop(name)

    def _reject_stranded(self, now_s: float) -> list[Rejection]:
        """Reject the requests that no target will take in time."""
        rejections: list[Rejection] = []
        for name, queue in self.queues.items():
            if not queue.count:
                continue
            names = self._snapshots(name, now_s).keys()
            versions = {target.version for target in self.targets_of(name)}
            rejections.extend(
                _reject_without_target(waiting, 0, self.jitter())
                for waiting in queue.all_requests()
                if waiting.versions and versions.isdisjoint(waiting.versions)
            )
            if names - set(self.closed[name]):
                continue
            opens_s = opens_in_s(self.loads_of(name), now_s)
            is_final = self.has_other_pools(name) or self.is_withdrawn(name)
            rejections.extend(
                _reject_without_target(waiting, opens_s, self.jitter())
                for waiting in queue.all_requests()
                if not (names and waiting.is_ticket)
                and (is_final or now_s + opens_s >= waiting.deadline_s)
            )
        for rejection in rejections:
            self.withdraw(rejection.waiting)
        return rejections

    def _grant(
        self,
        waiting: WaitingRequest,
        placement: Placement,
        now_s: float,
    ) -> Grant:
        """Record a request as sent to its target and return the grant."""
        load = placement.load
        others = self.peers.share_of(load.target.name)
        self._report_prefill(waiting, load)
        if waiting.account:
            self.local_service_levels.charge(
                waiting.account, waiting.cost, now_s
            )
            level = self.service_levels.get(waiting.account, 0)
            self.service_levels[waiting.account] = level + waiting.cost
        return Grant(
            waiting,
            load,
            load.send(waiting.work, others, now_s, waiting.delay_s),
            placement.first_event_s,
        )

    def _report_prefill(
        self, waiting: WaitingRequest, load: TargetLoad
    ) -> None:
        """Add the shared parts of a prompt to the next peer report."""
        work = waiting.work
        if work is None or load.prefix_cache is None or len(work.parts) < 2:
            return
        self.prefill_reports.append(
            PrefillReport(
                load.target.name,
                tuple((part.part_id, part.tokens) for part in work.parts[:-1]),
            ),
        )

    def _snapshots(self, service: str, now_s: float) -> TargetSnapshots:
        """Return load snapshots of the targets that accept requests.

        Targets that are leaving are left out, and so are paused ones, unless
        all are paused. If there are other pools, unreachable ones are left out
        even then. Those that want no requests of this instance are taken
        note of, as they may get those of others.
        """
        taken_s, snapshots = self.snapshots.get(service, NO_SNAPSHOT)
        if now_s - taken_s < SNAPSHOT_MAX_AGE_S:
            return snapshots
        loads = [
            load
            for load in self.loads_of(service)
            if not load.availability.is_leaving
        ]
        if self.cold.limits:
            for load in loads:
                load.cold = self.cold.prepared(load.target, service, now_s)
                if load.cold and load.cold.pace:
                    self.cold.check_pace(
                        load.target, load.running, load.slots, now_s
                    )
        self.closed[service] = tuple(
            load.target.name
            for load in loads
            if not load.availability.is_open(now_s)
        )
        names = [
            load.target.name
            for load in loads
            if not load.health.is_paused(now_s)
        ]
        if not names:
            names = [
                load.target.name
                for load in loads
                if not (
                    load.health.is_unreachable and self.has_other_pools(service)
                )
            ]
        snapshots = self._policy(service).snapshot(names, now_s)
        self.snapshots[service] = (now_s, snapshots)
        return snapshots

    def _policy(self, service: str) -> PlacementPolicy:
        """Return the placement policy of a service."""
        policy = self.policies.get(service)
        if policy is None:
            policy = PlacementPolicy(self.data_center, self.loads, self.peers)
            self.policies[service] = policy
        return policy

    def _place(
        self,
        waiting: WaitingRequest,
        snapshots: TargetSnapshots,
        queue_limit_s: float,
        now_s: float,
    ) -> Placement | None:
        """Choose a target for a request."""
        closed: tuple[str, ...] = ()
        if not waiting.is_ticket:
            closed = self.closed.get(waiting.service, ())
        return self._policy(waiting.service).choose(
            _of_versions(snapshots, waiting.versions),
            waiting.work,
            now_s,
            queue_limit_s,
            AccountPrecedence.from_levels(waiting.account, self.service_levels),
            waiting.avoided + closed,
            0 if waiting.accepts_reread else EXTRA_PREFILL_WEIGHT,
        )

    def _rank(self, account: str) -> float:
        """Return an account's service level relative to the highest one."""
        if not self.highest_level:
            return 1.0
        return min(
            1.0,
            self.service_levels.get(account, 0) / self.highest_level,
        )

    def _queue_limit_s(self, account: str) -> float:
        """Return how much work a target may hold before an account's request.

        The limit is higher for an account that received less service, so that
        its requests are not blocked by an instance that serves another
        account and uses all free capacity at once. This needs no agreement
        between the instances.
        """
        return TARGET_QUEUE_S * (
            1 + FAIRNESS_QUEUE_BONUS * (1 - self._rank(account))
        )

    def _estimate_wait(
        self,
        waiting: WaitingRequest,
        placement: Placement,
        queue: WaitingQueue,
    ) -> LatencyEstimate | None:
        """Estimate when a new request would be served in fair order.

        :return: None if it does not wait
        """
        if placement.has_capacity and not queue.count:
            return None
        ahead = queue.cost_ahead(
            waiting.account, waiting.cost, self.service_levels
        )
        total = sum(queue.costs.values()) + waiting.cost
        others_s = placement.others_wait_s * self._rank(waiting.account)
        return LatencyEstimate(
            placement.wait_s * ahead / max(1.0, total) + others_s,
            placement.load.prefill_s(placement.uncached_tokens),
        )

    def _start_waiting(
        self,
        waiting: WaitingRequest,
        placement: Placement,
        now_s: float,
    ) -> None:
        """Add a request to the queued load of the target it waits for."""
        waiting.placed_s = now_s
        waiting.assigned_target = placement.load.target.name
        waiting.uncached_tokens = placement.uncached_tokens
        placement.load.start_waiting(waiting.account, placement.uncached_tokens)

    def _stop_waiting(self, waiting: WaitingRequest) -> None:
        """Remove a request from the load of the target it waited for."""
        load = self.loads.get(waiting.assigned_target)
        waiting.assigned_target = ''
        if load:
            load.stop_waiting(waiting.account, waiting.uncached_tokens)


def _is_over(waiting: WaitingRequest, now_s: float) -> bool:
    """Return whether a request can't be answered before its deadline.

    The response to one that is granted just before is cut off.
    """
    left_s = waiting.deadline_s - now_s
    if waiting.objective_deadline_s > now_s:
        return left_s <= 0
    return left_s <= FIRST_EVENT_OVERHEAD_S


def _misses(
    waiting: WaitingRequest, estimate: LatencyEstimate | None, now_s: float
) -> bool:
    """Return whether a request that waits can't meet its objective."""
    if estimate is None:
        return False
    return misses_objective(estimate, waiting.objective_deadline_s - now_s)


def _reject_without_target(
    waiting: WaitingRequest, opens_s: float, jitter: float
) -> Rejection:
    """Reject a request that no target can take at present.

    :param opens_s: time until a target takes requests again
    """
    retry_s = NO_TARGET_RETRY_S
    if 0 < opens_s < math.inf:
        retry_s = opens_s + jitter * min(opens_s, NO_TARGET_RETRY_S)
    reason = NO_TARGET
    if waiting.versions:
        reason = f'{NO_TARGET} of version {", ".join(waiting.versions)}'
    return Rejection(waiting, reason, retry_s)


def _of_versions(
    snapshots: TargetSnapshots, versions: Sequence[str]
) -> TargetSnapshots:
    """Return the targets of some software versions, all if none are given."""
    if not versions:
        return snapshots
    return {
        name: snapshot
        for name, snapshot in snapshots.items()
        if snapshot.load.target.version in versions
    }


def _keeps_waiting(
    waiting: WaitingRequest,
    snapshots: TargetSnapshots,
    queue_limit_s: float,
    now_s: float,
) -> bool:
    """Return whether a request keeps waiting without a new placement."""
    assigned = snapshots.get(waiting.assigned_target)
    if assigned is None or now_s - waiting.placed_s > PLACEMENT_MAX_AGE_S:
        return False
    has_capacity = assigned.has_capacity(waiting.uncached_tokens, queue_limit_s)
    return not (has_capacity and _may_use_capacity(waiting, assigned, now_s))


def _may_use_capacity(
    waiting: WaitingRequest,
    snapshot: TargetSnapshot,
    now_s: float,
) -> bool:
    """Return whether a request may use its target's free capacity.

    A request that has missed its objective may only use a target without
    pending prefill, so that it delays none that can still meet theirs.
    """
    if waiting.objective_deadline_s > now_s:
        return True
    return (
        snapshot.load.pending_prefill_tokens
        + snapshot.others.pending_prefill_tokens
        <= 0
    )
