"""Selection of the target for a ticket."""

import dataclasses
from collections import OrderedDict
from collections.abc import Iterable

from dandelionplank.messages import Ticket
from dandelionplank.routing.limits import TargetSlots

AFFINITY_MARGIN = 0.15
MAX_PREFIXES = 4096


@dataclasses.dataclass(frozen=True)
class TargetChoice:
    """A chosen target.

    :param reason: why it was chosen, and over which alternatives
    """

    slots: TargetSlots
    reason: str


class PrefixAffinity:
    """Estimates which target last prefilled a prefix."""

    def __init__(self, capacity: int = MAX_PREFIXES) -> None:
        """Hold the last target of each prefix.

        :param capacity: maximum number of prefixes; the oldest are evicted
        """
        self.capacity = capacity
        self.targets: OrderedDict[int, str] = OrderedDict()

    def record(self, prefix: int, target: str) -> None:
        """Record that a target has prefilled a prefix."""
        if not prefix:
            return
        self.targets[prefix] = target
        self.targets.move_to_end(prefix)
        if len(self.targets) > self.capacity:
            self.targets.popitem(last=False)

    def last_target(self, prefix: int) -> str:
        """Return the target that last prefilled a prefix, empty if none."""
        return self.targets.get(prefix, '')


def choose_target(
    ticket: Ticket,
    candidates: Iterable[TargetSlots],
    prefixes: PrefixAffinity,
) -> TargetChoice:
    """Choose the least loaded target; a cached prefix breaks near ties.

    :param ticket: the request to place
    :param candidates: targets with a free slot, at least one
    :param prefixes: the target that last prefilled each prefix
    """
    ordered = sorted(candidates, key=lambda each: (each.load, each.pace_s))
    best = ordered[0]
    alternatives = ','.join(
        f'{each.target.name}:{each.load:.2f}' for each in ordered[1:4]
    )
    cached = prefixes.last_target(ticket.prefix)
    for each in ordered:
        if each.target.name != cached:
            continue
        if each.load <= best.load + AFFINITY_MARGIN:
            return TargetChoice(each, f'prefix; over {alternatives}')
    return TargetChoice(best, f'load {best.load:.2f}; over {alternatives}')
