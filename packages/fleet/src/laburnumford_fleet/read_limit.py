"""Rate limit of this node's reads of the platform."""

import random

from laburnumford_objects import errors as object_errors

# The platform admits 2,000 reads/s; all nodes share one half, the readers the other half.
_FLEET_READS_PER_S = 1000.0
# Two sets of readers overlap when the epoch changes, so each gets half of the readers' share.
_READERS_READS_PER_S = 500.0
# A starting node does not know the size of the fleet. Until the list of VMs or the first version
# gives the size, it may read that list, the head and two values at once.
_START_TOKENS = 4.0
# The largest fleet, assumed until the size is known.
_ASSUMED_NODES = 10_000


class ReadLimit:
    """Limits the reads per second with a token bucket.

    The rate is 1,000 reads/s divided by the number of nodes, plus, for a
    reader, its part of the share that is reserved for readers. The bucket holds
    the tokens of one second, at least one. At less than one read per second, a
    read after an idle time waits a random part of the interval. Without that
    wait, the full buckets of 10,000 nodes would allow 10,000 reads in the
    second in which all nodes fall back to the platform.

    Args:
        generator: source of the random waits.
        now: monotonic time in seconds.
    """

    def __init__(self, *, generator: random.Random, now: float) -> None:
        self._generator = generator
        self._rate_per_s = _FLEET_READS_PER_S / _ASSUMED_NODES
        self._tokens = _START_TOKENS
        self._refilled_at = now
        self._fleet_size_known = False
        self.admitted_count = 0

    @property
    def rate_per_s(self) -> float:
        """Reads per second that this node may make."""
        return self._rate_per_s

    def set_fleet_size(self, *, nodes: int, readers: int, is_reader: bool, now: float) -> None:
        """Sets the rate from the size of the fleet.

        Args:
            nodes: number of nodes of the fleet.
            readers: number of readers among them.
            is_reader: whether this node is one of them.
            now: monotonic time in seconds.

        Raises:
            ParameterError: a count is below one.
        """
        if nodes < 1 or readers < 1:
            raise object_errors.ParameterError(
                f"nodes and readers must be at least 1, found {nodes} and {readers}"
            )
        self._refill(now)
        self._rate_per_s = _FLEET_READS_PER_S / nodes
        if is_reader:
            self._rate_per_s += _READERS_READS_PER_S / readers
        capacity = max(1.0, self._rate_per_s)
        self._tokens = min(self._tokens, capacity) if self._fleet_size_known else capacity
        self._fleet_size_known = True

    def reserve(self, *, now: float, max_wait_s: float) -> float | None:
        """Reserves one read.

        Returns:
            Seconds to wait before the read, or None if the limit does not admit
            the read within `max_wait_s`; then nothing is reserved.
        """
        self._refill(now)
        wait_s = max(0.0, (1.0 - self._tokens) / self._rate_per_s)
        idle = self._fleet_size_known and self._rate_per_s < 1.0 and self._tokens >= 1.0
        if idle:
            wait_s = self._generator.uniform(0.0, 1.0 / self._rate_per_s)
        if wait_s > max_wait_s:
            return None
        if idle:
            # The next read is one interval after this one, not after now.
            self._tokens = -wait_s * self._rate_per_s
        else:
            self._tokens -= 1.0
        self.admitted_count += 1
        return wait_s

    def _refill(self, now: float) -> None:
        if now > self._refilled_at:
            capacity = max(1.0, self._rate_per_s) if self._fleet_size_known else _START_TOKENS
            self._tokens = min(
                capacity, self._tokens + (now - self._refilled_at) * self._rate_per_s
            )
            self._refilled_at = now
