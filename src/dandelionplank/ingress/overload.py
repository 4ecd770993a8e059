"""Refuses requests while the event loop is late: pure state, no I/O.

An instance that works on more requests than its processor can handle answers
all of them late. Callers that are refused at once come back at another
instance.
"""

import math
from collections import Counter
from collections.abc import Mapping
from types import MappingProxyType

from dandelionplank.fairness.precedence import AccountPrecedence

# Weight of the last delay in the smoothed one: a single short delay, as from
# reading a large configuration, refuses nothing.
DELAY_WEIGHT = 0.5
# A request passes through the loop several times before its first event.
LATE_LOOP_S = 0.05
# Time constant of the decay of the accounts' requests.
DECAY_S = 1.0
# Fewer recent requests of an account are forgotten.
FEWEST_REQUESTS = 0.1
# Refusing fewer recent requests of an account relieves no loop: something else
# delays it.
RELIEVING_REQUESTS = 20
# Time constants of the number of recent requests that the loop handles in time,
# and with which it falls while the loop stays late.
USUAL_S = 2.0
LATE_DECAY_S = 5.0
# Callers reach another instance when they retry.
OVERLOADED_RETRY_S = 0.1
# Share of the bound on connections from which refused ones end. Each retry
# comes on a new connection, so that the others stay open without a request.
NEAR_BOUND_SHARE = 0.8
NO_LEVELS: Mapping[str, float] = MappingProxyType({})


class OverloadControl:
    """Decides which requests an instance takes while its loop is late."""

    def __init__(self) -> None:
        """Hold the delay of the loop and the accounts' recent requests."""
        self.delay_s = 0.0
        self.updated_s = 0.0
        self.recent: Counter[str] = Counter()
        self.recent_total = 0.0
        self.recent_refused = 0.0
        self.connection_share = 0.0
        self.usual = 0.0
        self.allowance = 0.0

    @property
    def is_pressed(self) -> bool:
        """Whether refused callers are to leave their connections here."""
        return self.is_late or self.connection_share >= NEAR_BOUND_SHARE

    @property
    def refused_share(self) -> float:
        """Share of the recent requests that was refused here."""
        if self.recent_refused < RELIEVING_REQUESTS:
            return 0.0
        return self.recent_refused / (self.recent_refused + self.recent_total)

    @property
    def is_late(self) -> bool:
        """Whether this instance has more work than it can handle."""
        return self.delay_s > LATE_LOOP_S

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Record by how much the event loop is late.

        :param now_s: monotonic time at which it was measured
        """
        self.delay_s += DELAY_WEIGHT * (delay_s - self.delay_s)
        elapsed_s = now_s - self.updated_s
        factor = math.exp(-elapsed_s / DECAY_S)
        self.updated_s = now_s
        self.recent = Counter(
            {
                account: count * factor
                for account, count in self.recent.items()
                if count * factor > FEWEST_REQUESTS
            }
        )
        self.recent_total = sum(self.recent.values())
        self.recent_refused *= factor
        self._allow(elapsed_s)

    def admit(
        self, account: str, levels: Mapping[str, float] = NO_LEVELS
    ) -> bool:
        """Return whether a request is taken, and count it if it is.

        While the loop is late, accounts that have had many requests, and no
        less than an even share of all, get no more taken than it handled in
        time, which falls while it stays late, unless they are behind another
        one with many requests. Those that are ahead of them get no more taken
        either.

        :param levels: service that the accounts received lately, fleet-wide
        """
        if self.is_late and self._has_its_share(account, levels):
            if self.allowance < 1:
                self.recent_refused += 1
                return False
            self.allowance -= 1
        self.recent[account] += 1
        self.recent_total += 1
        return True

    def _allow(self, elapsed_s: float) -> None:
        """Allow a late loop some more requests of accounts with many.

        One that takes hardly any leaves its callers without service for as
        long as it is late, although it would handle these.

        :param elapsed_s: time since the last measurement
        """
        if self.is_late:
            elapsed_s = min(elapsed_s, DECAY_S)
            allowed = self.usual * elapsed_s / DECAY_S
            self.allowance = min(self.allowance + allowed, RELIEVING_REQUESTS)
            self.usual *= math.exp(-elapsed_s / LATE_DECAY_S)
        else:
            weight = 1 - math.exp(-elapsed_s / USUAL_S)
            self.usual += weight * (self.recent_total - self.usual)
            self.allowance = 0.0

    def _has_its_share(self, account: str, levels: Mapping[str, float]) -> bool:
        """Return whether an account has had its share of this instance."""
        if self.recent[account] < RELIEVING_REQUESTS:
            return False
        precedence = AccountPrecedence.from_levels(account, levels)
        others = [
            other
            for other, count in self.recent.items()
            if count >= RELIEVING_REQUESTS
        ]
        if any(map(precedence.precedes, others)):
            return False
        return self._has_even_share(account) or any(
            precedence.yields_to(other) and self._has_even_share(other)
            for other in others
        )

    def _has_even_share(self, account: str) -> bool:
        """Return whether an account has had an even share of requests."""
        return self.recent[account] * len(self.recent) >= self.recent_total
