"""Time that requests on the adjacent server spend waiting for calls that it made."""

from collections.abc import Callable


class NestedWait:
    """Measures which part of the running requests waits for nested calls.

    A node cannot tell which request a nested call belongs to. It takes the share of the
    running requests that wait to be the same for each of them.

    Args:
        clock: monotonic clock in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._running = 0
        self._nested = 0
        self._waited_s = 0.0
        self._updated_s = clock()

    def run_started(self) -> float:
        """Counts a request that runs; returns the mark to pass to `run_ended`."""
        self._advance()
        self._running += 1
        return self._waited_s

    def run_ended(self, mark: float) -> float:
        """Ends a request; returns the seconds for which it waited since its mark."""
        self._advance()
        self._running -= 1
        return self._waited_s - mark

    def call_started(self) -> None:
        """Counts a call that the adjacent server made."""
        self._advance()
        self._nested += 1

    def call_ended(self) -> None:
        """Ends a call that the adjacent server made."""
        self._advance()
        self._nested -= 1

    def _advance(self) -> None:
        now = self._clock()
        if self._running > 0:
            share = min(1.0, self._nested / self._running)
            self._waited_s += share * (now - self._updated_s)
        self._updated_s = now
