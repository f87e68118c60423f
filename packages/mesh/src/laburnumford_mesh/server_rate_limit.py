"""Rate limit of the backend server on the same VM: what it sustains while cold, or a stated limit."""

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
        self._stated_per_s: float | None = None
        self._cold_per_s: float | None = None
        self.bucket = advertised_limit.AdvertisedLimit()

    def is_confirmed(self, server_id: str) -> bool:
        """Returns whether this node knows the limit of a server, or that it has none.

        It does if the server itself has stated it, or while it counts as cold.
        """
        if self._cold_per_s is not None:
            return True
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

    def observe_cold(self, per_s: float | None, already_sent: float) -> None:
        """Applies the limit of a cold server, None if it is warm or has no such limit.

        Args:
            per_s: requests per second that the server sustains.
            already_sent: requests of the last second that count against the limit when it starts.
        """
        if per_s == self._cold_per_s:
            return
        starts = self._cold_per_s is None
        self._cold_per_s = per_s
        self._update(None if not starts else -already_sent)

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
        self._stated_per_s = rate_per_s
        self._update()

    def _update(self, max_tokens: float | None = None) -> None:
        now = clock.now()
        rates = [each for each in (self._stated_per_s, self._cold_per_s) if each is not None]
        rate_per_s = min(rates, default=None)
        changed = self.bucket.apply(now, rate_per_s)
        if max_tokens is not None:
            self.bucket.drain(now, max_tokens)
        if changed:
            self._log.write("rate_limit_changed", server=self._server_id, per_s=rate_per_s)
            self._on_change()
