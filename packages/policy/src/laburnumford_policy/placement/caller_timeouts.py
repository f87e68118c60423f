"""Estimates how long a caller has already waited when its request arrives.

Load pattern: more requests than a service can run, so that callers are refused and return. A
returning caller states the time that it has left, which is less than that of a new request, and
its target latency counts from its first attempt. If its soft deadline counted from the return, old
requests would displace new ones that can still be answered in time, and all would be late.
"""

_WINDOW_S = 10.0
"""Seconds after which the largest stated timeout of a kind of request is forgotten; two windows
are kept."""

_NEW_REQUEST_SHARE = 0.8
"""Share of the largest timeout above which a request counts as new. Callers of one kind do not
all state the same timeout."""


class CallerTimeouts:
    """Remembers the largest timeout that callers stated, for each kind of request.

    Args:
        new_request_share: share of the largest timeout from which a request counts as new.
    """

    def __init__(self, *, new_request_share: float = _NEW_REQUEST_SHARE) -> None:
        self._new_request_share = new_request_share
        self._window = 0
        self._largest_by_class: dict[str, float] = {}
        self._previous_by_class: dict[str, float] = {}

    def elapsed_s(self, now: float, request_class: str, timeout_s: float) -> float:
        """Returns the estimated seconds since the first attempt of a caller; 0 for a new request.

        Args:
            now: current time.
            request_class: kind of the request.
            timeout_s: time that the caller still waits.
        """
        self._advance(now)
        largest_s = max(
            self._largest_by_class.get(request_class, 0.0),
            self._previous_by_class.get(request_class, 0.0),
            timeout_s,
        )
        if timeout_s > self._largest_by_class.get(request_class, 0.0):
            self._largest_by_class[request_class] = timeout_s
        return 0.0 if timeout_s >= self._new_request_share * largest_s else largest_s - timeout_s

    def _advance(self, now: float) -> None:
        window = int(now / _WINDOW_S)
        if window == self._window:
            return
        self._previous_by_class = self._largest_by_class if window == self._window + 1 else {}
        self._largest_by_class = {}
        self._window = window
