"""Accounts for the bodies that callers send: pure state, no I/O.

The first bytes of each body count towards a part of the budget that large
bodies cannot use. The rest of a large body needs a place of its whole size
before it is read, so that bodies that have one can be completed whatever the
others do. Bodies without a place wait, unread. While some wait, those that have
one and stall lose it.
"""

import dataclasses
import enum
from collections import Counter

# Part of each body that needs no place.
RESERVED_BODY_BYTES = 65_536
# Longest wait for a place; the caller may reach another instance then.
MAX_WAIT_S = 2.0
# A body that does not grow for this long, or more slowly than this, loses its
# place to one that waits. Bodies of 4 MB within 15 s are faster.
STALL_S = 1.0
MIN_BYTES_PER_S = 262_144
# Part of the places that one account may have.
ACCOUNT_SHARE = 0.5


class Decision(enum.Enum):
    """What happens to a body."""

    READ = enum.auto()
    WAIT = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(eq=False, slots=True)
class Holding:
    """What one request holds.

    :param received: bytes of its body so far
    :param place_bytes: size of its place, zero for none
    :param wanted_bytes: size of the place for which it waits, zero for none
    :param started_s: monotonic time of its first byte, or of its place
    :param started_bytes: bytes received by then
    """

    account: str
    started_s: float
    progressed_s: float
    received: int = 0
    small_bytes: int = 0
    place_bytes: int = 0
    wanted_bytes: int = 0
    started_bytes: int = 0
    is_complete: bool = False
    is_refused: bool = False

    def idle_s(self, now_s: float) -> float:
        """Return for how long it has not grown."""
        return now_s - self.progressed_s

    def rate(self, now_s: float) -> float:
        """Return the bytes received per second."""
        period_s = max(STALL_S, now_s - self.started_s)
        return (self.received - self.started_bytes) / period_s

    def is_stalled(self, now_s: float) -> bool:
        """Return whether it may lose what it holds."""
        if self.is_complete or self.is_refused:
            return False
        if self.idle_s(now_s) >= STALL_S:
            return True
        is_young = now_s - self.started_s < STALL_S
        return not is_young and self.rate(now_s) < MIN_BYTES_PER_S


class HeldBytes:
    """Decides which bodies are read, wait or are refused."""

    def __init__(self, small_limit_bytes: int, large_limit_bytes: int) -> None:
        """Hold the limits.

        :param small_limit_bytes: of the reserved parts of all bodies
        :param large_limit_bytes: of the rest of all bodies
        """
        self.small_limit_bytes = small_limit_bytes
        self.large_limit_bytes = large_limit_bytes
        self.small_bytes = 0
        self.large_bytes = 0
        self.holdings: dict[Holding, None] = {}
        self.waiting: dict[Holding, float] = {}
        self.by_account: Counter[str] = Counter()

    @property
    def is_bounded(self) -> bool:
        """Whether a bound keeps bodies from being read."""
        return bool(self.waiting) or self.small_bytes > self.small_limit_bytes

    def open(self, account: str, now_s: float) -> Holding:
        """Return the holding of a new request."""
        holding = Holding(account, now_s, now_s)
        self.holdings[holding] = None
        return holding

    def close(self, holding: Holding, now_s: float) -> list[Holding]:
        """Release all that a request holds.

        :return: those that get a place now
        """
        if holding not in self.holdings:
            return []
        self.holdings.pop(holding)
        self.waiting.pop(holding, None)
        self.small_bytes -= holding.small_bytes
        self._resize_place(holding, 0)
        return self._grant(now_s)

    def add(
        self, holding: Holding, count: int, size_bytes: int, now_s: float
    ) -> Decision:
        """Count bytes that have arrived and decide whether to read further.

        The decision does not concern a body that is complete.

        :param size_bytes: size of the whole body, or the largest possible one
        """
        holding.received += count
        holding.progressed_s = now_s
        small_bytes = min(holding.received, RESERVED_BODY_BYTES)
        self.small_bytes += small_bytes - holding.small_bytes
        holding.small_bytes = small_bytes
        if holding.is_refused or self.small_bytes > self.small_limit_bytes:
            return Decision.REFUSE
        wanted_bytes = size_bytes - RESERVED_BODY_BYTES
        is_large = holding.received >= RESERVED_BODY_BYTES
        if holding.place_bytes or wanted_bytes <= 0 or not is_large:
            return Decision.READ
        holding.wanted_bytes = wanted_bytes
        self.waiting[holding] = now_s
        return Decision.READ if holding in self._grant(now_s) else Decision.WAIT

    def complete(self, holding: Holding, now_s: float) -> list[Holding]:
        """Record that a body is complete; count no more than its size.

        A body that was complete before it needed a place may exceed the limit.

        :return: those that get a place now
        """
        holding.is_complete = True
        self.waiting.pop(holding, None)
        size = max(0, holding.received - RESERVED_BODY_BYTES)
        is_released = holding.place_bytes > size
        if holding.place_bytes != size:
            self._resize_place(holding, size)
        return self._grant(now_s) if is_released else []

    def refuse_stalled(self, now_s: float) -> list[Holding]:
        """Refuse those that hold what others wait for, or wait too long.

        The longest idle come first, then the slowest, then the largest.
        """
        refused = [
            holding
            for holding, since_s in self.waiting.items()
            if now_s - since_s > MAX_WAIT_S
        ]
        for overdue in refused:
            self._refuse(overdue)
        wanted_bytes = sum(each.wanted_bytes for each in self.waiting)
        excess_bytes = self.small_bytes - self.small_limit_bytes
        for holding in self._find_stalled(now_s):
            if wanted_bytes > 0 and holding.place_bytes:
                wanted_bytes -= holding.place_bytes
            elif excess_bytes <= 0:
                continue
            excess_bytes -= holding.small_bytes
            self._refuse(holding)
            refused.append(holding)
        return refused

    def refuse_idle(self, count: int, now_s: float) -> list[Holding]:
        """Refuse some incomplete bodies, because connections run short."""
        refused = self._find_stalled(now_s)[:count]
        for holding in refused:
            self._refuse(holding)
        return refused

    def _find_stalled(self, now_s: float) -> list[Holding]:
        """Return the bodies that may lose what they hold, worst first."""
        stalled = [
            each
            for each in self.holdings
            if each not in self.waiting and each.is_stalled(now_s)
        ]
        stalled.sort(
            key=lambda each: (
                -each.idle_s(now_s),
                each.rate(now_s),
                -each.received,
            )
        )
        return stalled

    def _refuse(self, holding: Holding) -> None:
        """Refuse a request; it is closed once its reader has ended."""
        holding.is_refused = True
        self.waiting.pop(holding, None)

    def _grant(self, now_s: float) -> list[Holding]:
        """Return those that get a place, of the smallest account first."""
        granted: list[Holding] = []
        while True:
            fitting = [each for each in self.waiting if self._fits(each)]
            if not fitting:
                return granted
            first = min(fitting, key=self._rank)
            self.waiting.pop(first)
            self._resize_place(first, first.wanted_bytes)
            first.wanted_bytes = 0
            # Its caller could send nothing while it waited.
            first.started_s = now_s
            first.progressed_s = now_s
            first.started_bytes = first.received
            granted.append(first)

    def _rank(self, holding: Holding) -> tuple[int, float]:
        """Return the order in which bodies get a place."""
        return self.by_account[holding.account], self.waiting[holding]

    def _fits(self, holding: Holding) -> bool:
        """Return whether there is a place for a body.

        Any body fits while there is no other, so that one of the largest size
        is served whatever the limits.
        """
        total = self.large_bytes + holding.wanted_bytes
        if not self.large_bytes:
            return True
        held = self.by_account[holding.account]
        share = self.large_limit_bytes * ACCOUNT_SHARE
        keeps_share = not held or held + holding.wanted_bytes <= share
        return keeps_share and total <= self.large_limit_bytes

    def _resize_place(self, holding: Holding, size: int) -> None:
        """Set the size of a place."""
        change = size - holding.place_bytes
        holding.place_bytes = size
        self.large_bytes += change
        self.by_account[holding.account] += change
        if not self.by_account[holding.account]:
            self.by_account.pop(holding.account)
