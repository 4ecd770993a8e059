"""Who reads the store for the fleet, and proofs that instances ask for.

Answers to fleets in which every instance's own watch would be the largest
use of the store: a few instances watch, the others ask one of them whether
anything has changed. A proof counts from the moment of the question, by the
clock of the one who asked, so that no delay on the way makes it younger.
"""

import dataclasses
from typing import Protocol

import msgspec

from dandelionplank.fleet.peers import PeerBoard
from dandelionplank.fleet.view import FleetView
from dandelionplank.routing.rendezvous import rank_instances

# Instances that watch the store, enough for two to be lost at once.
WATCHERS = 3
# Smallest fleet in which this saves calls: watchers repeat their watches
# more often than an instance that watches for itself.
VOUCHING_FLEET = 8
# Part of the bound on revoked keys that a watcher's watch waits.
WATCHER_SHARE = 0.1
# A vouched view that is older than this part of the bound is not enough.
VOUCHED_SHARE = 0.4
ASK_PERIOD_S = 0.5
ASK_TIMEOUT_S = 0.1


class ViewQuestion(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks an instance how current it is.

    :param number: number of the question, to tell its answer
    """

    sender: str
    number: int


class ViewAnswer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What an instance knew when it was asked.

    :param revision: revision of the store that it has reached
    :param age_s: time since the store stood at no later revision
    """

    number: int
    revision: int
    age_s: float


class Voucher(Protocol):
    """Asks other instances for proofs."""

    @property
    def duty(self) -> 'WatchDuty':
        """Who watches the store."""

    async def ask(self, duty: 'WatchDuty') -> ViewAnswer | None:
        """Return the answer of one of the watchers, none if it is silent."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatchDuty:
    """Who watches the store, as this instance sees the fleet.

    :param name: this instance
    :param is_shared: others rely on the watchers
    """

    name: str
    watchers: tuple[str, ...]
    is_shared: bool

    @classmethod
    def from_fleet(
        cls, name: str, view: FleetView, board: PeerBoard
    ) -> 'WatchDuty':
        """Choose the watchers among the instances that are heard."""
        present = [
            peer for peer in view.peers if peer == name or peer in board.heard
        ]
        if len(present) < VOUCHING_FLEET:
            return cls(name, (name,), is_shared=False)
        watchers = rank_instances('watch', present)[:WATCHERS]
        return cls(name, tuple(watchers), is_shared=True)

    @property
    def is_watcher(self) -> bool:
        """Whether this instance reads the store itself."""
        return self.name in self.watchers

    def watcher_to_ask(self, number: int) -> str:
        """Return the watcher for a question; they take turns."""
        return self.watchers[number % len(self.watchers)]
