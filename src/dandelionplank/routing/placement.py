"""Placement of requests on targets: pure decisions, no I/O and no clock.

Designed for prompts that share long prefixes. A second prefill of a prefix
costs capacity, so a request waits for the target that caches it unless a
prefill elsewhere is cheaper than the wait. A prefix that no target caches
goes to the least loaded target. All instances rank the targets of a prefix
alike, so that they agree before they have received each other's reports.
"""

import dataclasses
import heapq
from collections.abc import Iterable, Mapping, Sequence, Set
from types import MappingProxyType

from dandelionplank.fairness.precedence import AccountPrecedence
from dandelionplank.fleet.peers import PeerLoadTable, TargetShare
from dandelionplank.routing.load import TARGET_QUEUE_S, TargetLoad
from dandelionplank.routing.rendezvous import pick_instance
from dandelionplank.routing.work import TokenWork

# Extra cost of another prefill of a prefix, as a multiple of its own time: it
# delays the streams at that target and evicts other prefixes.
EXTRA_PREFILL_WEIGHT = 10.0
# A prompt is cold if no engine caches more than this of it.
COLD_CACHED_TOKENS = 64
# Advantage in seconds of the preferred target of a cold prefix, so that
# instances that receive it at the same time choose the same target.
PREFERRED_ADVANTAGE_S = 0.1
# Cost of one expected failure per successful response: in seconds for a
# prompt, and as a multiple of the work ahead for a plain request, since a
# target that fails at once always looks idle.
FAILURE_COST_S = 1.0
PLAIN_FAILURE_COST = 10.0
# Advantage of a target in the same data centre, in seconds.
SAME_DATA_CENTER_ADVANTAGE_S = 0.005
# Number of the least loaded targets that are candidates for a prompt, besides
# those that cache its prefix.
IDLEST_CANDIDATES = 16
# Cached prompt parts of a target without a prefix cache.
NO_CACHED_PARTS: Mapping[str, int] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The target chosen for a request.

    :param snapshot: the target and the load of all instances on it
    :param uncached_tokens: prompt tokens that the target has not cached
    :param wait_s: expected time until the prefill starts, from this
        instance's requests and those already at the target
    :param others_wait_s: time to prefill what is queued at the other
        instances
    :param has_capacity: the request may be sent now
    """

    snapshot: 'TargetSnapshot'
    uncached_tokens: float
    wait_s: float
    others_wait_s: float
    has_capacity: bool

    @property
    def load(self) -> TargetLoad:
        """Load of this instance on the target."""
        return self.snapshot.load

    @property
    def first_event_s(self) -> float:
        """Expected time until the prompt is prefilled."""
        prefill_s = self.load.prefill_s(self.uncached_tokens)
        return self.wait_s + self.others_wait_s + prefill_s


class TargetSnapshot:
    """Load of this and of the other instances on a target.

    The load of the other instances is summed once for all placements of a
    scheduling pass; this instance's own load is always current.
    """

    __slots__ = (
        'advantage_s',
        'failure_odds',
        'cached_parts',
        'load',
        'others',
        'others_tokens',
    )

    def __init__(
        self,
        load: TargetLoad,
        others: TargetShare,
        data_center: str,
        now_s: float,
    ) -> None:
        """Compute the values that stay fixed for the snapshot.

        :param others: load that the other instances put on the target
        :param data_center: data centre that the request is sent from
        """
        load.limit.refill(now_s)
        self.load = load
        self.others = others
        self.others_tokens = (
            others.pending_prefill_tokens + others.queued_tokens
        )
        self.cached_parts = (
            load.prefix_cache.parts if load.prefix_cache else NO_CACHED_PARTS
        )
        self.failure_odds = load.health.failure_odds(now_s)
        is_near = load.target.data_center == data_center
        self.advantage_s = SAME_DATA_CENTER_ADVANTAGE_S if is_near else 0.0

    @property
    def ahead_tokens(self) -> float:
        """Tokens to be prefilled before those of a new request."""
        load = self.load
        return (
            load.pending_prefill_tokens
            + load.queued_tokens
            + self.others_tokens
        )

    @property
    def limit_wait_s(self) -> float:
        """Time until the request rate of the target allows a new request."""
        load = self.load
        return load.rate_wait_s(load.waiting + self.others.waiting)

    @property
    def own_limit_wait_s(self) -> float:
        """The same time if only this instance's requests waited."""
        return self.load.rate_wait_s(self.load.waiting)

    @property
    def own_wait_s(self) -> float:
        """Expected wait for the requests of this instance and the target."""
        tokens = self.ahead_tokens - self.others.queued_tokens
        return max(self.load.prefill_s(tokens), self.own_limit_wait_s)

    @property
    def others_wait_s(self) -> float:
        """Expected wait for the requests queued at the other instances."""
        return max(
            self.load.prefill_s(self.others.queued_tokens),
            self.limit_wait_s - self.own_limit_wait_s,
        )

    def cost_s(self, tokens: float, precedence: AccountPrecedence) -> float:
        """Return the expected prefill time, with failures and advantages.

        :param precedence: accounts whose queued requests are not ahead
        """
        ahead_tokens = self.ahead_tokens - precedence.yielding_tokens(
            self.load.queued_by_account
        )
        start_s = max(self.load.prefill_s(ahead_tokens), self.limit_wait_s)
        prefill_s = self.load.prefill_s(tokens)
        failure_s = self.failure_odds * FAILURE_COST_S
        return start_s + prefill_s + failure_s - self.advantage_s

    def plain_cost(self, now_s: float) -> float:
        """Return the expected cost of one more plain request."""
        ahead = self.load.plain_load(self.others, now_s)
        failures = self.failure_odds * PLAIN_FAILURE_COST
        return ahead * (1 + failures) - self.advantage_s

    def has_capacity(
        self, uncached_tokens: float, queue_limit_s: float
    ) -> bool:
        """Return whether a request may be sent now.

        :param queue_limit_s: work that may be queued inside the target
        """
        return self.load.has_capacity(
            uncached_tokens, self.others, queue_limit_s
        )


TargetSnapshots = Mapping[str, TargetSnapshot]


class PlacementPolicy:
    """Chooses among the targets of one service."""

    def __init__(
        self,
        data_center: str,
        loads: Mapping[str, TargetLoad],
        peers: PeerLoadTable,
    ) -> None:
        """Hold the loads of the targets and the reports of the peers."""
        self.data_center = data_center
        self.loads = loads
        self.peers = peers
        self.preferred_targets: dict[str, str] = {}
        self.ranked_names: Set[str] = frozenset()

    def snapshot(self, names: Iterable[str], now_s: float) -> TargetSnapshots:
        """Return load snapshots of the named targets."""
        share_of = self.peers.share_of
        return {
            name: TargetSnapshot(
                self.loads[name],
                share_of(name),
                self.data_center,
                now_s,
            )
            for name in names
        }

    def choose(
        self,
        snapshots: TargetSnapshots,
        work: TokenWork | None,
        now_s: float,
        queue_limit_s: float,
        precedence: AccountPrecedence,
        avoided: Sequence[str] = (),
        reread_weight: float = EXTRA_PREFILL_WEIGHT,
    ) -> Placement | None:
        """Return the cheapest target, or None if there is no usable one.

        :param snapshots: healthy targets of the service
        :param work: size of a model's work, none for plain requests
        :param queue_limit_s: work that may be queued inside the target
        :param precedence: accounts that are served later
        :param avoided: targets that have failed this request
        :param reread_weight: extra cost of another prefill of a prefix, as a
            multiple of its own time
        """
        usable = snapshots
        if avoided:
            usable = {
                name: snapshot
                for name, snapshot in snapshots.items()
                if name not in avoided
            }
        if not usable:
            return None
        is_model = next(iter(usable.values())).load.prefix_cache is not None
        if work is None or not is_model:
            return _least_loaded(usable, now_s)
        return self._cheapest(
            usable, work, queue_limit_s, precedence, reread_weight
        )

    def costs(
        self,
        snapshots: TargetSnapshots,
        work: TokenWork,
        precedence: AccountPrecedence,
        reread_weight: float = EXTRA_PREFILL_WEIGHT,
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Return the uncached tokens and the cost of each candidate engine."""
        candidates = _candidates(snapshots, work.prefix_id, precedence)
        uncached = {
            name: snapshot.load.uncached_tokens(work)
            for name, snapshot in candidates.items()
        }
        fewest = min(uncached.values())
        costs = {
            name: snapshot.cost_s(
                _weighted_tokens(uncached[name], fewest, reread_weight),
                precedence,
            )
            for name, snapshot in candidates.items()
        }
        if fewest >= work.prompt_tokens - COLD_CACHED_TOKENS:
            preferred = self._preferred_target(snapshots.keys(), work.prefix_id)
            uncached[preferred] = snapshots[preferred].load.uncached_tokens(
                work
            )
            weighted_tokens = _weighted_tokens(
                uncached[preferred], fewest, reread_weight
            )
            costs[preferred] = (
                snapshots[preferred].cost_s(weighted_tokens, precedence)
                - PREFERRED_ADVANTAGE_S
            )
        return uncached, costs

    def _cheapest(
        self,
        snapshots: TargetSnapshots,
        work: TokenWork,
        queue_limit_s: float,
        precedence: AccountPrecedence,
        reread_weight: float,
    ) -> Placement:
        """Return the engine with the lowest cost of waiting and prefill."""
        uncached, costs = self.costs(snapshots, work, precedence, reread_weight)
        best = min(costs, key=costs.__getitem__)
        chosen = snapshots[best]
        return Placement(
            chosen,
            uncached[best],
            chosen.own_wait_s,
            chosen.others_wait_s,
            chosen.has_capacity(uncached[best], queue_limit_s),
        )

    def _preferred_target(self, names: Set[str], prefix_id: str) -> str:
        """Return the target that all instances prefer for a prefix."""
        if names != self.ranked_names:
            self.ranked_names = frozenset(names)
            self.preferred_targets.clear()
        preferred = self.preferred_targets.get(prefix_id)
        if preferred is None:
            preferred = pick_instance(prefix_id, self.ranked_names)
            self.preferred_targets[prefix_id] = preferred
        return preferred


def _candidates(
    snapshots: TargetSnapshots, prefix_id: str, precedence: AccountPrecedence
) -> dict[str, TargetSnapshot]:
    """Return the targets that cache a prefix, and the least loaded ones.

    Only these need a cost: a target that caches nothing of a prompt and is
    busier than the least loaded ones is no better than they are.
    """
    idlest = heapq.nsmallest(
        IDLEST_CANDIDATES,
        snapshots.values(),
        key=lambda snapshot: snapshot.cost_s(0, precedence),
    )
    candidates = {snapshot.load.target.name: snapshot for snapshot in idlest}
    candidates.update(
        (name, snapshot)
        for name, snapshot in snapshots.items()
        if prefix_id in snapshot.cached_parts
    )
    return candidates


def _least_loaded(snapshots: TargetSnapshots, now_s: float) -> Placement:
    """Return the plain target that is free first, with the least work ahead."""
    best = min(
        snapshots.values(),
        key=lambda snapshot: (
            snapshot.limit_wait_s,
            snapshot.plain_cost(now_s),
        ),
    )
    return Placement(
        best,
        0,
        best.own_limit_wait_s,
        best.limit_wait_s - best.own_limit_wait_s,
        best.has_capacity(0, TARGET_QUEUE_S),
    )


def _weighted_tokens(tokens: float, fewest: float, weight: float) -> float:
    """Return uncached tokens, with extra weight beyond the best engine's."""
    return tokens + (tokens - fewest) * weight
