"""Where a request goes: pure decisions, no I/O and no clock.

Answers to loads whose prompts share long prefixes: reading a prefix once
more costs capacity, so a request waits for the target that keeps it unless
reading it elsewhere is cheaper than the wait. A prefix that no target keeps
goes to the least loaded one. Every instance ranks targets for a subject
alike, so that they choose alike before they have heard of each other's choice.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from dandelionplank.fleet.peers import PeerBoard, TargetShare
from dandelionplank.routing.load import TargetLoad
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
# Cost of a target per unit of its smoothed share of failures, in seconds.
FAILURE_COST_S = 2.0
# Advantage of a target in the same data centre, in seconds.
NEARNESS_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The target chosen for a request.

    :param read_tokens: tokens that it must read
    :param wait_s: expected time until it begins to read
    :param has_room: the request may be sent now
    """

    load: TargetLoad
    read_tokens: float
    wait_s: float
    has_room: bool

    @property
    def first_event_s(self) -> float:
        """Expected time until the prompt is read."""
        return self.wait_s + self.load.reading_s(self.read_tokens)


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
        self.ranked: tuple[str, ...] = ()

    def choose(
        self,
        names: Sequence[str],
        work: TokenWork | None,
        now_s: float,
        avoided: Iterable[str] = (),
    ) -> Placement | None:
        """Return the cheapest target, or nothing if there is none.

        :param names: sound targets of the service
        :param work: size of a model's work, none for plain requests
        :param avoided: targets that have failed this request
        """
        usable = [name for name in names if name not in avoided]
        if not usable:
            return None
        if work is None or self.loads[usable[0]].residency is None:
            return self._least_loaded(usable, now_s)
        return self._cheapest(usable, work, self._home(names, work.subject))

    def _least_loaded(self, names: list[str], now_s: float) -> Placement:
        """Return the plain target with the least work ahead."""
        costs = {
            name: self._plain_cost(self.loads[name], now_s) for name in names
        }
        best = min(names, key=costs.__getitem__)
        load = self.loads[best]
        return Placement(
            load,
            0,
            0,
            load.has_room(0, self.peers.share_of(best)),
        )

    def _plain_cost(self, load: TargetLoad, now_s: float) -> float:
        """Return the expected cost of one more plain request."""
        ahead = load.plain_load(self.peers.share_of(load.target.name), now_s)
        failures = load.health.failure_share * FAILURE_COST_S
        return ahead * (1 + failures) - self._advantage(load, '')

    def _cheapest(
        self,
        names: list[str],
        work: TokenWork,
        home: str,
    ) -> Placement:
        """Return the engine where wait and reading cost least."""
        unread = {name: self.loads[name].tokens_to_read(work) for name in names}
        fewest = min(unread.values())
        is_cold = fewest >= work.read_tokens - COLD_TOKENS
        preferred = home if is_cold else ''
        costs = {
            name: self._cost(name, read_tokens, read_tokens - fewest)
            - self._advantage(self.loads[name], preferred)
            for name, read_tokens in unread.items()
        }
        best = min(names, key=costs.__getitem__)
        load = self.loads[best]
        others = self.peers.share_of(best)
        return Placement(
            load,
            unread[best],
            load.reading_s(_ahead(load, others)),
            load.has_room(unread[best], others),
        )

    def _cost(self, name: str, read_tokens: float, again: float) -> float:
        """Return the expected cost of a prompt at an engine, in seconds.

        :param again: tokens beyond those that the best engine must read
        """
        load = self.loads[name]
        ahead = _ahead(load, self.peers.share_of(name))
        return (
            load.reading_s(ahead + read_tokens + again * REREAD_WEIGHT)
            + load.health.failure_share * FAILURE_COST_S
        )

    def _advantage(self, load: TargetLoad, home: str) -> float:
        """Return the advantage of the home and of a near target, in seconds."""
        advantage_s = 0.0
        if load.target.name == home:
            advantage_s += HOME_S
        if load.target.data_center == self.data_center:
            advantage_s += NEARNESS_S
        return advantage_s

    def _home(self, names: Sequence[str], subject: str) -> str:
        """Return the target that all instances prefer for a subject."""
        ranked = tuple(names)
        if ranked != self.ranked:
            self.ranked = ranked
            self.homes.clear()
        home = self.homes.get(subject)
        if home is None:
            home = pick_instance(subject, ranked)
            self.homes[subject] = home
        return home


def _ahead(load: TargetLoad, others: TargetShare) -> float:
    """Return the tokens that are read before a new request's."""
    return (
        load.unread_tokens
        + load.queued_tokens
        + others.unread_tokens
        + others.queued_tokens
    )
