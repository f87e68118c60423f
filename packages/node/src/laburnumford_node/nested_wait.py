"""Time that requests on the adjacent server wait for nested calls."""

from collections.abc import Callable


class NestedWait:
    """Estimates how long each running request has waited for nested calls.

    A node cannot tell which request a nested call belongs to. It therefore assumes that all
    running requests wait for the same share of the time: the nested calls in progress divided
    by the running requests, at most 1.

    Args:
        clock: monotonic clock in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._running_count = 0
        self._nested_count = 0
        self._cumulative_wait_s = 0.0
        self._updated_s = clock()

    def run_started(self) -> float:
        """Counts a request that starts to run.

        Returns:
            Cumulative wait in seconds, to be passed to `run_ended` as `wait_at_start_s`.
        """
        self._advance()
        self._running_count += 1
        return self._cumulative_wait_s

    def run_ended(self, wait_at_start_s: float) -> float:
        """Counts the end of a request.

        Args:
            wait_at_start_s: result of `run_started` for this request.

        Returns:
            Seconds for which the request waited for nested calls.
        """
        self._advance()
        self._running_count -= 1
        return self._cumulative_wait_s - wait_at_start_s

    def call_started(self) -> None:
        """Counts a nested call that the adjacent server starts."""
        self._advance()
        self._nested_count += 1

    def call_ended(self) -> None:
        """Counts the end of a nested call."""
        self._advance()
        self._nested_count -= 1

    def _advance(self) -> None:
        now = self._clock()
        if self._running_count > 0:
            share = min(1.0, self._nested_count / self._running_count)
            self._cumulative_wait_s += share * (now - self._updated_s)
        self._updated_s = now
