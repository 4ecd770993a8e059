"""The fleet's budget of repeats, split among its instances: pure state.

Answers to callers and faults that would multiply work: repeats stay a share
of first attempts in every window, whatever fails.
"""

from collections import deque

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
