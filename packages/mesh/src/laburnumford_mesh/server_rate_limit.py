"""Rate limit of the backend server on the same VM, as the server or another node states it."""

from collections.abc import Callable

from laburnumford_mesh import clock, event_log
from laburnumford_policy.placement import advertised_limit


class ServerRateLimit:
    """Keeps the latest rate limit of one server and where it comes from.

    Args:
        log: structured log.
        on_change: called when the limit has changed.

    Attributes:
        bucket: limits the starts of requests to the rate.
    """

    def __init__(self, *, log: event_log.EventLog, on_change: Callable[[], None]) -> None:
        self._log = log
        self._on_change = on_change
        self._server_id = ""
        self._confirmed = False
        self.bucket = advertised_limit.AdvertisedLimit()

    def is_confirmed(self, server_id: str) -> bool:
        """Returns whether a server itself has stated its limit, or that it has none."""
        return self._confirmed and self._server_id == server_id

    def observe_server(self, server_id: str, rate_per_s: float | None) -> None:
        """Applies the limit that the server states in an answer, None without one."""
        self._server_id = server_id
        self._confirmed = True
        self._apply(rate_per_s)

    def observe_sender(self, server_id: str, rate_per_s: float | None) -> None:
        """Applies the limit that the sender of a request knows.

        It counts until this node has heard the server itself.
        """
        if server_id != self._server_id:
            self._server_id = server_id
            self._confirmed = False
            self._apply(None)
        if not self._confirmed and rate_per_s is not None:
            self._apply(rate_per_s)

    def free_tokens(self, now: float, claimed: int) -> float:
        """Returns the tokens that no waiting or expected request takes, 0 without a limit.

        Args:
            now: current time.
            claimed: number of requests that wait or are expected.
        """
        if self.bucket.rate_per_s is None:
            return 0.0
        return self.bucket.tokens(now) - claimed

    def _apply(self, rate_per_s: float | None) -> None:
        if self.bucket.apply(clock.now(), rate_per_s):
            self._log.write("rate_limit_changed", server=self._server_id, per_s=rate_per_s)
            self._on_change()
