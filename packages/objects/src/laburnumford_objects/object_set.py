"""The whole set of objects of a workspace."""

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

    workspace: _model.Name = _model.declared("Name of the workspace.")
    zones_by_name: Mapping[str, zone.Zone] = _model.declared("Zones.", default_factory=dict)
    services_by_name: Mapping[str, service.Service] = _model.declared(
        "Services.", default_factory=dict
    )
    groups_by_name: Mapping[str, group.Group] = _model.declared("Groups.", default_factory=dict)
    routes_by_name: Mapping[str, route.Route] = _model.declared("Routes.", default_factory=dict)
    policies_by_name: Mapping[str, policy.Policy] = _model.declared(
        "Policies.", default_factory=dict
    )

    _origin: source.Source | None = pydantic.PrivateAttr(default=None)

    @property
    def origin(self) -> source.Source | None:
        """The file that the set was read from, None for a published set."""
        return self._origin

    def with_origin(self, origin: source.Source) -> "ObjectSet":
        """Returns the same objects together with the file they were read from."""
        copy = self.model_copy()
        copy._origin = origin
        return copy

    def policy_for(self, entry: route.Route) -> policy.Policy:
        """Returns the policy of a route of this set, or else of its service, resolved.

        Raises:
            PolicyError: the policy or the service of the route is missing, or its policies form a
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
        """Resolved policies by their names, filled by `policy_for`."""
        return {}

    def _policy_name(self, entry: route.Route) -> str:
        if entry.policy is not None:
            return entry.policy
        named = self.services_by_name.get(entry.service)
        if named is None:
            raise errors.PolicyError(
                f"route {entry.name!r}: field service: found {entry.service!r};"
                " allowed: the name of a service"
            )
        return named.policy

    def model_copy(
        self, *, update: Mapping[str, Any] | None = None, deep: bool = False
    ) -> "ObjectSet":
        """Returns a copy without the cached policies, which `update` may change."""
        copy = super().model_copy(update=update, deep=deep)
        copy.__dict__.pop("policy_cache", None)
        return copy

    def __eq__(self, other: Any) -> bool:
        """Compares the objects, without regard to the file they were read from."""
        return isinstance(other, ObjectSet) and all(
            getattr(self, field) == getattr(other, field) for field in type(self).model_fields
        )

    __hash__ = None  # type: ignore[assignment]
