"""How late the event loop runs what is due."""

import asyncio
import time

SAMPLE_PERIOD_S = 0.05


class LoopDelayMeter:
    """Measures the delay of timers, which all other events share."""

    def __init__(self) -> None:
        """Hold the longest delay of the present period."""
        self.longest_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_s = time.monotonic() + SAMPLE_PERIOD_S
            await asyncio.sleep(SAMPLE_PERIOD_S)
            self.record(max(0.0, time.monotonic() - due_s))

    def record(self, delay_s: float) -> None:
        """Record one delay."""
        self.longest_s = max(self.longest_s, delay_s)

    def take_longest_s(self) -> float:
        """Return the longest delay and end the period."""
        longest_s = self.longest_s
        self.longest_s = 0.0
        return longest_s
