"""Which instance assigns the cold targets of a pool: pure state, no I/O.

Two owners of a pool at a time would both use the rate of its cold targets.
While views of the fleet differ, only an instance that is the first in its own
view, hears from a majority of the fleet and has done so for a while is in
charge. If there is none, cold targets get nothing: they are few, and cold for
seconds.
"""

import copy
import math
from collections.abc import Mapping

from dandelionplank.fleet.peers import PeerLoadTable, ReceivedReport
from dandelionplank.fleet.view import FleetView
from dandelionplank.routing.coldstart import INFORMED_AGE_S
from dandelionplank.routing.rendezvous import rank_instances

# Time for which an instance must have been the first before it is in charge.
# The one before it learns of it by a report meanwhile: in the largest fleet
# reports are 1.5 s apart.
HANDOVER_S = 2.0
# An instance counts as heard of for this share of the time for which its
# reports are kept, so that one that is cut off ends before another begins.
HEARD_SHARE = 0.5
# The state of the fleet is read again after this time.
MAX_AGE_S = 0.05


class ColdOwners:
    """Decides whether this instance is in charge of a queue's cold targets.

    :param is_leaving: this instance is shutting down
    """

    def __init__(
        self, name: str, view: FleetView, peer_loads: PeerLoadTable
    ) -> None:
        """Hold the view and the reports of the other instances."""
        self.name = name
        self.view = view
        self.peer_loads = peer_loads
        self.is_leaving = False
        self.absent_since_s: dict[str, float] = {}
        self.heard_since_s = math.inf
        self.has_contact = True
        self.updated_s = -math.inf

    def detached(self) -> 'ColdOwners':
        """Return a copy whose updates have no effect on this one."""
        copied = copy.copy(self)
        copied.absent_since_s = dict(self.absent_since_s)
        return copied

    def is_in_charge(self, queue: str, now_s: float) -> bool:
        """Return whether this instance assigns the cold targets of a queue."""
        self.update(now_s)
        if self.is_leaving or not self._is_assigning(queue):
            return False
        latest_s = now_s - HANDOVER_S
        if self.heard_since_s > latest_s:
            return False
        for peer in rank_instances(queue, list(self.view.peers)):
            if peer == self.name:
                return True
            if self.absent_since_s.get(peer, math.inf) > latest_s:
                return False
        return False

    def is_informed(self, now_s: float) -> bool:
        """Return whether coldness that began lately would be known here.

        One that is cut off or was frozen does not know it, and nobody does
        while the store fails.
        """
        self.update(now_s)
        return self.has_contact

    def update(self, now_s: float) -> None:
        """Note which instances are present; called several times a second."""
        if now_s - self.updated_s < MAX_AGE_S:
            return
        # After a gap, as of a process that was frozen, nothing is known of it.
        if now_s - self.updated_s > HANDOVER_S:
            self.heard_since_s = math.inf
            self.absent_since_s.clear()
        self.updated_s = now_s
        self.has_contact = self._is_in_contact(now_s)
        reports = self.peer_loads.reports
        peers = self.view.peers
        absent = {
            peer
            for peer in peers
            if peer not in reports or reports[peer].report.is_leaving
        }
        self.absent_since_s = {
            peer: self.absent_since_s.get(peer, now_s) for peer in absent
        }
        if not self._hears_majority(now_s):
            self.heard_since_s = math.inf
        elif self.heard_since_s == math.inf:
            self.heard_since_s = now_s

    def _is_in_contact(self, now_s: float) -> bool:
        """Return whether this instance or one it hears from has the store."""
        peers_age_s = self.peer_loads.min_view_age_s(now_s)
        return min(self.view.age_s, peers_age_s) < INFORMED_AGE_S

    def _hears_majority(self, now_s: float) -> bool:
        """Return whether this instance hears from most of the fleet.

        Of two halves, the one with the first of all names counts.
        """
        if self.name not in self.view.peers:
            return False
        reports = self.peer_loads.reports
        known = {*self.view.peers, *reports}
        heard = {
            peer
            for peer in known
            if peer == self.name or _is_heard(reports, peer, now_s)
        }
        surplus = 2 * len(heard) - len(known)
        return surplus > 0 or (surplus == 0 and min(known) in heard)

    def _is_assigning(self, queue: str) -> bool:
        """Return whether a queue is the one that assigns its cold targets.

        Engines are assigned by the owners of their pools, plain targets by the
        owner of their service. The same target is in the queue of the whole
        service too, which instances that decide alone use.
        """
        if not self.peer_loads.reports:
            return True
        service, is_pool, _ = queue.rpartition('#')
        table = self.view.table
        known = table.services.get(service or queue) if table else None
        is_model = known is not None and known.memory is not None
        return bool(is_pool) == is_model


def _is_heard(
    reports: Mapping[str, ReceivedReport], peer: str, now_s: float
) -> bool:
    """Return whether a report of an instance has arrived lately."""
    received = reports.get(peer)
    if received is None:
        return False
    age_s = now_s - received.received_s
    return received.is_fresh(received.received_s + age_s / HEARD_SHARE)
