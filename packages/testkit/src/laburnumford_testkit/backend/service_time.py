"""Distributions of the service times of a fake backend server."""

import random
from typing import Protocol

from laburnumford_objects import registry


class ServiceTime(Protocol):
    """Distribution from which service times are drawn."""

    def draw(self, base_s: float) -> float:
        """Returns a service time in seconds that is proportional to `base_s`."""


service_times: registry.Registry[ServiceTime] = registry.Registry("service time")


@service_times.register("constant")
class Constant:
    """Constant service time `base_s`."""

    def __init__(self, *, generator: random.Random) -> None:
        del generator

    def draw(self, base_s: float) -> float:
        """Returns `base_s`."""
        return base_s


@service_times.register("exponential")
class Exponential:
    """Exponential distribution with mean `base_s`."""

    def __init__(self, *, generator: random.Random) -> None:
        self._generator = generator

    def draw(self, base_s: float) -> float:
        """Returns a random service time in seconds."""
        return self._generator.expovariate(1.0) * base_s


@service_times.register("lognormal")
class LogNormal:
    """Log-normal distribution with median `base_s` and sigma 0.5, a moderate tail."""

    _SIGMA = 0.5

    def __init__(self, *, generator: random.Random) -> None:
        self._generator = generator

    def draw(self, base_s: float) -> float:
        """Returns a random service time in seconds."""
        return self._generator.lognormvariate(0.0, self._SIGMA) * base_s


@service_times.register("pareto")
class Pareto:
    """Pareto distribution with minimum `base_s` and shape 2.5, a heavy tail.

    A draw is at most 100 times `base_s`.
    """

    _SHAPE = 2.5
    _MAX_FACTOR = 100.0

    def __init__(self, *, generator: random.Random) -> None:
        self._generator = generator

    def draw(self, base_s: float) -> float:
        """Returns a random service time in seconds."""
        return min(self._MAX_FACTOR, self._generator.paretovariate(self._SHAPE)) * base_s
