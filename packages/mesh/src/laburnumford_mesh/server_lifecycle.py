"""Which server runs on the same VM, and whether it is about to end."""

import math

from laburnumford_mesh import clock, event_log

_SERVER_ID_VALIDITY_S = 0.2
"""Time for which an id that the server sent is trusted. A server may end and another one start
at its address within seconds."""

_DRAIN_START_WINDOW_S = 0.4
"""Seconds after this node has learned of the draining in which requests still start. A node learns
of a change up to 1.5 s late if gossip or the store fails for a moment, and the shortest published
time after which the server must get no more requests is 2 s."""


class ServerLifecycle:
    """Keeps the id of the adjacent server, from its entry and its answers, and its draining.

    Args:
        log: structured log.

    Attributes:
        server_id: id of the current server.
    """

    def __init__(self, *, log: event_log.EventLog) -> None:
        self._log = log
        self.server_id = ""
        self._confirmed_s = -math.inf
        self._started_ms = 0
        self._leaving_server_id = ""
        self._leaving_started_ms = 0
        self._draining_from_s: float | None = None

    def apply(self, server_id: str, started_ms: int) -> None:
        """Applies the entry of the server; an id that the server itself has sent goes first."""
        self._started_ms = started_ms
        if server_id == self._leaving_server_id and started_ms > self._leaving_started_ms:
            # The server has left and started again under the same id.
            self._leaving_server_id = ""
        if not self.is_confirmed():
            self.server_id = server_id

    def observe_id(self, server_id: str) -> bool:
        """Records the id that the server has sent; returns whether it is another server."""
        self._confirmed_s = clock.now()
        if server_id == self.server_id:
            return False
        self._log.write("server_changed", server=server_id, previous=self.server_id)
        self.server_id = server_id
        return True

    def is_confirmed(self) -> bool:
        """Returns whether the server has sent its id lately."""
        return clock.now() - self._confirmed_s < _SERVER_ID_VALIDITY_S

    def observe_leaving(self, server_id: str) -> bool:
        """Records that a server has said that it leaves; returns whether the current one leaves."""
        if server_id == self._leaving_server_id:
            return False
        self._leaving_server_id = server_id
        self._leaving_started_ms = self._started_ms
        return self.is_leaving()

    def is_leaving(self) -> bool:
        """Returns whether the current server has said that it is about to end."""
        return bool(self.server_id) and self._leaving_server_id == self.server_id

    def observe_draining(self, *, draining: bool, waiting: int) -> None:
        """Records whether the entry says that the server drains.

        An entry does not undo that the server itself has said so.

        Args:
            draining: whether the entry says so or is missing.
            waiting: number of requests that wait for the server, for the log.
        """
        if not draining and not self.is_leaving():
            self._draining_from_s = None
        elif self._draining_from_s is None:
            self._draining_from_s = clock.now()
            self._log.write(
                "server_draining",
                server=self.server_id,
                waiting=waiting,
                said_by_server=self.is_leaving(),
            )

    def is_drain_start_window_over(self, now: float) -> bool:
        """Returns whether the server drains and gets no more requests."""
        since_s = self._draining_from_s
        return since_s is not None and now - since_s > _DRAIN_START_WINDOW_S
