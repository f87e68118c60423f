"""Time for waits and ages."""

import time


def now() -> float:
    """Returns seconds of a clock that never steps and also counts a suspended VM's time.

    CLOCK_MONOTONIC stops while the VM is suspended, so a deadline measured by it would
    still seem far away when the process wakes up.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
