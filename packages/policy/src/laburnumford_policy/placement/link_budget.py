"""Bound on the bytes that a node exchanges with other zones, derived from its network link.

Load pattern: a VM with a link of 5 Mbit/s whose zone is short of servers. Responses of 60 KB from
other zones fill the link, which carries the responses to the callers of the VM as well.
"""

_LINK_SHARE = 0.5
"""Share of the link for traffic with other zones; the rest is for callers, the server on the same
VM and the nodes of the own zone."""

_BURST_S = 0.5
"""Seconds of the rate that may be used at once."""

_BYTES_PER_S_PER_MBPS = 125_000.0


class LinkBudget:
    """Token bucket in bytes.

    Args:
        link_mbps: bandwidth of the link in Mbit/s, 0 if it is unknown and not a limit.
    """

    def __init__(self, *, link_mbps: float) -> None:
        self._rate = link_mbps * _BYTES_PER_S_PER_MBPS * _LINK_SHARE
        self._burst = self._rate * _BURST_S
        self._tokens = self._burst
        self._updated_s = 0.0

    def has_room(self, now: float, size: float) -> bool:
        """Returns whether the bytes of a request and its response fit.

        A request larger than the burst fits when the bucket is full.
        """
        if not self._rate:
            return True
        self._refill(now)
        return self._tokens >= min(size, self._burst)

    def take(self, now: float, size: float) -> None:
        """Takes the bytes of a request and its response, also if they do not fit."""
        if self._rate:
            self._refill(now)
            self._tokens = max(self._tokens - size, -self._burst)

    def _refill(self, now: float) -> None:
        gained = max(now - self._updated_s, 0.0) * self._rate
        self._tokens = min(self._tokens + gained, self._burst)
        self._updated_s = now
