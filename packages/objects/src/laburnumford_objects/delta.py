"""Computes, encodes and applies the differences between two object sets."""

import bisect
import operator
from collections.abc import Mapping, Sequence
from typing import Any

import pydantic

from laburnumford_objects import (
    _model,
    _validation,
    backend_server,
    errors,
    group,
    group_change,
    object_set,
    policy,
    route,
    service,
    zone,
)

_SECTIONS = ("zones", "services", "groups", "routes", "policies")
_name_of = operator.attrgetter("name")


class Delta(_model.Model):
    """The objects that differ between two object sets of a workspace.

    A delta contains only the objects that changed, and of a changed group only the backend servers
    that changed, so its size depends on the change and not on the size of the sets.
    """

    workspace: _model.Name = _model.described_field("Name of the workspace.")
    zones: tuple[zone.Zone, ...] = _model.described_field("Zones set.", default=())
    services: tuple[service.Service, ...] = _model.described_field("Services set.", default=())
    groups: tuple[group_change.GroupChange, ...] = _model.described_field(
        "Groups changed.", default=()
    )
    routes: tuple[route.Route, ...] = _model.described_field("Routes set.", default=())
    policies: tuple[policy.Policy, ...] = _model.described_field("Policies set.", default=())
    removed_zones: tuple[_model.Name, ...] = _model.described_field("Zones removed.", default=())
    removed_services: tuple[_model.Name, ...] = _model.described_field(
        "Services removed.", default=()
    )
    removed_groups: tuple[_model.Name, ...] = _model.described_field("Groups removed.", default=())
    removed_routes: tuple[_model.Name, ...] = _model.described_field("Routes removed.", default=())
    removed_policies: tuple[_model.Name, ...] = _model.described_field(
        "Policies removed.", default=()
    )

    def encode(self) -> bytes:
        """Returns the delta as JSON, without the fields that an object does not set."""
        return self.model_dump_json(exclude_unset=True).encode()

    @classmethod
    def decode(cls, text: bytes) -> "Delta":
        """Returns the delta that was encoded as `text`.

        Raises:
            DeltaError: the text is not a delta, or one of its objects is not valid.
        """
        try:
            return cls.model_validate_json(text)
        except pydantic.ValidationError as error:
            raise errors.DeltaError(_validation.summarise(error)) from error

    def removes_reference_targets(self) -> bool:
        """Returns whether the delta removes an object that other objects can refer to."""
        return bool(
            self.removed_zones
            or self.removed_services
            or self.removed_groups
            or self.removed_policies
        )


def diff(old: object_set.ObjectSet, new: object_set.ObjectSet) -> Delta:
    """Returns the delta that leads from `old` to `new`.

    Raises:
        DeltaError: the sets belong to different workspaces.
    """
    if old.workspace != new.workspace:
        raise errors.DeltaError(
            f"workspace: found {new.workspace!r}; allowed: {old.workspace!r}, that of the old set"
        )
    fields: dict[str, Any] = {"workspace": new.workspace}
    for section in _SECTIONS:
        before = getattr(old, f"{section}_by_name")
        after = getattr(new, f"{section}_by_name")
        changed: list[Any] = []
        for name in sorted(after):
            if name not in before or _differs(before[name], after[name]):
                entry = after[name]
                if section == "groups":
                    entry = _diff_group(before.get(name), entry)
                changed.append(entry)
        if changed:
            fields[section] = tuple(changed)
        removed = tuple(sorted(before.keys() - after.keys()))
        if removed:
            fields[f"removed_{section}"] = removed
    return Delta(**fields)


def apply(objects: object_set.ObjectSet, change: Delta) -> object_set.ObjectSet:
    """Returns the object set that a delta leads to from `objects`; unchanged objects are shared.

    Raises:
        DeltaError: the delta is for another workspace, removes a missing object, or leaves a group
            without backend servers.
    """
    if objects.workspace != change.workspace:
        raise errors.DeltaError(
            f"workspace: found {change.workspace!r}; allowed: {objects.workspace!r}"
        )
    groups = [
        _apply_group(objects.groups_by_name.get(entry.name), entry) for entry in change.groups
    ]
    # The objects were validated when the delta was computed or decoded.
    return object_set.ObjectSet.model_construct(
        workspace=objects.workspace,
        zones_by_name=_apply_section(
            "zone", objects.zones_by_name, change.zones, change.removed_zones
        ),
        services_by_name=_apply_section(
            "service", objects.services_by_name, change.services, change.removed_services
        ),
        groups_by_name=_apply_section(
            "group", objects.groups_by_name, groups, change.removed_groups
        ),
        routes_by_name=_apply_section(
            "route", objects.routes_by_name, change.routes, change.removed_routes
        ),
        policies_by_name=_apply_section(
            "policy", objects.policies_by_name, change.policies, change.removed_policies
        ),
    )


def _apply_section(
    kind: str, before: Mapping[str, Any], changed: Sequence[Any], removed: Sequence[str]
) -> Mapping[str, Any]:
    """Returns the objects of one kind after a delta, `before` itself if none changed."""
    if not changed and not removed:
        return before
    after = dict(before)
    for name in removed:
        if after.pop(name, None) is None:
            raise errors.DeltaError(f"{kind} {name!r}: found its removal; allowed: a name in use")
    for entry in changed:
        after[entry.name] = entry
    return after


def _diff_group(before: group.Group | None, after: group.Group) -> group_change.GroupChange:
    old = {server.name: server for server in before.backend_servers} if before else {}
    changed = tuple(
        server
        for server in after.backend_servers
        if server.name not in old or _differs(old[server.name], server)
    )
    fields: dict[str, Any] = {"name": after.name}
    if changed:
        fields["backend_servers"] = changed
    removed = tuple(sorted(old.keys() - {server.name for server in after.backend_servers}))
    if removed:
        fields["removed"] = removed
    return group_change.GroupChange(**fields)


def _apply_group(before: group.Group | None, change: group_change.GroupChange) -> group.Group:
    servers: list[backend_server.BackendServer] = list(before.backend_servers) if before else []
    for name in change.removed:
        index = bisect.bisect_left(servers, name, key=_name_of)
        if index == len(servers) or servers[index].name != name:
            raise errors.DeltaError(
                f"group {change.name!r}: found the removal of backend server {name!r};"
                " allowed: a name in use"
            )
        del servers[index]
    for server in change.backend_servers:
        index = bisect.bisect_left(servers, server.name, key=_name_of)
        if index < len(servers) and servers[index].name == server.name:
            servers[index] = server
        else:
            servers.insert(index, server)
    if not servers:
        raise errors.DeltaError(
            f"group {change.name!r}: found no backend server; allowed: at least one"
        )
    return group.Group.model_construct(name=change.name, backend_servers=tuple(servers))


def _differs(before: pydantic.BaseModel, after: pydantic.BaseModel) -> bool:
    """Returns whether two objects differ in a value or, for policies, in the fields that they set.

    A policy that sets a field to its default differs from one that leaves the field out: the set
    field overrides that of the policy that it extends.
    """
    if before is after:
        return False
    return before != after or (
        isinstance(before, policy.Policy)
        and before.model_dump(exclude_unset=True) != after.model_dump(exclude_unset=True)
    )
