"""The fleet's budget of repeats, split among its instances: pure state.

Answers to callers and faults that would multiply work: repeats stay a share
of first attempts in every window, whatever fails.
"""

import dataclasses
from collections import deque
from typing import Protocol

# Part of the agreed budget that is used; the rest covers instances that
# have just started or are not known yet.
USED_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatLimits:
    """How many repeats the fleet may make.

    :param ratio: repeats per request
    :param extra: repeats beyond it in a window, for all instances together
    :param window_s: length of the window
    """

    ratio: float
    extra: float
    window_s: float


class WindowBudget:
    """Counts requests and repeats of one service in a sliding window."""

    def __init__(self, limits: RepeatLimits) -> None:
        """Start with no request."""
        self.limits = limits
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
        limits = self.limits
        allowed = USED_SHARE * (
            limits.ratio * len(self.requests) + limits.extra / max(1, instances)
        )
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        """Drop what has left the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] <= now_s - self.limits.window_s:
                times.popleft()


class InstanceCount(Protocol):
    """Tells how many instances share the budgets."""

    def __call__(self) -> int:
        """Return the number of instances, this one included."""


class Budgets:
    """The repeat budgets of all services."""

    def __init__(self, limits: RepeatLimits, instances: InstanceCount) -> None:
        """Start with no request."""
        self.limits = limits
        self.instances = instances
        self.by_service: dict[str, WindowBudget] = {}

    def note_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._budget(service).note_request(now_s)

    def take(self, service: str, now_s: float) -> bool:
        """Spend one repeat if the budget allows it."""
        return self._budget(service).take(now_s, self.instances())

    def change(self, limits: RepeatLimits) -> None:
        """Take in other limits; what was spent still counts."""
        self.limits = limits
        for budget in self.by_service.values():
            budget.limits = limits

    def _budget(self, service: str) -> WindowBudget:
        """Return the budget of one service."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = WindowBudget(self.limits)
            self.by_service[service] = budget
        return budget
