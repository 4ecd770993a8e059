"""Where a request goes: pure decisions, no I/O and no clock.

Answers to loads whose prompts share long prefixes: reading a prefix once
more costs capacity, so a request waits for the target that keeps it unless
reading it elsewhere is cheaper than the wait. A prefix that no target keeps
goes to the least loaded one. Every instance ranks targets for a subject
alike, so that they choose alike before they have heard of each other's choice.
"""

import dataclasses
import heapq
from collections.abc import Iterable, Mapping, Sequence, Set
from types import MappingProxyType

from dandelionplank.fleet.peers import PeerBoard, TargetShare
from dandelionplank.routing.load import QUEUE_S, TargetLoad
from dandelionplank.routing.rendezvous import pick_instance
from dandelionplank.routing.work import TokenWork

# What reading a prefix once more costs beyond its own time: it delays the
# streams there and pushes other prefixes out.
REREAD_WEIGHT = 10.0
# A prompt of which no engine keeps more than this is cold.
COLD_TOKENS = 64
# Advantage of a cold subject's home, so that instances that see it first at
# the same time choose alike, in seconds.
HOME_S = 0.1
# Cost of one expected failure for each good answer: in seconds for a prompt,
# and as a multiple of the work ahead for a plain request, since a target that
# fails at once always looks idle.
FAILURE_COST_S = 1.0
PLAIN_FAILURE_COST = 10.0
# Advantage of a target in the same data centre, in seconds.
NEARNESS_S = 0.005
# Targets weighed for a prompt besides those that keep its subject.
IDLEST = 16
# Prompt parts at a target that keeps none.
NOTHING_KEPT: Mapping[str, int] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The target chosen for a request.

    :param outlook: the target and what all instances put on it
    :param read_tokens: tokens that it must read
    :param wait_s: expected time until it begins to read, as far as this
        instance's requests and those that the target holds decide it
    :param others_wait_s: time to read what waits at the other instances
    :param has_room: the request may be sent now
    """

    outlook: 'TargetOutlook'
    read_tokens: float
    wait_s: float
    others_wait_s: float
    has_room: bool

    @property
    def load(self) -> TargetLoad:
        """Load that this instance put on the target."""
        return self.outlook.load

    @property
    def first_event_s(self) -> float:
        """Expected time until the prompt is read."""
        reading_s = self.load.reading_s(self.read_tokens)
        return self.wait_s + self.others_wait_s + reading_s


class TargetOutlook:
    """A target's load with what the other instances put on it.

    Added up once for all placements of one pass; the load itself stays live.
    """

    __slots__ = (
        'advantage_s',
        'failure_odds',
        'kept',
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
        """Take in the load of the others.

        :param data_center: where the request would be sent from
        """
        self.load = load
        self.others = others
        self.others_tokens = others.unread_tokens + others.queued_tokens
        self.kept = load.residency.parts if load.residency else NOTHING_KEPT
        self.failure_odds = load.health.failure_odds(now_s)
        is_near = load.target.data_center == data_center
        self.advantage_s = NEARNESS_S if is_near else 0.0

    @property
    def ahead_tokens(self) -> float:
        """Tokens that are read before a new request's."""
        load = self.load
        return load.unread_tokens + load.queued_tokens + self.others_tokens

    def cost_s(self, tokens: float) -> float:
        """Return the expected time until tokens are read, with advantages."""
        reading_s = self.load.reading_s(self.ahead_tokens + tokens)
        failure_s = self.failure_odds * FAILURE_COST_S
        return reading_s + failure_s - self.advantage_s

    def idle_cost_s(self) -> float:
        """Return the expected time until a new request's turn."""
        return self.cost_s(0)

    def plain_cost(self, now_s: float) -> float:
        """Return the expected cost of one more plain request."""
        ahead = self.load.plain_load(self.others, now_s)
        failures = self.failure_odds * PLAIN_FAILURE_COST
        return ahead * (1 + failures) - self.advantage_s

    def has_room(self, read_tokens: float, queue_s: float) -> bool:
        """Tell whether a request may be sent now.

        :param queue_s: work that may wait inside the target
        """
        return self.load.has_room(read_tokens, self.others, queue_s)


Outlooks = Mapping[str, TargetOutlook]


class PlacementPolicy:
    """Chooses among the targets of one service."""

    def __init__(
        self,
        data_center: str,
        loads: Mapping[str, TargetLoad],
        peers: PeerBoard,
    ) -> None:
        """Keep references to the state that decisions rest on."""
        self.data_center = data_center
        self.loads = loads
        self.peers = peers
        self.homes: dict[str, str] = {}
        self.ranked: Set[str] = frozenset()

    def look(self, names: Iterable[str], now_s: float) -> Outlooks:
        """Return the targets of a service as they stand now."""
        share_of = self.peers.share_of
        return {
            name: TargetOutlook(
                self.loads[name],
                share_of(name),
                self.data_center,
                now_s,
            )
            for name in names
        }

    def choose(
        self,
        outlooks: Outlooks,
        work: TokenWork | None,
        now_s: float,
        queue_s: float,
        avoided: Sequence[str] = (),
    ) -> Placement | None:
        """Return the cheapest target, or nothing if there is none.

        :param outlooks: sound targets of the service
        :param work: size of a model's work, none for plain requests
        :param queue_s: work that may wait inside the target
        :param avoided: targets that have failed this request
        """
        usable = outlooks
        if avoided:
            usable = {
                name: outlook
                for name, outlook in outlooks.items()
                if name not in avoided
            }
        if not usable:
            return None
        is_model = next(iter(usable.values())).load.residency is not None
        if work is None or not is_model:
            return _least_loaded(usable, now_s)
        return self._cheapest(usable, work, queue_s)

    def _cheapest(
        self,
        outlooks: Outlooks,
        work: TokenWork,
        queue_s: float,
    ) -> Placement:
        """Return the engine where wait and reading cost least."""
        found = _candidates(outlooks, work.subject)
        unread = {
            name: outlook.load.tokens_to_read(work)
            for name, outlook in found.items()
        }
        fewest = min(unread.values())
        costs = {
            name: outlook.cost_s(_weighed(unread[name], fewest))
            for name, outlook in found.items()
        }
        if fewest >= work.read_tokens - COLD_TOKENS:
            home = self._home(outlooks.keys(), work.subject)
            unread[home] = outlooks[home].load.tokens_to_read(work)
            whole = _weighed(unread[home], fewest)
            costs[home] = outlooks[home].cost_s(whole) - HOME_S
        best = min(costs, key=costs.__getitem__)
        chosen = outlooks[best]
        others_tokens = chosen.others.queued_tokens
        return Placement(
            chosen,
            unread[best],
            chosen.load.reading_s(chosen.ahead_tokens - others_tokens),
            chosen.load.reading_s(others_tokens),
            chosen.has_room(unread[best], queue_s),
        )

    def _home(self, names: Set[str], subject: str) -> str:
        """Return the target that all instances prefer for a subject."""
        if names != self.ranked:
            self.ranked = frozenset(names)
            self.homes.clear()
        home = self.homes.get(subject)
        if home is None:
            home = pick_instance(subject, self.ranked)
            self.homes[subject] = home
        return home


def _candidates(outlooks: Outlooks, subject: str) -> dict[str, TargetOutlook]:
    """Return the targets that keep a subject, and the idlest ones.

    A cost for each of them is enough: what keeps nothing of a prompt and is
    busier than the idlest ones is no better than they are.
    """
    idlest = heapq.nsmallest(
        IDLEST,
        outlooks.values(),
        key=TargetOutlook.idle_cost_s,
    )
    found = {outlook.load.target.name: outlook for outlook in idlest}
    found.update(
        (name, outlook)
        for name, outlook in outlooks.items()
        if subject in outlook.kept
    )
    return found


def _least_loaded(outlooks: Outlooks, now_s: float) -> Placement:
    """Return the plain target with the least work ahead."""
    best = min(
        outlooks.values(),
        key=lambda outlook: outlook.plain_cost(now_s),
    )
    return Placement(best, 0, 0, 0, best.has_room(0, QUEUE_S))


def _weighed(tokens: float, fewest: float) -> float:
    """Return tokens to read, those beyond the best engine's weighing more."""
    return tokens + (tokens - fewest) * REREAD_WEIGHT
