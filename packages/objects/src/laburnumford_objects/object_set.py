"""Model of all objects of a workspace."""

import functools
from collections.abc import Mapping
from typing import Any

import pydantic

from laburnumford_objects import (
    _model,
    errors,
    group,
    policy,
    resolution,
    route,
    service,
    source,
    zone,
)


class ObjectSet(_model.Model):
    """All objects of one workspace, each by its name."""

    workspace: _model.Name = _model.described_field("Name of the workspace.")
    zones_by_name: Mapping[str, zone.Zone] = _model.described_field("Zones.", default_factory=dict)
    services_by_name: Mapping[str, service.Service] = _model.described_field(
        "Services.", default_factory=dict
    )
    groups_by_name: Mapping[str, group.Group] = _model.described_field(
        "Groups.", default_factory=dict
    )
    routes_by_name: Mapping[str, route.Route] = _model.described_field(
        "Routes.", default_factory=dict
    )
    policies_by_name: Mapping[str, policy.Policy] = _model.described_field(
        "Policies.", default_factory=dict
    )

    _origin: source.Source | None = pydantic.PrivateAttr(default=None)

    @property
    def origin(self) -> source.Source | None:
        """The file that the set was read from with the lines of its objects, None if published."""
        return self._origin

    def with_origin(self, origin: source.Source) -> "ObjectSet":
        """Returns a copy that records the file that the objects were read from."""
        copy = self.model_copy()
        copy._origin = origin
        return copy

    def policy_for(self, entry: route.Route) -> policy.Policy:
        """Returns the resolved policy of a route of this set, or else that of its service.

        Raises:
            PolicyError: a policy or the service of the route is missing, or its policies form a
                cycle. `check.check` finds both before a set is published.
        """
        name = self._policy_name(entry)
        found = self.policy_cache.get(name)
        if found is None:
            found = resolution.resolve(self.policies_by_name, name)
            self.policy_cache[name] = found
        return found

    @functools.cached_property
    def policy_cache(self) -> dict[str, policy.Policy]:
        """Resolved policies by name, filled by `policy_for`."""
        return {}

    def _policy_name(self, entry: route.Route) -> str:
        if entry.policy is not None:
            return entry.policy
        service_ = self.services_by_name.get(entry.service)
        if service_ is None:
            raise errors.PolicyError(
                f"route {entry.name!r}: field service: found {entry.service!r};"
                " allowed: the name of a service"
            )
        return service_.policy

    def model_copy(
        self, *, update: Mapping[str, Any] | None = None, deep: bool = False
    ) -> "ObjectSet":
        """Returns a copy with an empty policy cache, because `update` may change the policies."""
        copy = super().model_copy(update=update, deep=deep)
        copy.__dict__.pop("policy_cache", None)
        return copy

    def __eq__(self, other: Any) -> bool:
        """Compares the objects and ignores the file that they were read from."""
        return isinstance(other, ObjectSet) and all(
            getattr(self, field) == getattr(other, field) for field in type(self).model_fields
        )

    __hash__ = None  # type: ignore[assignment]
