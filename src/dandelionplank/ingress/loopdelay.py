"""Measures how late the event loop runs what is due."""

import asyncio
import time
from typing import Protocol

SAMPLE_PERIOD_S = 0.05


class DelayListener(Protocol):
    """Learns by how much the event loop is late."""

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Record one delay.

        :param now_s: monotonic time at which it was measured
        """


class LoopDelayMeter:
    """Measures the delay of a timer, which all other events share."""

    def __init__(self, *listeners: DelayListener) -> None:
        """Hold the longest delay of the present period."""
        self.listeners = list(listeners)
        self.longest_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_s = time.monotonic() + SAMPLE_PERIOD_S
            await asyncio.sleep(SAMPLE_PERIOD_S)
            now_s = time.monotonic()
            delay_s = max(0.0, now_s - due_s)
            self.longest_s = max(self.longest_s, delay_s)
            for listener in self.listeners:
                listener.record_delay(delay_s, now_s)

    def take_longest_s(self) -> float:
        """Return the longest delay and end the period."""
        longest_s = self.longest_s
        self.longest_s = 0.0
        return longest_s
