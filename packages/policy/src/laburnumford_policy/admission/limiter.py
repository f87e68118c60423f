"""Interface and registry of concurrency limiters."""

import abc

from laburnumford_objects import registry


class Limiter(abc.ABC):
    """Adapts the number of requests that may run at the same time."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Number of requests that may run, from 1 to the slots of the server."""

    @abc.abstractmethod
    def observe(self, now: float, service_time_s: float, failed: bool, priority: str = "") -> None:
        """Takes the end of one request.

        Args:
            now: monotonic time in seconds.
            service_time_s: seconds from its start to its end.
            failed: whether it failed; its service time then says nothing.
            priority: its priority. Service times are compared within a priority.
        """

    @abc.abstractmethod
    def apply(self, slots: int) -> None:
        """Takes over a changed number of slots; an adapted limit keeps its share of them."""


limiters: registry.Registry[Limiter] = registry.Registry("limiter")
