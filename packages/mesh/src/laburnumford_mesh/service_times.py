"""Service times of the backend server on the same VM."""

import math

from laburnumford_policy.placement import running_means

_WEIGHT = 0.1
"""Weight of one request in the mean service time; about the last ten count."""


class ServiceTimes:
    """Learns the service times at normal speed, by request class and over all classes.

    Attributes:
        mean_s: mean service time over all classes in seconds, 0 before the first request.
    """

    def __init__(self) -> None:
        self._means = running_means.RunningMeans(weight=_WEIGHT)
        self._default_s_by_class: dict[str, float] = {}
        self.mean_s = 0.0

    def expect(self, request_class: str, service_time_s: float) -> None:
        """Sets the service time in seconds that counts until a request of the class has run."""
        self._default_s_by_class[request_class] = service_time_s

    def observe(self, request_class: str, service_time_s: float) -> None:
        """Records the service time of a request at normal speed in seconds."""
        mean_s = self.mean_s or service_time_s
        self.mean_s = mean_s + _WEIGHT * (service_time_s - mean_s)
        self._means.observe(request_class, service_time_s)

    def of_class(self, request_class: str) -> float:
        """Returns the mean service time of a class at normal speed in seconds."""
        return self._means.mean(request_class, self._default_s_by_class.get(request_class, 0.0))

    def observed(self, request_class: str) -> float:
        """Returns the mean service time of a class in seconds, infinity without any request."""
        return self._means.mean(request_class, math.inf)
