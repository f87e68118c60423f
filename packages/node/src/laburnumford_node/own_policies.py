"""Published policies that apply to the adjacent backend server and its node."""

import dataclasses

from laburnumford_objects import measuring, object_set, policy, resolution


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnPolicies:
    """Holds the limits that a published set gives one backend server and its node.

    Attributes:
        measuring: measuring budget, or None if the server is not published.
        queue_limit: requests that may wait for the server, or None if it is not published.
        grace_s: longest time in seconds that any published policy gives a request to
            finish. The node relays calls of all services, so all policies count.
    """

    measuring: measuring.MeasuringLimits | None
    queue_limit: int | None
    grace_s: float


class OwnPolicyFinder:
    """Finds the limits of one backend server in each published set.

    Args:
        server_name: name of the backend server.
    """

    def __init__(self, *, server_name: str) -> None:
        self._server_name = server_name
        self._group_name = ""

    def find(self, objects: object_set.ObjectSet) -> OwnPolicies:
        """Returns the limits that a published set gives the server."""
        grace_s = max(
            (
                resolution.resolve(objects.policies_by_name, name).grace_s
                for name in objects.policies_by_name
            ),
            default=0.0,
        )
        policies = self._policies(objects)
        return OwnPolicies(
            measuring=policies[0].measuring if policies else None,
            queue_limit=max((one.queue_limit for one in policies), default=None),
            grace_s=grace_s,
        )

    def _policies(self, objects: object_set.ObjectSet) -> list[policy.Policy]:
        """Returns the policies of the server's services first, then those of their routes."""
        if not self._contains_server(objects, self._group_name):
            # All groups are searched only if the server is no longer in its last known group.
            found = (
                name for name in objects.groups_by_name if self._contains_server(objects, name)
            )
            self._group_name = next(found, "")
        services = [
            service
            for service in objects.services_by_name.values()
            if service.group == self._group_name
        ]
        names = [service.policy for service in services]
        own_names = {service.name for service in services}
        names.extend(
            route.policy
            for route in objects.routes_by_name.values()
            if route.policy is not None and route.service in own_names
        )
        return [resolution.resolve(objects.policies_by_name, name) for name in names]

    def _contains_server(self, objects: object_set.ObjectSet, group_name: str) -> bool:
        group = objects.groups_by_name.get(group_name)
        return group is not None and any(
            server.name == self._server_name for server in group.backend_servers
        )
