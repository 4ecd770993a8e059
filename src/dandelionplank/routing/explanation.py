"""Where a request would be sent now, and why: pure, changes no state.

The scheduler's own decision is made on a copy of what it uses, so that the
explanation cannot differ from it and no later decision depends on it.
"""

import copy
import dataclasses
from collections.abc import Callable, Iterable

import msgspec

from dandelionplank.fairness.precedence import AccountPrecedence
from dandelionplank.fairness.waiting import WaitingQueue, WaitingRequest
from dandelionplank.fleet.peers import TargetShare
from dandelionplank.routing.coldstart import ColdState, ColdTargets
from dandelionplank.routing.load import RUNNING_SHARE, TargetLoad
from dandelionplank.routing.placement import TargetSnapshot, TargetSnapshots
from dandelionplank.routing.prefix_cache import PrefixCache
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.routing.work import TokenWork
from dandelionplank.targets import Target

# Random part of a Retry-After: the middle of its range.
MIDDLE = 0.5

SENT = 'sent'
QUEUED = 'queued'
REFUSED = 'refused'

InCharge = Callable[[str, float], bool]


class TargetExplanation(msgspec.Struct, frozen=True):
    """Whether one target may take the request now.

    :param reasons: why it may not, empty if it may
    :param uncached_tokens: prompt tokens to prefill, None if not compared
    :param wait_s: expected time until it starts, None if not compared
    :param cost: the lowest one is chosen, None if not compared
    """

    name: str
    data_center: str
    reasons: tuple[str, ...]
    uncached_tokens: float | None = None
    wait_s: float | None = None
    cost: float | None = None

    @property
    def may_take(self) -> bool:
        """Return whether the request may be sent to it now."""
        return not self.reasons


class Decision(msgspec.Struct, frozen=True):
    """What would happen to the request in one queue.

    :param outcome: sent, queued or refused
    :param target: target that it is sent to or waits for
    :param reason: cause of a refusal
    :param retry_after_s: mean of the Retry-After of a refusal
    :param waiting: requests in the queue before it
    :param targets: targets of the queue
    """

    outcome: str
    target: str
    reason: str
    retry_after_s: float | None
    waiting: int
    targets: tuple[TargetExplanation, ...]


class TrialScheduler(Scheduler):
    """Copy of a scheduler for one decision in one of its queues."""

    def __init__(
        self,
        origin: Scheduler,
        queue: str,
        is_in_charge: InCharge | None = None,
        is_informed: Callable[[float], bool] | None = None,
    ) -> None:
        """Copy all that a decision in the queue could change.

        :param is_in_charge: the same as that of the cold targets of the
            origin, but without effects
        :param is_informed: likewise
        """
        super().__init__(
            origin.data_center,
            origin.targets_of,
            origin.peers,
            _middle,
            origin.has_other_pools,
            origin.is_withdrawn,
        )
        targets = tuple(origin.targets_of(queue))
        self.engine_memory = origin.engine_memory
        self.cold = _copy_cold(origin.cold, targets)
        self.cold.is_in_charge = is_in_charge or origin.cold.is_in_charge
        self.cold.is_informed = is_informed or origin.cold.is_informed
        self.loads = {
            target.name: _copy_load(origin.loads[target.name])
            for target in targets
            if target.name in origin.loads
        }
        self.local_service_levels = copy.copy(origin.local_service_levels)
        self.service_levels = dict(origin.service_levels)
        self.service_levels_updated_s = origin.service_levels_updated_s
        self.highest_level = origin.highest_level
        if queue in origin.queues:
            self.queues[queue] = _copy_queue(origin.queues[queue])

    def decide(self, request: WaitingRequest, now_s: float) -> Decision:
        """Return what would happen to a request, and why."""
        waiting = dataclasses.replace(request)
        queue = waiting.service
        self.refresh_service_levels(now_s)
        snapshots = self._snapshots(queue, now_s)
        targets = self._explain_targets(waiting, snapshots, now_s)
        known = self.queues.get(queue)
        count = known.count if known else 0
        rejection = self.submit(waiting, now_s)
        if rejection:
            return Decision(
                REFUSED,
                '',
                rejection.reason,
                rejection.retry_after_s,
                count,
                targets,
            )
        for grant in self.run_pass(queue, now_s):
            if grant.waiting is waiting:
                name = grant.load.target.name
                return Decision(SENT, name, '', None, count, targets)
        return Decision(
            QUEUED, waiting.assigned_target, '', None, count, targets
        )

    def _explain_targets(
        self,
        waiting: WaitingRequest,
        snapshots: TargetSnapshots,
        now_s: float,
    ) -> tuple[TargetExplanation, ...]:
        """Return for each target of a queue whether it may take a request."""
        unusable = (*waiting.avoided, *self.closed[waiting.service])
        usable = {
            name: snapshot
            for name, snapshot in snapshots.items()
            if name not in unusable
        }
        costs = self._costs(waiting, usable, now_s)
        queue_limit_s = self._queue_limit_s(waiting.account)
        others_of = self.peers.share_of
        explanations = []
        for load in self.loads_of(waiting.service):
            name = load.target.name
            snapshot = snapshots.get(name)
            reasons = [
                *_state_reasons(load, now_s, is_left_out=snapshot is None),
                *_rate_reasons(load, others_of(name).running, now_s),
                *_room_reasons(
                    load, waiting.work, others_of(name), queue_limit_s
                ),
            ]
            if name in waiting.avoided and not reasons:
                reasons.append('avoided by this request')
            explanations.append(
                TargetExplanation(
                    name,
                    load.target.data_center,
                    tuple(reasons),
                    load.uncached_tokens(waiting.work),
                    _wait_s(snapshot),
                    costs.get(name),
                ),
            )
        return tuple(explanations)

    def _costs(
        self,
        waiting: WaitingRequest,
        usable: TargetSnapshots,
        now_s: float,
    ) -> dict[str, float]:
        """Return the costs that are compared, by target."""
        if not usable:
            return {}
        is_model = next(iter(usable.values())).load.prefix_cache is not None
        if waiting.work is None or not is_model:
            return {
                name: snapshot.plain_cost(now_s)
                for name, snapshot in usable.items()
            }
        precedence = AccountPrecedence.from_levels(
            waiting.account, self.service_levels
        )
        policy = self._policy(waiting.service)
        return policy.costs(usable, waiting.work, precedence)[1]


def _middle() -> float:
    """Return the mean of the numbers that spread retries."""
    return MIDDLE


def _wait_s(snapshot: TargetSnapshot | None) -> float | None:
    """Return the expected wait at a target for all that is ahead."""
    if snapshot is None:
        return None
    return snapshot.own_wait_s + snapshot.others_wait_s


def _state_reasons(
    load: TargetLoad, now_s: float, *, is_left_out: bool
) -> Iterable[str]:
    """Yield which states of a target keep requests from it.

    :param is_left_out: the scheduler does not consider it; a paused target is
        considered if all are paused
    """
    availability = load.availability
    if availability.is_leaving:
        yield 'leaving'
    elif not availability.is_open(now_s):
        yield f'closed for {availability.wait_s(now_s):.2f} s'
    if is_left_out and load.health.is_paused(now_s):
        left_s = load.health.paused_until_s - now_s
        why = 'unreachable, ' if load.health.is_unreachable else ''
        yield f'{why}paused for {left_s:.2f} s'


def _room_reasons(
    load: TargetLoad,
    work: TokenWork | None,
    others: TargetShare,
    queue_limit_s: float,
) -> Iterable[str]:
    """Yield why a target has no room for a request."""
    running = load.running + others.running
    if running >= load.slots * RUNNING_SHARE:
        yield f'{running} of {load.slots} slots used'
    uncached = load.uncached_tokens(work)
    if not load.has_queue_room(uncached, others, queue_limit_s):
        pending_s = load.prefill_s(
            load.pending_prefill_tokens + others.pending_prefill_tokens
        )
        yield (
            f'prefill queue full: {pending_s:.2f} s pending, '
            f'limit {queue_limit_s:.2f} s'
        )


def _rate_reasons(
    load: TargetLoad, others_running: int, now_s: float
) -> Iterable[str]:
    """Yield which rates of a target do not allow a request now."""
    limit = load.limit
    # The limit of a target that gets no snapshot has not been refilled.
    limit.refill(now_s)
    if not limit.has_request:
        wait_s = limit.wait_s(0)
        yield f'request rate {limit.rate:g}/s reached for {wait_s:.2f} s'
    cold = load.cold
    if cold is None:
        return
    if not cold.has_request:
        yield _cold_reason(cold, now_s)
    running = load.running + others_running
    if cold.pace and running >= cold.pace.window:
        yield f'paced: {running} in flight, window {cold.pace.window:g}'


def _cold_reason(cold: ColdState, now_s: float) -> str:
    """Return why a cold target takes no request."""
    left_s = max(0.0, cold.until_s - now_s)
    left = 'until it responds' if cold.is_lost else f'for {left_s:.2f} s'
    if not cold.is_permitted:
        return f'cold {left}, not assigned by this instance'
    return f'cold {left}, allowance {cold.level:.2f} at {cold.bound.rate:.2f}/s'


def _copy_load(load: TargetLoad) -> TargetLoad:
    """Copy what a decision could change of a target's load."""
    copied = copy.copy(load)
    copied.limit = copy.copy(load.limit)
    copied.queued_by_account = dict(load.queued_by_account)
    copied.cold = None
    if load.prefix_cache:
        copied.prefix_cache = _copy_cache(load.prefix_cache)
    return copied


def _copy_cache(cache: PrefixCache) -> PrefixCache:
    """Copy the cached parts of a target."""
    copied = copy.copy(cache)
    copied.parts = cache.parts.copy()
    return copied


def _copy_queue(queue: WaitingQueue) -> WaitingQueue:
    """Copy a queue and the requests in it."""
    copied = WaitingQueue()
    copied.count = queue.count
    copied.costs = dict(queue.costs)
    copied.by_account = {
        account: [dataclasses.replace(waiting) for waiting in requests]
        for account, requests in queue.by_account.items()
    }
    return copied


def _copy_cold(cold: ColdTargets, targets: Iterable[Target]) -> ColdTargets:
    """Copy the coldness of some targets, without its listeners."""
    copied = ColdTargets()
    copied.set_allowance(cold.over, cold.slack)
    copied.configure(cold.limits)
    copied.read_s = cold.read_s
    copied.usual = dict(cold.usual)
    for target in targets:
        state = cold.states.get(target.name)
        if state:
            copied.states[target.name] = state.copied()
            copied.services[target.name] = cold.services[target.name]
    return copied
