"""Limits the requests to the backend server on the same VM while it is cold."""

from laburnumford_mesh import clock, cold_start, event_log, server_rate_limit, settings
from laburnumford_policy.placement import cold_limit


class ServerColdness:
    """Turns health checks of the server into a source of its rate limit.

    Args:
        log: structured log.
        rate_limit: rate limit of the server, which other nodes are told.
        bound: bound on the requests beyond the rate that a cold server sustains.
    """

    def __init__(
        self,
        *,
        log: event_log.EventLog,
        rate_limit: server_rate_limit.ServerRateLimit,
        bound: settings.ColdStartSettings | None = None,
    ) -> None:
        self._bound = bound or settings.ColdStartSettings()
        self._log = log
        self._rate_limit = rate_limit
        self._limit = cold_limit.ColdLimit()
        self._registration: tuple[str, int] | None = None
        self._server_id = ""
        self.is_cold = False
        """Whether the server has a limit because it is cold, or may be cold."""

    def configure(self, published: cold_start.ColdStart | None) -> None:
        """Applies the published limit of the service, None without one."""
        per_s: float | None = None
        if published is not None:
            per_s = cold_limit.admitted_rate(
                sustained_per_s=published.per_s,
                factor=self._bound.factor,
                slack=self._bound.slack,
            )
            self._limit.duration_s = published.duration_s
        if per_s != self._limit.per_s:
            self._limit.per_s = per_s
            self.update()

    def observe_registration(self, server_id: str, started_ms: int) -> None:
        """Applies the id and the start of the server from its entry."""
        if self._registration != (server_id, started_ms):
            self._registration = (server_id, started_ms)
            self.forget(server_id)

    def forget(self, server_id: str) -> None:
        """Counts the server as cold until its next health check: it may have started again."""
        self._server_id = server_id
        self._limit.forget()
        self.update()

    def observe_start(self) -> None:
        """Counts a request that is sent to the server."""
        self._limit.observe_start()

    def begin_check(self) -> None:
        """Records that a health check is sent."""
        self._limit.begin_check(clock.now())

    def observe_check(self, remaining_s: float) -> None:
        """Applies the seconds until the server is warm, as stated by an answered health check."""
        self._limit.observe_check(clock.now(), remaining_s)
        self.update()

    def observe_failed_check(self) -> None:
        """Records that a health check got no answer."""
        self._limit.observe_failed_check()

    def must_check(self) -> bool:
        """Returns whether no request may start before the next health check."""
        return self._limit.must_check(clock.now())

    def should_check(self) -> bool:
        """Returns whether a health check is due although no request waits for it."""
        return self._limit.should_check(clock.now())

    def update(self) -> None:
        """Starts or ends the limit if the server has become cold or warm."""
        now = clock.now()
        is_cold = self._limit.is_cold(now)
        per_s = self._limit.per_s if is_cold else None
        self._rate_limit.observe_cold(per_s, self._limit.debt())
        if is_cold == self.is_cold:
            return
        self.is_cold = is_cold
        if is_cold:
            remaining_s = self._limit.remaining_s(now)
            self._log.write(
                "server_cold",
                server=self._server_id,
                per_s=per_s,
                remaining_s=None if remaining_s is None else round(remaining_s, 3),
            )
        else:
            self._log.write("server_warm", server=self._server_id)
