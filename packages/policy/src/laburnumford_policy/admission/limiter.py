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
    def observe(self, now: float, service_time_s: float, failed: bool) -> None:
        """Takes the service time in seconds of one request that has ended."""


limiters: registry.Registry[Limiter] = registry.Registry("limiter")
