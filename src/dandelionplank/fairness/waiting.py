"""Queue of requests that wait for a target, without I/O or a clock.

Designed for demand beyond capacity, from accounts of very different size
whose callers are spread unevenly over the instances. The account that has
received the least service, fleet-wide, is served next; within an account, the
request with the earliest objective deadline. Requests that have missed their
objective are served after all other requests.
"""

import dataclasses
from collections.abc import Iterator, Mapping

from dandelionplank.routing.work import TokenWork


@dataclasses.dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for a target.

    :param objective_s: time from the arrival after which a response misses
        its objective
    :param service: name of the service to call, or of the queue of a pool
    :param arrived_s: monotonic time of its arrival
    :param deadline_s: monotonic time at which it times out
    :param cost: cost in tokens, cached or not, so that the service charged to
        an account does not depend on the engines' prefix caches
    :param assigned_target: target that it waits for, empty if it has none
    :param placed_s: monotonic time at which that target was chosen
    :param avoided: targets at which an earlier attempt failed, or that want no
        request of the instance that sends it
    :param is_ticket: another instance sends it
    :param accepts_reread: a prefix that busy targets cache is prefilled again
        rather than waited for
    :param versions: software versions of the targets that may take it, none
        for any
    :param delay_s: by how much the event loop of the instance that sends it is
        late
    """

    request_id: str
    account: str
    objective_s: float
    service: str
    work: TokenWork | None
    arrived_s: float
    deadline_s: float
    cost: float
    assigned_target: str = ''
    uncached_tokens: float = 0
    placed_s: float = 0
    avoided: tuple[str, ...] = ()
    is_ticket: bool = False
    accepts_reread: bool = False
    versions: tuple[str, ...] = ()
    delay_s: float = 0

    @property
    def objective_deadline_s(self) -> float:
        """Monotonic time after which a response misses the objective."""
        return self.arrived_s + self.objective_s


class WaitingQueue:
    """Waiting requests of one service, by account."""

    def __init__(self) -> None:
        """Hold the requests and the sum of their costs by account."""
        self.by_account: dict[str, list[WaitingRequest]] = {}
        self.costs: dict[str, float] = {}
        self.count = 0

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        queue = self.by_account.setdefault(waiting.account, [])
        queue.append(waiting)
        queue.sort(key=_objective_deadline)
        self.count += 1
        self.costs[waiting.account] = (
            self.costs.get(waiting.account, 0) + waiting.cost
        )

    def remove(self, waiting: WaitingRequest) -> bool:
        """Remove a request; return whether it was waiting."""
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

    def all_requests(self) -> list[WaitingRequest]:
        """Return all waiting requests."""
        return [
            waiting for queue in self.by_account.values() for waiting in queue
        ]

    def in_fair_order(
        self,
        levels: Mapping[str, float],
        now_s: float,
    ) -> Iterator[WaitingRequest]:
        """Yield the requests in the order in which they are served.

        The account with the lowest service level is always next; the cost of
        each request it is given is added to its level.

        :param levels: cost recently served to each account, fleet-wide
        """
        for is_late in (False, True):
            queues = {
                account: [
                    waiting
                    for waiting in queue
                    if (waiting.objective_deadline_s <= now_s) is is_late
                ]
                for account, queue in self.by_account.items()
            }
            yield from _merge_fairly(queues, levels)

    def cost_ahead(
        self,
        account: str,
        cost: float,
        levels: Mapping[str, float],
    ) -> float:
        """Return the cost served up to and including a new request.

        :param account: account of the new request
        :param cost: cost of the new request
        :param levels: cost recently served to each account, fleet-wide
        """
        own = self.costs.get(account, 0) + cost
        reached = levels.get(account, 0) + own
        return own + sum(
            min(waiting, max(0.0, reached - levels.get(other, 0)))
            for other, waiting in self.costs.items()
            if other != account
        )


def _objective_deadline(waiting: WaitingRequest) -> float:
    """Return a request's objective deadline."""
    return waiting.objective_deadline_s


def _merge_fairly(
    queues: Mapping[str, list[WaitingRequest]],
    levels: Mapping[str, float],
) -> Iterator[WaitingRequest]:
    """Yield all requests, each from the account with the lowest level."""
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
