"""A clock that keeps counting while the machine is suspended."""

import time


def boot_time_s() -> float:
    """Return the seconds since the machine booted, including suspension.

    The age of a confirmed configuration must include time in suspension,
    during which the monotonic clock stops.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
