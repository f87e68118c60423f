"""Clock for deadlines, timeouts and ages."""

import time


def now() -> float:
    """Returns the seconds of a monotonic clock that includes the time for which the VM is suspended.

    CLOCK_MONOTONIC stops while the VM is suspended, so a deadline measured by it would seem
    further away after the resume than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
