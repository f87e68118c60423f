"""Running means by key, such as the service time of each request class."""


class RunningMeans:
    """Keeps an exponentially weighted mean for each key; the first value initializes it.

    Args:
        weight: weight of one value; about the last 1 / weight values count.
    """

    def __init__(self, *, weight: float) -> None:
        self._weight = weight
        self._mean_by_key: dict[str, float] = {}

    def observe(self, key: str, value: float) -> None:
        """Updates the mean of a key with one value."""
        known = self._mean_by_key.get(key, value)
        self._mean_by_key[key] = known + self._weight * (value - known)

    def mean(self, key: str, default: float) -> float:
        """Returns the mean of a key, or the default without any value."""
        return self._mean_by_key.get(key, default)
