"""The fleet's budget of repeats, split among its instances: pure state.

Answers to callers and faults that would multiply work: repeats stay a share
of first attempts in every window, whatever fails.
"""

from collections import deque
from typing import Protocol

# Part of the agreed budget that is used; the rest covers instances that
# have just started or are not known yet.
USED_SHARE = 0.6


class WindowBudget:
    """Counts requests and repeats of one service in a sliding window."""

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        """Start with no request.

        :param ratio: repeats per request that the fleet may make
        :param extra: repeats beyond it, for all instances together
        :param window_s: length of the window
        """
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self.requests.append(now_s)
        self._forget(now_s)

    def take(self, now_s: float, instances: int) -> bool:
        """Spend one repeat if this instance's part allows it.

        :param instances: instances that share the budget, this one included
        """
        self._forget(now_s)
        allowed = USED_SHARE * (
            self.ratio * len(self.requests) + self.extra / max(1, instances)
        )
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        """Drop what has left the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] <= now_s - self.window_s:
                times.popleft()


class InstanceCount(Protocol):
    """Tells how many instances share the budgets."""

    def __call__(self) -> int:
        """Return the number of instances, this one included."""


class Budgets:
    """The repeat budgets of all services."""

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_s: float,
        instances: InstanceCount,
    ) -> None:
        """Keep the agreed figures; see :class:`WindowBudget`."""
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.instances = instances
        self.by_service: dict[str, WindowBudget] = {}

    def note_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._budget(service).note_request(now_s)

    def take(self, service: str, now_s: float) -> bool:
        """Spend one repeat if the budget allows it."""
        return self._budget(service).take(now_s, self.instances())

    def change(self, ratio: float, extra: float, window_s: float) -> None:
        """Take in other figures; what was spent still counts."""
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        for budget in self.by_service.values():
            budget.ratio = ratio
            budget.extra = extra
            budget.window_s = window_s

    def _budget(self, service: str) -> WindowBudget:
        """Return the budget of one service."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = WindowBudget(self.ratio, self.extra, self.window_s)
            self.by_service[service] = budget
        return budget
