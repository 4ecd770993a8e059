"""Shares each turn of the event loop among connections: pure, no I/O.

A connection's bytes are parsed as they arrive while the turn has time left.
Beyond it, connections wait for the next turn, one block each in turn. Those
whose message has cost much already wait behind the others, so that small
requests pass bodies in very small chunks.
"""

from collections import deque
from typing import Generic, TypeVar

# Time of a turn for parsing; a block of 16 kB in chunks of one byte takes some
# milliseconds.
TURN_S = 0.004
# Time of a turn that messages which have cost much may take.
HEAVY_TURN_S = 0.002
# Less need not be told to be over: the next turn starts with it.
UNCOUNTED_S = 0.001
# A message has cost much from here on; one of a few kB takes a tenth of it.
HEAVY_S = 0.002

Waiting = TypeVar('Waiting')


class TurnQueue(Generic[Waiting]):
    """Decides what is parsed in a turn of the loop."""

    def __init__(self) -> None:
        """Hold no waiting connection and an unused turn."""
        self.spent_s = 0.0
        self.light: deque[Waiting] = deque()
        self.heavy: deque[Waiting] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether no connection waits."""
        return not self.light and not self.heavy

    @property
    def is_used(self) -> bool:
        """Whether so much was spent that the turn has to end."""
        return self.spent_s > UNCOUNTED_S

    def may_run(self, cost_s: float) -> bool:
        """Return whether a connection may be served at once.

        :param cost_s: what its message has cost so far
        """
        if cost_s < HEAVY_S:
            return self.spent_s < TURN_S and not self.light
        return self.spent_s < HEAVY_TURN_S and self.is_empty

    def charge(self, cost_s: float) -> None:
        """Count time that was spent in this turn."""
        self.spent_s += cost_s

    def add(self, waiting: Waiting, cost_s: float) -> None:
        """Let a connection wait.

        :param cost_s: what its message has cost so far
        """
        queue = self.light if cost_s < HEAVY_S else self.heavy
        queue.append(waiting)

    def begin_turn(self) -> None:
        """Start the next turn."""
        self.spent_s = 0.0

    def take(self, *, is_first: bool) -> Waiting | None:
        """Return the next connection to serve, if the turn has time left.

        :param is_first: whether it is the first of its turn, which is
            served in any case
        """
        if self.light and (is_first or self.spent_s < TURN_S):
            return self.light.popleft()
        if self.heavy and (is_first or self.spent_s < HEAVY_TURN_S):
            return self.heavy.popleft()
        return None
