"""A service that gets a share of a route's requests."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One destination of a route.

    Attributes:
        name: name of the service.
        weight: share relative to the weights beside it.
    """

    name: str
    weight: float
