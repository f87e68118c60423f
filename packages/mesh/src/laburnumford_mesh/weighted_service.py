"""Service that receives a share of the requests of a route."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """Destination of a route with its weight.

    Attributes:
        name: name of the service.
        weight: share relative to the other weights of the route.
    """

    name: str
    weight: float
