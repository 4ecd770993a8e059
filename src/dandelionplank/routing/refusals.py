"""Refusals that were given several times in a row: pure state, no I/O.

Asking the scheduler, or the owner of a pool over the network, costs as much for
a refused request as for a granted one. An overloaded instance answers the next
requests of an account like the last ones, and asks again after a short time.
"""

import dataclasses
import math

# Refusals in a row after which the next requests are not asked for.
REPEATED_REFUSALS = 3
# Refusals further apart are not in a row.
LONGEST_GAP_S = 0.5
# Time for which a refusal is repeated. Targets hold several hundred
# milliseconds of work when they refuse, so that none becomes idle meanwhile.
REPEATED_S = 0.05
# Likewise for an account that is behind others, which is to get the next
# capacity.
BEHIND_REPEATED_S = 0.02
# Once the time is over, one request is asked for in this time until there is
# an answer to one.
PROBE_PERIOD_S = 0.02
# Keys beyond which those without a recent refusal are forgotten.
MAX_KEYS = 1000
SHORTEST_RETRY_S = 0.05

# An account and a service.
WorkKey = tuple[str, str]


@dataclasses.dataclass(slots=True)
class RefusedWork:
    """Refusals of one account in a row.

    :param count: how many there are
    :param least_cost: cost of the cheapest refused request
    :param refused_s: monotonic time of the last one
    :param pause_s: time for which it is repeated
    :param retry_at_s: monotonic time at which its caller may retry
    :param probed_s: monotonic time at which a request was asked for again
    """

    least_cost: float
    refused_s: float
    count: int = 0
    pause_s: float = 0
    retry_at_s: float = 0
    probed_s: float = -math.inf

    def asks_at_s(self, *, is_behind: bool) -> float:
        """Return the monotonic time at which a request is asked for again."""
        if self.probed_s >= self.refused_s:
            return self.probed_s + PROBE_PERIOD_S
        longest_s = BEHIND_REPEATED_S if is_behind else REPEATED_S
        return self.refused_s + min(longest_s, self.pause_s)


class RepeatedRefusals:
    """Holds the refusals in a row of each account at each service."""

    def __init__(self) -> None:
        """Hold no refusal."""
        self.refused: dict[WorkKey, RefusedWork] = {}

    def record_refusal(
        self, key: WorkKey, cost: float, retry_after_s: float, now_s: float
    ) -> None:
        """Record that a request could not have met its objective.

        :param retry_after_s: time after which its caller is to retry
        """
        known = self.refused.get(key)
        if known is None or now_s - known.refused_s > LONGEST_GAP_S:
            self._drop_old(now_s)
            known = RefusedWork(cost, now_s)
            self.refused[key] = known
        known.count += 1
        known.least_cost = min(known.least_cost, cost)
        known.refused_s = now_s
        known.pause_s = retry_after_s
        known.retry_at_s = now_s + retry_after_s

    def record_grant(self, key: WorkKey) -> None:
        """Record that a request was granted a target."""
        self.refused.pop(key, None)

    def repeat(
        self, key: WorkKey, cost: float, now_s: float, *, is_behind: bool
    ) -> float | None:
        """Return the retry time of a request that is refused like the last.

        Cheaper requests than those that were refused may still be granted.

        :param is_behind: the account received less service than others
        :return: None if the request is to be asked for
        """
        known = self.refused.get(key)
        if (
            known is None
            or known.count < REPEATED_REFUSALS
            or cost < known.least_cost
            or now_s - known.refused_s > LONGEST_GAP_S
        ):
            return None
        if now_s >= known.asks_at_s(is_behind=is_behind):
            known.probed_s = now_s
            return None
        return max(SHORTEST_RETRY_S, known.retry_at_s - now_s)

    def _drop_old(self, now_s: float) -> None:
        """Forget the refusals that no other one can follow in a row."""
        if len(self.refused) < MAX_KEYS:
            return
        self.refused = {
            key: known
            for key, known in self.refused.items()
            if now_s - known.refused_s <= LONGEST_GAP_S
        }
