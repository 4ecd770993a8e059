"""Owners of pools, as one instance sees the fleet: pure state, no I/O.

Designed for owners that are frozen, cut off or killed in series: one that does
not answer is not asked for a while, which doubles each time.
"""

import dataclasses

from dandelionplank.fleet.peers import PeerLoadTable
from dandelionplank.fleet.view import FleetView
from dandelionplank.metrics import METRICS
from dandelionplank.routing.rendezvous import rank_instances

# Smallest fleet with owners. Two instances that decide alone, each for its own
# callers, serve the accounts of one before those of the other.
MIN_POOLED_FLEET = 2
# Owners that are asked for one pool.
OWNERS_ASKED = 2
# First and longest time for which a silent owner is not asked.
FIRST_SUSPICION_S = 0.5
LONGEST_SUSPICION_S = 8.0
# The owners of a pool are determined again after this time.
OWNERS_MAX_AGE_S = 0.2


@dataclasses.dataclass(slots=True)
class Suspicion:
    """An instance that did not answer a ticket.

    :param until_s: monotonic time until which it is not asked
    """

    until_s: float
    length_s: float


class OwnerDirectory:
    """Determines the owners of pools as this instance sees the fleet."""

    def __init__(
        self, name: str, view: FleetView, peer_loads: PeerLoadTable
    ) -> None:
        """Hold the view and the reports of the other instances."""
        self.name = name
        self.view = view
        self.peer_loads = peer_loads
        self.suspicions: dict[str, Suspicion] = {}
        self.ranked: dict[str, tuple[float, list[str]]] = {}

    @property
    def is_pooled(self) -> bool:
        """Return whether other instances send to the same engines."""
        return len(self.peer_loads.reports) + 1 >= MIN_POOLED_FLEET

    def owners_of(self, queue: str, now_s: float) -> list[str]:
        """Return the owner of a pool and the instances that follow it."""
        ranked_s, _ = self.ranked.get(queue, (float('-inf'), []))
        owners = self.current_owners(queue, now_s)
        if now_s - ranked_s > OWNERS_MAX_AGE_S:
            self.ranked[queue] = (now_s, owners)
        return owners

    def current_owners(self, queue: str, now_s: float) -> list[str]:
        """Return the same owners, without any effect on later calls."""
        ranked_s, owners = self.ranked.get(queue, (float('-inf'), []))
        if now_s - ranked_s <= OWNERS_MAX_AGE_S:
            return owners
        return rank_instances(queue, self._present(now_s))[:OWNERS_ASKED]

    def record_silent(self, owner: str, sent_s: float, now_s: float) -> None:
        """Record that an owner did not answer; it is not asked for a while.

        Tickets sent before the last suspicion ended show the same silence.

        :param sent_s: monotonic time at which its ticket was sent
        """
        METRICS.add('pool_owners_silent_total')
        known = self.suspicions.get(owner)
        if known and sent_s < known.until_s:
            return
        length_s = FIRST_SUSPICION_S
        if known:
            length_s = min(LONGEST_SUSPICION_S, known.length_s * 2)
        self.suspicions[owner] = Suspicion(now_s + length_s, length_s)
        self.ranked.clear()

    def record_answer(self, owner: str) -> None:
        """Record that an owner answered."""
        self.suspicions.pop(owner, None)

    def count_suspected(self, now_s: float) -> int:
        """Return how many instances are not asked at present."""
        return sum(
            now_s < suspicion.until_s for suspicion in self.suspicions.values()
        )

    def _present(self, now_s: float) -> list[str]:
        """Return the instances that may own a pool."""
        return [
            peer
            for peer in self.view.peers
            if peer == self.name or self._may_own(peer, now_s)
        ]

    def _may_own(self, peer: str, now_s: float) -> bool:
        """Return whether another instance may own a pool."""
        received = self.peer_loads.reports.get(peer)
        if received is None or received.report.is_leaving:
            return False
        suspicion = self.suspicions.get(peer)
        return suspicion is None or now_s >= suspicion.until_s
