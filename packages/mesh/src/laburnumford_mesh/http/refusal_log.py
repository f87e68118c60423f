"""Counts connections that are refused, and logs them at a bounded rate."""

from laburnumford_mesh import clock, event_log

_MIN_INTERVAL_S = 1.0
"""Seconds between two log lines; a burst refuses hundreds of connections at once."""


class RefusalLog:
    """Counts the refused connections of one listener.

    Args:
        address: ``ip:port`` of the listener.
        log: structured log.

    Attributes:
        count: number of connections that were refused.
    """

    def __init__(self, *, address: str, log: event_log.EventLog) -> None:
        self._address = address
        self._log = log
        self._next_line_s = 0.0
        self.count = 0

    def observe(self, connection_count: int) -> None:
        """Counts a refused connection.

        Args:
            connection_count: number of open connections of the listener.
        """
        self.count += 1
        now = clock.now()
        if now < self._next_line_s:
            return
        self._next_line_s = now + _MIN_INTERVAL_S
        self._log.write(
            "connections_full",
            listener=self._address,
            connections=connection_count,
            refused=self.count,
        )
