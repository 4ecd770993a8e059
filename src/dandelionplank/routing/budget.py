"""The fleet's retry budget, split among its instances: pure state.

Limits retries to a share of first attempts in every window, whatever fails,
so that callers and faults cannot multiply the work of the targets.
"""

import dataclasses
from collections import deque
from typing import Protocol

# Fraction of the agreed budget that is used. The rest covers instances that
# have just started or are not known yet.
USED_SHARE = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """How many retries the fleet may make.

    :param ratio: retries per request
    :param extra: additional retries in a window, for all instances together
    :param window_s: length of the window
    """

    ratio: float
    extra: float
    window_s: float


class WindowRetryBudget:
    """Counts requests and retries of one service in a sliding window."""

    def __init__(self, limits: RetryLimits) -> None:
        """Hold the times of the requests and retries in the window."""
        self.limits = limits
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self.requests.append(now_s)
        self._drop_expired(now_s)

    def has_retry(self, now_s: float, instances: int) -> bool:
        """Return whether this instance's part allows one more retry.

        :param instances: instances that share the budget, this one included
        """
        self._drop_expired(now_s)
        limits = self.limits
        allowed = USED_SHARE * (
            limits.ratio * len(self.requests) + limits.extra / max(1, instances)
        )
        return len(self.retries) + 1 <= allowed

    def take(self, now_s: float, instances: int) -> bool:
        """Spend a retry and return whether this instance's part allows it."""
        if not self.has_retry(now_s, instances):
            return False
        self.retries.append(now_s)
        return True

    def _drop_expired(self, now_s: float) -> None:
        """Drop requests and retries that have left the window."""
        for times in (self.requests, self.retries):
            while times and times[0] <= now_s - self.limits.window_s:
                times.popleft()


class InstanceCount(Protocol):
    """Returns how many instances share the budgets."""

    def __call__(self) -> int:
        """Return the number of instances, this one included."""


class ServiceRetryBudgets:
    """The retry budgets of all services."""

    def __init__(self, limits: RetryLimits, instances: InstanceCount) -> None:
        """Hold the budgets by service.

        :param instances: returns how many instances share the budgets
        """
        self.limits = limits
        self.instances = instances
        self.by_service: dict[str, WindowRetryBudget] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._budget(service).record_request(now_s)

    def has_retry(self, service: str, now_s: float) -> bool:
        """Return whether the budget of a service allows one more retry."""
        return self._budget(service).has_retry(now_s, self.instances())

    def take(self, service: str, now_s: float) -> bool:
        """Spend one retry if the budget allows it; return whether it does."""
        return self._budget(service).take(now_s, self.instances())

    def update_limits(self, limits: RetryLimits) -> None:
        """Replace the limits; retries already spent still count."""
        self.limits = limits
        for budget in self.by_service.values():
            budget.limits = limits

    def _budget(self, service: str) -> WindowRetryBudget:
        """Return the budget of one service."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = WindowRetryBudget(self.limits)
            self.by_service[service] = budget
        return budget
