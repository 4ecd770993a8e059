"""Pools of engines, and the pools that serve a prompt: pure state, no I/O.

Designed for fleets in which each instance sees a small part of the load. If
each of them chose among all engines by old reports, many would send to the
same few engines while others were idle. Each pool has one owner that assigns
all of its work, and prompts that share a long prefix are served in one pool,
so that a prefix is not cached everywhere.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import xxhash

from dandelionplank.routing.rendezvous import pick_instance
from dandelionplank.routing.work import TokenWork
from dandelionplank.targets import Target

# Engines of a pool, about: enough to share a burst, few enough that the
# prefixes of a pool stay cached.
POOL_TARGETS = 8
# A shorter prefix is cheap to prefill in any pool.
MIN_HOME_PREFIX_TOKENS = 2000
# Number of values of the 64-bit hash that places prefixes.
HASH_RANGE = 18_446_744_073_709_551_616

TargetsOf = Callable[[str], Iterable[Target]]
# Returns whether all targets of a service are excluded by an order.
IsWithdrawn = Callable[[str], bool]


def _is_never_withdrawn(_: str) -> bool:
    """Return whether a service is withdrawn, where there are no orders."""
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePools:
    """The pools of one service.

    :param targets: targets of the service that the pools were built from
    :param by_queue: targets of each pool, by the name of its queue
    """

    targets: tuple[Target, ...]
    by_queue: Mapping[str, tuple[Target, ...]]

    @classmethod
    def from_targets(
        cls, service: str, targets: tuple[Target, ...]
    ) -> 'ServicePools':
        """Split the targets of a service into pools.

        A target's pool depends on its name and the number of pools alone, so
        that few targets change pools when others come and go.
        """
        queues = [
            f'{service}#{number}' for number in range(_pool_count(len(targets)))
        ]
        members: dict[str, list[Target]] = {}
        for target in targets:
            queue = pick_instance(target.name, queues)
            members.setdefault(queue, []).append(target)
        return cls(
            targets,
            {queue: tuple(members[queue]) for queue in sorted(members)},
        )

    def rank(self, prefix_id: str) -> list[str]:
        """Return the queues in order of preference for a prefix.

        A pool is preferred in proportion to its size.
        """
        return sorted(
            self.by_queue,
            key=lambda queue: _distance(
                prefix_id, queue, len(self.by_queue[queue])
            ),
        )


class TargetPools:
    """The pools of all services, renewed when the targets change."""

    def __init__(
        self,
        targets_of: TargetsOf,
        is_withdrawn: IsWithdrawn = _is_never_withdrawn,
    ) -> None:
        """Hold the source of the targets.

        :param targets_of: returns the targets of a service that accept work
        """
        self.targets_of = targets_of
        self.is_service_withdrawn = is_withdrawn
        self.by_service: dict[str, ServicePools] = {}

    def pools_of(self, service: str) -> ServicePools:
        """Return the pools of a service."""
        targets = tuple(self.targets_of(service))
        pools = self.by_service.get(service)
        if pools is None or pools.targets != targets:
            pools = ServicePools.from_targets(service, targets)
            self.by_service[service] = pools
        return pools

    def targets_in(self, queue: str) -> Iterable[Target]:
        """Return the targets of a pool's queue, or of a whole service."""
        targets = tuple(self.targets_of(queue))
        service, separator, _ = queue.rpartition('#')
        if targets or not separator:
            return targets
        return self.pools_of(service).by_queue.get(queue, ())

    def has_other_pools(self, queue: str) -> bool:
        """Return whether a queue is that of a pool, and there are others.

        The pool of the queue may have lost its targets or exist no more.
        """
        service, separator, _ = queue.rpartition('#')
        if not separator:
            return False
        return any(each != queue for each in self.pools_of(service).by_queue)

    def is_withdrawn(self, queue: str) -> bool:
        """Return whether an order excludes all targets of a queue's service."""
        service, separator, _ = queue.rpartition('#')
        return self.is_service_withdrawn(queue) or (
            bool(separator) and self.is_service_withdrawn(service)
        )

    def rank(
        self, service: str, work: TokenWork, versions: Sequence[str] = ()
    ) -> list[str]:
        """Return the queues of a service in order of preference for a prompt.

        Prompts that share a long prefix prefer the same pool; the others are
        spread by their own last part, which the turns of a session share.

        :param versions: software versions that may take it, none for any;
            pools without a target of these are left out
        """
        key = work.prefix_id
        if _prefix_tokens(work) < MIN_HOME_PREFIX_TOKENS and work.parts:
            key = work.parts[-1].part_id
        pools = self.pools_of(service)
        ranked = pools.rank(key)
        if not versions:
            return ranked
        return [
            queue
            for queue in ranked
            if any(each.version in versions for each in pools.by_queue[queue])
        ]


def _pool_count(target_count: int) -> int:
    """Return the number of pools, a power of two so that it changes rarely."""
    if target_count < POOL_TARGETS:
        return 1
    return 1 << round(math.log2(target_count / POOL_TARGETS))


def _prefix_tokens(work: TokenWork) -> int:
    """Return the tokens of a prompt that other prompts may share."""
    return sum(part.tokens for part in work.parts[:-1])


def _distance(prefix_id: str, queue: str, weight: int) -> float:
    """Return the weighted rendezvous distance of a pool from a prefix."""
    digest: int = xxhash.xxh64_intdigest(f'{prefix_id}|{queue}'.encode())
    return -math.log((digest + 1) / (HASH_RANGE + 1)) / weight
