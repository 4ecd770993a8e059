"""Whether this instance can tell that others are silent: pure state, no I/O.

An instance whose event loop is late reads replies late. Before it takes a
missing reply for the silence of another instance, it doubts its own health, as
Lifeguard does for SWIM.
"""

import math

from dandelionplank.ingress.overload import LATE_LOOP_S

# Time constant with which a measured delay is forgotten.
DELAY_MEMORY_S = 1.0
# A longer delay counts as this one: it is that of an instance that stood still,
# and is over.
LONGEST_DELAY_S = 0.5
# A reply is read in the second turn after its ticket was sent, at the latest.
TURNS_TO_READ = 2
# Time after which an instance that has not replied is silent, although the loop
# is late: if replies to later tickets have been read, and if none have or the
# socket has dropped messages since.
SHORTEST_DOUBT_S = 1.0
LONGEST_DOUBT_S = 2.0


class LocalHealth:
    """Delay of this instance's loop, and what it has read of the others."""

    def __init__(self) -> None:
        """Hold the state of a loop in time that has read nothing."""
        self.delay_s = 0.0
        self.measured_s = -math.inf
        self.answered_sent_s = -math.inf
        self.dropped_s = -math.inf
        self.heard_s: dict[str, float] = {}
        self.unanswered_since_s: dict[str, float] = {}

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Record by how much the event loop is late.

        :param now_s: monotonic time at which it was measured
        """
        delay_s = min(delay_s, LONGEST_DELAY_S)
        self.delay_s = max(delay_s, self.delay_at_s(now_s))
        self.measured_s = now_s

    def record_reply(self, peer: str, sent_s: float, now_s: float) -> None:
        """Record that a reply was read.

        :param sent_s: monotonic time at which its ticket was sent
        """
        self.answered_sent_s = max(self.answered_sent_s, sent_s)
        self.record_late_reply(peer, now_s)

    def record_late_reply(self, peer: str, now_s: float) -> None:
        """Record that a reply to a ticket that was given up was read."""
        self.heard_s[peer] = now_s
        self.unanswered_since_s.pop(peer, None)

    def record_drop(self, now_s: float) -> None:
        """Record that the socket dropped messages, which may be replies."""
        self.dropped_s = now_s

    def delay_at_s(self, now_s: float) -> float:
        """Return the delay to be expected, zero unless the loop is late."""
        elapsed_s = max(0.0, now_s - self.measured_s)
        delay_s = self.delay_s * math.exp(-elapsed_s / DELAY_MEMORY_S)
        return delay_s if delay_s > LATE_LOOP_S else 0.0

    def reading_time_s(self, now_s: float) -> float:
        """Return by how much longer than usual a reply may take to be read."""
        return TURNS_TO_READ * self.delay_at_s(now_s)

    def is_silence(self, peer: str, sent_s: float, now_s: float) -> bool:
        """Return whether a missing reply shows that an instance is silent.

        While the loop is late, the reply may still wait in the socket, or may
        have been dropped there.

        :param sent_s: monotonic time at which its ticket was sent
        """
        if not self.delay_at_s(now_s):
            return True
        if self.heard_s.get(peer, -math.inf) > sent_s:
            return False
        since_s = self.unanswered_since_s.setdefault(peer, sent_s)
        is_passed = self.dropped_s < sent_s < self.answered_sent_s
        doubt_s = SHORTEST_DOUBT_S if is_passed else LONGEST_DOUBT_S
        return now_s - since_s >= doubt_s
