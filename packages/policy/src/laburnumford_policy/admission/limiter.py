"""Interface and registry of concurrency limiters."""

import abc

from laburnumford_objects import registry


class Limiter(abc.ABC):
    """Adapts the number of requests that may run at the same time."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Number of requests that may run at once, from 1 to the slots of the server."""

    @abc.abstractmethod
    def observe(self, now: float, service_time_s: float, failed: bool, priority: str = "") -> None:
        """Updates the limit after a request has ended.

        Args:
            now: monotonic time in seconds.
            service_time_s: seconds from the start of the request to its end.
            failed: whether the request failed; its service time is then ignored.
            priority: priority of the request. Service times are compared within a priority.
        """

    @abc.abstractmethod
    def apply(self, slots: int) -> None:
        """Applies a changed number of slots; an adapted limit is scaled in proportion."""


limiters: registry.Registry[Limiter] = registry.Registry("limiter")
