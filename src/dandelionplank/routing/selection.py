"""Choice of the target for a ticket."""

import dataclasses
from collections import OrderedDict
from collections.abc import Iterable

from dandelionplank.messages import Ticket
from dandelionplank.routing.limits import TargetSlots

AFFINITY_MARGIN = 0.15
MAX_PREFIXES = 4096


@dataclasses.dataclass(frozen=True)
class Choice:
    """A chosen target, why it was chosen and what was passed over."""

    slots: TargetSlots
    reason: str


class PrefixMemory:
    """Remembers approximately which target last read which prefix."""

    def __init__(self, capacity: int = MAX_PREFIXES) -> None:
        """Start with nothing remembered.

        :param capacity: prefixes kept; the oldest are forgotten first
        """
        self.capacity = capacity
        self.targets: OrderedDict[int, str] = OrderedDict()

    def remember(self, prefix: int, target: str) -> None:
        """Note that a target has read a prefix."""
        if not prefix:
            return
        self.targets[prefix] = target
        self.targets.move_to_end(prefix)
        if len(self.targets) > self.capacity:
            self.targets.popitem(last=False)

    def recall(self, prefix: int) -> str:
        """Return the target that last read a prefix, or nothing."""
        return self.targets.get(prefix, '')


def choose_target(
    ticket: Ticket,
    candidates: Iterable[TargetSlots],
    prefixes: PrefixMemory,
) -> Choice:
    """Choose the least loaded target; a cached prefix breaks near ties.

    :param ticket: the request to place
    :param candidates: targets with a free slot, at least one
    :param prefixes: what earlier requests have left in the caches
    """
    ordered = sorted(candidates, key=lambda each: (each.load, each.pace_s))
    best = ordered[0]
    passed = ','.join(
        f'{each.target.name}:{each.load:.2f}' for each in ordered[1:4]
    )
    cached = prefixes.recall(ticket.prefix)
    for each in ordered:
        if each.target.name != cached:
            continue
        if each.load <= best.load + AFFINITY_MARGIN:
            return Choice(each, f'prefix; over {passed}')
    return Choice(best, f'load {best.load:.2f}; over {passed}')
