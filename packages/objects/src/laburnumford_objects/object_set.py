"""The whole set of objects of a workspace."""

from collections.abc import Mapping
from typing import Any

import pydantic

from laburnumford_objects import _model, group, policy, route, service, source, zone


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

    def __eq__(self, other: Any) -> bool:
        """Compares the objects, without regard to the file they were read from."""
        return isinstance(other, ObjectSet) and self.__dict__ == other.__dict__

    __hash__ = None  # type: ignore[assignment]
