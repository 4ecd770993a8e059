"""Request rate that a target states for the whole fleet: pure state, no I/O.

Designed for targets in need, which state in their responses how many requests
a second they take from all instances together. Each instance counts what it
sends to such a target and charges what the others report, so that several
instances that send to it at the same time still keep the rate.
"""

import dataclasses
import math

UNLIMITED = math.inf
# Requests that may be saved up, in seconds of the rate.
BURST_S = 0.5
# A target states the end of its limit only in a response, so that one that
# takes no requests at all is still tried at this rate.
LOWEST_RATE = 0.25
# Longest time for which requests beyond the rate are made up for.
LONGEST_DEBT_S = 4.0
# A smaller relative change of the rate is not worth a log line.
LOGGED_CHANGE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class RateStatement:
    """What a target states of its limit.

    :param rate: requests per second, infinite if it states no limit
    :param at_s: monotonic time for which this is known to hold
    """

    rate: float
    at_s: float

    @classmethod
    def from_response(
        cls, rate: float, sent_s: float, now_s: float
    ) -> 'RateStatement':
        """Date the statement of a response.

        A response without a limit may have been overtaken by one with it, so
        that it holds only for the time at which its request was sent.

        :param rate: requests per second, infinite if it states no limit
        """
        return cls(rate, sent_s if rate == UNLIMITED else now_s)


class RequestRateLimit:
    """Token bucket of one target, shared by all instances.

    :param statement: latest statement of the target
    :param is_own: this instance got that statement from the target itself
    :param ended_s: monotonic time at which the last limit ended
    :param granted: requests that this instance has assigned to the target
    """

    def __init__(self) -> None:
        """Hold no limit."""
        self.statement = RateStatement(UNLIMITED, -math.inf)
        self.is_own = False
        self.ended_s = -math.inf
        self.granted = 0
        self.level = 0.0
        self.refilled_s = 0.0

    @property
    def is_limited(self) -> bool:
        """Return whether the target states a limit."""
        return self.statement.rate != UNLIMITED

    @property
    def rate(self) -> float:
        """Return the requests per second that may be sent."""
        return max(LOWEST_RATE, self.statement.rate)

    @property
    def has_request(self) -> bool:
        """Return whether a request may be sent now."""
        return self.level >= 1 or not self.is_limited

    def learn(
        self, statement: RateStatement, now_s: float, *, is_own: bool
    ) -> bool:
        """Take over a statement if it is newer than the known one.

        :return: whether the limit began, ended or changed considerably
        """
        known = self.statement
        if statement.at_s <= known.at_s:
            return False
        was_limited = self.is_limited
        if not was_limited:
            self.level = 0.0
            self.refilled_s = now_s
        self.refill(now_s)
        self.statement = statement
        self.is_own = is_own
        if was_limited and not self.is_limited:
            self.ended_s = now_s
        return _is_considerable(known.rate, statement.rate)

    def refill(self, now_s: float) -> None:
        """Add the requests that the rate allows since the last call."""
        if not self.is_limited:
            return
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = max(self.refilled_s, now_s)
        most = max(1.0, self.rate * BURST_S)
        self.level = min(most, self.level + self.rate * elapsed_s)

    def grant(self) -> None:
        """Count a request that this instance assigns to the target."""
        self.granted += 1
        self.level -= 1

    def charge(self, requests: int) -> None:
        """Count requests that other instances have assigned to the target."""
        lowest = -max(1.0, self.rate * LONGEST_DEBT_S)
        if requests > 0 and self.level > lowest:
            self.level = max(lowest, self.level - requests)

    def wait_s(self, ahead: int) -> float:
        """Return the time until one more request may be sent.

        :param ahead: requests that wait for the target
        """
        if not self.is_limited:
            return 0.0
        return max(0.0, ahead + 1 - self.level) / self.rate


def _is_considerable(before: float, after: float) -> bool:
    """Return whether a change of the rate is logged."""
    if before == after:
        return False
    if UNLIMITED in {before, after}:
        return True
    return abs(after - before) > LOGGED_CHANGE * max(before, after)
