"""Decides which requests a stopping process still takes.

Load pattern: callers keep sending on open connections to a process that stops, and their work may
last longer than the process does. A request that would be cut at the end has an unknown outcome,
while one that is refused at once can go to another process, which has its whole time for it.
"""

_ACCEPT_SHARE = 0.5
"""Share of the grace period after which all new requests are refused. Callers with open connections
keep sending until the process ends."""

_CLOSE_MARGIN_S = 0.25
"""Time at the end of the grace period in which connections are closed and the process exits."""

_MIN_OPEN_S = 0.5
"""Shortest time for which a process with a short grace period waits for requests in flight."""

_ANSWER_MARGIN_S = 0.1
"""Time from the last answer of a server until the connections close."""

_SERVICE_TIME_FACTOR = 2.0
"""Multiple of its mean service time that a request must have left. Service times vary, and
requests wait for others first."""


class StopWindow:
    """The last seconds of a process, from the signal to stop until its connections close.

    Args:
        started_s: time of the signal to stop.
        grace_s: time in seconds from the signal until the process is killed.

    Attributes:
        started_s: time of the signal to stop.
        accepts_until_s: time from which no new requests are taken.
        closes_s: time at which the connections close.
        answers_by_s: time until which servers may answer.
    """

    def __init__(self, *, started_s: float, grace_s: float) -> None:
        self.started_s = started_s
        self.accepts_until_s = started_s + _ACCEPT_SHARE * grace_s
        self.closes_s = started_s + max(grace_s - _CLOSE_MARGIN_S, _MIN_OPEN_S)
        self.answers_by_s = self.closes_s - _ANSWER_MARGIN_S

    def is_open(self, now: float) -> bool:
        """Returns whether new requests are taken at all."""
        return now < self.accepts_until_s

    def can_finish(self, now: float, deadline_s: float, service_time_s: float) -> bool:
        """Returns whether a request that starts now is decided before the connections close.

        It is if its deadline comes first. Otherwise its service time has to fit in with a margin,
        because elsewhere it has its whole time.

        Args:
            now: current time.
            deadline_s: time until which the caller waits.
            service_time_s: mean service time of such requests, infinity if none has been observed.
        """
        if deadline_s <= self.answers_by_s:
            return True
        return now + _SERVICE_TIME_FACTOR * service_time_s <= self.answers_by_s

    def limit(self, deadline_s: float) -> float:
        """Returns a deadline that does not come after the last answer."""
        return min(deadline_s, self.answers_by_s)
