"""Requests that wait for a target: pure state, no I/O and no clock.

Answers to demand beyond capacity, with accounts of very different size and
uneven callers at each instance: the account that received least, over the
whole fleet, goes next; inside an account the request whose objective ends
first. What has missed its objective waits behind all that can still meet it.
"""

import dataclasses
from collections.abc import Iterator, Mapping

from dandelionplank.routing.routes import Route
from dandelionplank.routing.work import TokenWork


@dataclasses.dataclass(slots=True, eq=False)
class Waiting:
    """A request that waits for a target.

    :param service: the service that answers it
    :param arrived_s: monotonic time of its arrival
    :param ends_s: monotonic time at which it is given up
    :param cost: cost in tokens, cached or not: what an account has received
        does not depend on what an engine happens to keep
    :param home: target for which it waits, empty if it has none
    :param placed_s: monotonic time at which that target was chosen
    :param avoided: targets that have failed it
    """

    request_id: str
    account: str
    route: Route
    service: str
    work: TokenWork | None
    arrived_s: float
    ends_s: float
    cost: float
    home: str = ''
    home_tokens: float = 0
    placed_s: float = 0
    avoided: tuple[str, ...] = ()

    @property
    def objective_ends_s(self) -> float:
        """Monotonic time after which the answer is late."""
        return self.arrived_s + self.route.objective_s


class WaitingRoom:
    """Requests of one service that wait, by account."""

    def __init__(self) -> None:
        """Start empty."""
        self.by_account: dict[str, list[Waiting]] = {}
        self.costs: dict[str, float] = {}
        self.count = 0

    def add(self, waiting: Waiting) -> None:
        """Let a request wait."""
        queue = self.by_account.setdefault(waiting.account, [])
        queue.append(waiting)
        queue.sort(key=_objective_of)
        self.count += 1
        self.costs[waiting.account] = (
            self.costs.get(waiting.account, 0) + waiting.cost
        )

    def remove(self, waiting: Waiting) -> bool:
        """Take a request out; tell whether it was waiting."""
        queue = self.by_account.get(waiting.account)
        if not queue or waiting not in queue:
            return False
        queue.remove(waiting)
        self.count -= 1
        self.costs[waiting.account] -= waiting.cost
        if not queue:
            self.by_account.pop(waiting.account)
            self.costs.pop(waiting.account)
        return True

    def everyone(self) -> list[Waiting]:
        """Return all requests that wait."""
        return [
            waiting for queue in self.by_account.values() for waiting in queue
        ]

    def in_order(
        self,
        levels: Mapping[str, float],
        now_s: float,
    ) -> Iterator[Waiting]:
        """Yield the requests in the order in which they are served.

        Accounts take turns by the service that they received, each turn
        adding the cost of the request that it gets.

        :param levels: cost that each account received lately, fleet-wide
        """
        for wants_late in (False, True):
            queues = {
                account: [
                    waiting
                    for waiting in queue
                    if (waiting.objective_ends_s <= now_s) is wants_late
                ]
                for account, queue in self.by_account.items()
            }
            yield from _take_turns(queues, levels)

    def cost_ahead(
        self,
        account: str,
        cost: float,
        levels: Mapping[str, float],
    ) -> float:
        """Return the cost that is served before a newcomer's turn ends.

        :param account: the newcomer's account
        :param cost: the newcomer's own cost
        :param levels: cost that each account received lately, fleet-wide
        """
        own = self.costs.get(account, 0) + cost
        reached = levels.get(account, 0) + own
        return own + sum(
            min(waiting, max(0.0, reached - levels.get(other, 0)))
            for other, waiting in self.costs.items()
            if other != account
        )


def _objective_of(waiting: Waiting) -> float:
    """Return when a request's objective ends."""
    return waiting.objective_ends_s


def _take_turns(
    queues: Mapping[str, list[Waiting]],
    levels: Mapping[str, float],
) -> Iterator[Waiting]:
    """Yield the first request of the account that stands lowest, again."""
    reached = {
        account: levels.get(account, 0)
        for account, queue in queues.items()
        if queue
    }
    position = dict.fromkeys(reached, 0)
    while reached:
        account = min(reached, key=reached.__getitem__)
        queue = queues[account]
        waiting = queue[position[account]]
        yield waiting
        position[account] += 1
        reached[account] += waiting.cost
        if position[account] == len(queue):
            reached.pop(account)
