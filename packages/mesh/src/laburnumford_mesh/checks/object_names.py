"""Names of the objects of a configuration in findings and changes."""

from laburnumford_mesh import route
from laburnumford_objects import problem

CONFIGURATION = "configuration"
LIMITS = "limits"


def of_route(named: route.Route) -> str:
    """Returns the name of a route with the host and path prefix that identify it."""
    return f"route {problem.abbreviated_repr(named.name)} at {problem.abbreviated_repr(named.host + named.prefix)}"


def of_service(service: str) -> str:
    """Returns the name of a service."""
    return f"service {problem.abbreviated_repr(service)}"
