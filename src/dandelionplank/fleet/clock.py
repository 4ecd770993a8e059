"""Clocks: one for waits, one that also counts suspended time."""

import time


def boot_time_s() -> float:
    """Return seconds since the machine's start, suspension included.

    A proof of the configuration ages while the machine is suspended, so its
    age must not be taken from the monotonic clock, which stands still.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
