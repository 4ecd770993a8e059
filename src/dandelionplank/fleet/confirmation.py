"""Choice of the instances that watch the store, and confirmation queries.

Designed for fleets in which a watch per instance would be the largest load
on the store: a few instances watch it, all other instances query one of them
for changes. A confirmation is dated to the start of the query, on the clock of
the querying instance, so that a delay in transit cannot make it look newer.
"""

import dataclasses
import random
from collections.abc import Sequence
from typing import Protocol

import msgspec

from dandelionplank.events import Event
from dandelionplank.fleet.changes import StoredChange, StoreRevision
from dandelionplank.fleet.peers import PeerLoadTable
from dandelionplank.fleet.view import FleetView
from dandelionplank.logs import log_event
from dandelionplank.routing.rendezvous import rank_instances

# Instances that watch the store; two of them may fail at the same time.
WATCHER_COUNT = 3
# Smallest fleet in which shared watches save store calls: a watcher renews
# its watch more often than an instance that watches only for itself.
MIN_SHARED_WATCH_FLEET = 8
# Maximum wait of an unshared watch, as a share of the view's change_bound_s.
# After a watch that hangs there is time for several short calls before keyed
# requests are refused.
WATCH_WAIT_SHARE = 0.25
# Maximum wait of a shared watch, as a share of the view's change_bound_s.
WATCHER_WAIT_SHARE = 0.1
# Age, as a share of change_bound_s, from which a confirmation by a watcher is
# too old to replace a call to the store.
CONFIRMED_AGE_SHARE = 0.4
QUERY_PERIOD_S = 0.5
QUERY_TIMEOUT_S = 0.1
# Watchers, and other instances, that are queried after a store call failed.
SUBSTITUTES_ASKED = 2


class ViewQuery(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Query for the revision and age of a watcher's view.

    :param number: number of the query, also in its response
    :param revision: revision of the store that the sender has reached
    """

    sender: str
    number: int
    revision: StoreRevision


class ViewResponse(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Revision and age of a view at the time of a query.

    :param revision: revision of the store that the view has reached
    :param age_s: time since that was confirmed as the latest revision
    :param reached: revision that the sender of the query reaches with the
        changes, its own if changes are missing
    """

    number: int
    revision: StoreRevision
    age_s: float
    reached: StoreRevision
    changes: tuple[StoredChange, ...] = ()


class ViewConfirmer(Protocol):
    """Queries the watchers to confirm that the view is current."""

    @property
    def watcher_role(self) -> 'WatcherRole':
        """Return the present watchers and the role of this instance."""

    async def query(self, role: 'WatcherRole') -> ViewResponse | None:
        """Query one of the watchers; return None if it does not respond."""


@dataclasses.dataclass(frozen=True, slots=True)
class WatcherRole:
    """Watchers of the store, as this instance sees the fleet.

    :param name: this instance
    :param is_shared: other instances rely on the watchers
    :param others: the other instances that do not watch for this one
    """

    name: str
    watchers: tuple[str, ...]
    is_shared: bool
    others: tuple[str, ...] = dataclasses.field(default=(), compare=False)

    @classmethod
    def from_fleet(
        cls, name: str, view: FleetView, peer_loads: PeerLoadTable
    ) -> 'WatcherRole':
        """Choose the watchers among the instances with a current report."""
        present = [
            peer
            for peer in view.peers
            if peer == name or peer in peer_loads.reports
        ]
        if len(present) < MIN_SHARED_WATCH_FLEET:
            # Nobody reports to an instance whose entry the store has dropped.
            others = _without(present, (name,)) or _without(
                tuple(view.peers), (name,)
            )
            return cls(name, (name,), False, others)
        watchers = rank_instances('watch', present)[:WATCHER_COUNT]
        others = _without(present, (name, *watchers))
        return cls(name, tuple(watchers), True, others)

    @property
    def is_watcher(self) -> bool:
        """Return whether this instance watches the store itself."""
        return self.name in self.watchers

    @property
    def wait_share(self) -> float:
        """Return the maximum wait of a watch, as a share of change_bound_s."""
        if not self.is_watcher:
            # The watchers are at another revision, or they do not respond.
            return 0
        return WATCHER_WAIT_SHARE if self.is_shared else WATCH_WAIT_SHARE

    def watcher_to_query(self, number: int) -> str:
        """Return the watcher to send a query to, chosen round robin."""
        return self.watchers[number % len(self.watchers)]

    def substitutes(self) -> list['WatcherRole']:
        """Return a role for each instance to query in place of the store.

        Watchers have the latest changes, but all of them may have lost the
        store while it still serves others.
        """
        watchers = _without(self.watchers, (self.name,))
        names = _sample(watchers) + _sample(self.others)
        return [WatcherRole(self.name, (name,), True) for name in names]


class ConfirmationLog:
    """Logs changes of the watchers, and when they stop to confirm a view."""

    def __init__(self, role: WatcherRole) -> None:
        """Hold the watchers at first."""
        self.role = role
        self.lost_why = ''

    def record_role(self, role: WatcherRole) -> None:
        """Hold the present watchers and log a change of them."""
        if role != self.role:
            log_event(
                Event.WATCHERS_CHOSEN,
                watchers=role.watchers,
                is_watcher=role.is_watcher,
            )
        self.role = role

    def record(self, lost_why: str, view_age_s: float) -> None:
        """Log when confirmations by watchers stop or resume.

        :param lost_why: empty if the view is confirmed
        """
        if bool(lost_why) != bool(self.lost_why):
            event = Event.VOUCHING_LOST if lost_why else Event.VOUCHING_BACK
            log_event(
                event,
                why=lost_why or self.lost_why,
                view_age_s=round(view_age_s, 2),
            )
        self.lost_why = lost_why


def _without(names: Sequence[str], left_out: Sequence[str]) -> tuple[str, ...]:
    """Return the names that are not left out."""
    return tuple(name for name in names if name not in left_out)


def _sample(names: Sequence[str]) -> list[str]:
    """Return a few of some names in random order."""
    return random.sample(names, min(len(names), SUBSTITUTES_ASKED))
