"""Waiting requests and targets with room, brought together.

Pure state: events and the time go in, grants and refusals come out.
"""

import dataclasses
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from dandelionplank.fairness.waiting import Waiting, WaitingRoom
from dandelionplank.fleet.peers import (
    PeerBoard,
    PromptRead,
    ServiceLevels,
    TargetShare,
)
from dandelionplank.routing.admission import (
    Prospect,
    is_hopeless,
    retry_after_s,
)
from dandelionplank.routing.load import QUEUE_S, Dispatched, TargetLoad
from dandelionplank.routing.placement import (
    Outlooks,
    Placement,
    PlacementPolicy,
    TargetOutlook,
)
from dandelionplank.routing.routes import ModelMemory, RouteTable
from dandelionplank.routing.work import PromptPart
from dandelionplank.targets import Target

# Waiting requests that one pass looks at; bounds the time of a pass.
SCAN_LIMIT = 48
# A waiting request is placed anew after this time, or once its target has
# room; placing all of them at each event costs the more the larger the fleet.
PLACEMENT_AGE_S = 0.05
# The soundness of targets and the load that peers put on them are looked up
# again after this time; it is short against the period of the peers' reports.
LOOK_AGE_S = 0.01
NOT_SEEN: tuple[float, Outlooks] = (float('-inf'), MappingProxyType({}))
# How much more work a target may hold, as a part of the usual limit, before a
# request of an account that has received nothing lately.
FAIR_ROOM = 1.0
# Totals of the service received are added up again after this time.
LEVELS_AGE_S = 0.05
# Prompts kept for the next reports to the other instances.
READS_KEPT = 256
# Retry hint where a service has no target at all.
NO_TARGET_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A request may be sent to a target."""

    waiting: Waiting
    load: TargetLoad
    sent: Dispatched
    expected_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Turndown:
    """A request will not be served and has not run.

    :param reason: why, in words
    :param retry_after_s: when the caller should come back
    """

    waiting: Waiting
    reason: str
    retry_after_s: float


TargetsOf = Callable[[str], Iterable[Target]]


class Scheduler:
    """Decides for this instance which request goes to which target."""

    def __init__(
        self,
        data_center: str,
        targets_of: TargetsOf,
        peers: PeerBoard,
        spread: Callable[[], float] = random.random,
    ) -> None:
        """Start without requests.

        :param targets_of: targets of a service that may be given work
        :param peers: load of the other instances
        :param spread: random numbers from zero to one
        """
        self.data_center = data_center
        self.targets_of = targets_of
        self.peers = peers
        self.spread = spread
        self.loads: dict[str, TargetLoad] = {}
        self.rooms: dict[str, WaitingRoom] = {}
        self.policies: dict[str, PlacementPolicy] = {}
        self.memories: Mapping[str, ModelMemory | None] = {}
        self.outlooks: dict[str, tuple[float, Outlooks]] = {}
        self.received = ServiceLevels()
        self.reads: deque[PromptRead] = deque(maxlen=READS_KEPT)
        self.levels: dict[str, float] = {}
        self.levels_s = float('-inf')
        self.highest = 0.0

    def configure(self, table: RouteTable) -> None:
        """Take in the memories of the services' engines."""
        self.memories = {
            name: service.memory for name, service in table.services.items()
        }

    def submit(self, waiting: Waiting, now_s: float) -> Turndown | None:
        """Let a request wait, or turn it down at once."""
        self._refresh_levels(now_s)
        outlooks = self._look(waiting.service, now_s)
        queue_s = self._queue_s(waiting.account)
        placement = self._place(waiting, outlooks, queue_s, now_s)
        if placement is None:
            return Turndown(waiting, 'no sound target', NO_TARGET_RETRY_S)
        room = self.rooms.setdefault(waiting.service, WaitingRoom())
        if not placement.has_room or room.count:
            prospect = self._prospect(waiting, placement, room)
            if is_hopeless(prospect, waiting.objective_ends_s - now_s):
                return Turndown(
                    waiting,
                    f'expected wait {prospect.wait_s:.2f} s',
                    retry_after_s(prospect, self.spread()),
                )
        self._wait_for(waiting, placement, now_s)
        room.add(waiting)
        return None

    def withdraw(self, waiting: Waiting) -> None:
        """Take a request out that waits no longer."""
        room = self.rooms.get(waiting.service)
        if room and room.remove(waiting):
            self._stop_waiting(waiting)

    def run_pass(self, service: str, now_s: float) -> list[Grant]:
        """Grant targets to waiting requests, as far as there is room."""
        room = self.rooms.get(service)
        if room is None or not room.count:
            return []
        self._refresh_levels(now_s)
        outlooks = self._look(service, now_s)
        grants = []
        candidates = room.in_order(self.levels, now_s)
        for waiting in itertools.islice(candidates, SCAN_LIMIT):
            queue_s = self._queue_s(waiting.account)
            if _stays_put(waiting, outlooks, queue_s, now_s):
                continue
            self._stop_waiting(waiting)
            placement = self._place(waiting, outlooks, queue_s, now_s)
            if placement is None:
                continue
            if placement.has_room and _may_take_room(
                waiting,
                placement.outlook,
                now_s,
            ):
                grants.append(self._grant(waiting, placement, now_s))
            else:
                self._wait_for(waiting, placement, now_s)
        for grant in grants:
            room.remove(grant.waiting)
        return grants

    def expire(self, now_s: float) -> list[Turndown]:
        """Turn down what can be served no more."""
        ended = [
            waiting
            for room in self.rooms.values()
            for waiting in room.everyone()
            if now_s >= waiting.ends_s
        ]
        for waiting in ended:
            self.withdraw(waiting)
        return [
            Turndown(waiting, 'no target was free in time', 1 + self.spread())
            for waiting in ended
        ]

    def load_of(self, target: Target) -> TargetLoad:
        """Return the load of a target, a new one if it has restarted."""
        load = self.loads.get(target.name)
        if load is None or load.target.started_ms != target.started_ms:
            load = TargetLoad(target, self.memories.get(target.service))
            self.loads[target.name] = load
        return load

    def shares(self) -> dict[str, TargetShare]:
        """Return this instance's load on every target that it uses."""
        return {
            name: load.share
            for name, load in self.loads.items()
            if not load.is_idle
        }

    def note_reads(self, reads: Iterable[PromptRead]) -> None:
        """Take in which prompts the other instances sent to targets."""
        for read in reads:
            load = self.loads.get(read.target)
            if load and load.residency:
                load.residency.note_read(
                    PromptPart(part_id, tokens)
                    for part_id, tokens in read.parts
                )

    def forget(self, names: Iterable[str]) -> None:
        """Drop the state of targets that are gone and hold no request."""
        for name in names:
            load = self.loads.get(name)
            if load and load.is_idle:
                self.loads.pop(name)

    def _grant(
        self,
        waiting: Waiting,
        placement: Placement,
        now_s: float,
    ) -> Grant:
        """Send a request to the target that was chosen for it."""
        load = placement.load
        others = self.peers.share_of(load.target.name)
        self._note_read(waiting, load)
        if waiting.account:
            self.received.charge(waiting.account, waiting.cost, now_s)
            level = self.levels.get(waiting.account, 0)
            self.levels[waiting.account] = level + waiting.cost
        return Grant(
            waiting,
            load,
            load.send(waiting.work, others, now_s),
            placement.first_event_s,
        )

    def _note_read(self, waiting: Waiting, load: TargetLoad) -> None:
        """Keep for the other instances which prompt a target reads."""
        work = waiting.work
        if work is None or load.residency is None or len(work.parts) < 2:
            return
        self.reads.append(
            PromptRead(
                load.target.name,
                tuple((part.part_id, part.tokens) for part in work.parts[:-1]),
            ),
        )

    def _look(self, service: str, now_s: float) -> Outlooks:
        """Return the targets of a service that take requests."""
        seen_s, outlooks = self.outlooks.get(service, NOT_SEEN)
        if now_s - seen_s < LOOK_AGE_S:
            return outlooks
        loads = [self.load_of(target) for target in self.targets_of(service)]
        names = [
            load.target.name
            for load in loads
            if not load.health.is_paused(now_s)
        ]
        if not names:
            names = [load.target.name for load in loads]
        outlooks = self._policy(service).look(names, now_s)
        self.outlooks[service] = (now_s, outlooks)
        return outlooks

    def _policy(self, service: str) -> PlacementPolicy:
        """Return the placement of a service."""
        policy = self.policies.get(service)
        if policy is None:
            policy = PlacementPolicy(self.data_center, self.loads, self.peers)
            self.policies[service] = policy
        return policy

    def _place(
        self,
        waiting: Waiting,
        outlooks: Outlooks,
        queue_s: float,
        now_s: float,
    ) -> Placement | None:
        """Choose a target for a request."""
        return self._policy(waiting.service).choose(
            outlooks,
            waiting.work,
            now_s,
            queue_s,
            waiting.avoided,
        )

    def _rank(self, account: str) -> float:
        """Return what an account received, as a part of the highest level."""
        if not self.highest:
            return 1.0
        return min(1.0, self.levels.get(account, 0) / self.highest)

    def _queue_s(self, account: str) -> float:
        """Return how much work a target may hold before an account's request.

        An account that received less sees more room. So its requests are not
        kept out by an instance that serves another account and fills each
        place at once, without any agreement between the instances.
        """
        return QUEUE_S * (1 + FAIR_ROOM * (1 - self._rank(account)))

    def _prospect(
        self,
        waiting: Waiting,
        placement: Placement,
        room: WaitingRoom,
    ) -> Prospect:
        """Estimate when a newcomer would be served, given its turn."""
        ahead = room.cost_ahead(waiting.account, waiting.cost, self.levels)
        total = sum(room.costs.values()) + waiting.cost
        others_s = placement.others_wait_s * self._rank(waiting.account)
        return Prospect(
            placement.wait_s * ahead / max(1.0, total) + others_s,
            placement.load.reading_s(placement.read_tokens),
        )

    def _refresh_levels(self, now_s: float) -> None:
        """Add up what each account received lately from all instances."""
        if now_s - self.levels_s <= LEVELS_AGE_S:
            return
        self.levels_s = now_s
        self.levels = self.peers.service(now_s)
        for account, level in self.received.settle(now_s).items():
            self.levels[account] = self.levels.get(account, 0) + level
        self.highest = max(self.levels.values(), default=0.0)

    def _wait_for(
        self,
        waiting: Waiting,
        placement: Placement,
        now_s: float,
    ) -> None:
        """Count a request at the target for which it waits."""
        waiting.placed_s = now_s
        waiting.home = placement.load.target.name
        waiting.home_tokens = placement.read_tokens
        placement.load.queued_tokens += placement.read_tokens

    def _stop_waiting(self, waiting: Waiting) -> None:
        """Count a request no longer at the target for which it waited."""
        load = self.loads.get(waiting.home)
        waiting.home = ''
        if load:
            left = load.queued_tokens - waiting.home_tokens
            load.queued_tokens = max(0.0, left)


def _stays_put(
    waiting: Waiting,
    outlooks: Outlooks,
    queue_s: float,
    now_s: float,
) -> bool:
    """Tell whether a request goes on waiting without a new placement."""
    home = outlooks.get(waiting.home)
    if home is None or now_s - waiting.placed_s > PLACEMENT_AGE_S:
        return False
    has_room = home.has_room(waiting.home_tokens, queue_s)
    return not (has_room and _may_take_room(waiting, home, now_s))


def _may_take_room(
    waiting: Waiting,
    outlook: TargetOutlook,
    now_s: float,
) -> bool:
    """Tell whether a request may take the room that its target has.

    One that has missed its objective takes only a target that reads
    nothing else, so that it delays none that is still on time.
    """
    if waiting.objective_ends_s > now_s:
        return True
    return outlook.load.unread_tokens + outlook.others.unread_tokens <= 0
