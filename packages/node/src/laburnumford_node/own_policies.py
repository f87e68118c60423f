"""Published policies that bind the adjacent backend server and its node."""

import dataclasses

from laburnumford_objects import measuring, object_set, policy, resolution


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnPolicies:
    """What the published set says about one backend server.

    Attributes:
        measuring: measuring budget, None if the server is not published.
        queue_limit: requests that may wait at the server, None if it is not published.
        grace_s: longest time that any published policy gives a request to finish. The
            node relays calls of all services, so all policies count.
    """

    measuring: measuring.Measuring | None
    queue_limit: int | None
    grace_s: float


class OwnPolicyFinder:
    """Finds the policies of one backend server in each version.

    Args:
        server_name: name of the backend server.
    """

    def __init__(self, *, server_name: str) -> None:
        self._server_name = server_name
        self._group_name = ""

    def find(self, objects: object_set.ObjectSet) -> OwnPolicies:
        """Returns the policies in a published set."""
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
        if not self._holds(objects, self._group_name):
            # Only a change of the own group makes the search of all groups necessary.
            found = (name for name in objects.groups_by_name if self._holds(objects, name))
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

    def _holds(self, objects: object_set.ObjectSet, group_name: str) -> bool:
        group = objects.groups_by_name.get(group_name)
        return group is not None and any(
            server.name == self._server_name for server in group.backend_servers
        )
