"""Compares a configuration with the one in force."""

import dataclasses
from collections.abc import Iterator, Mapping
from typing import Any

from laburnumford_mesh import configuration, route
from laburnumford_mesh.checks import change, object_names

_Fields = Mapping[str, str]


def compare(
    in_force: configuration.Configuration, candidate: configuration.Configuration
) -> tuple[change.Change, ...]:
    """Returns what a configuration changes: version, limits, services, then routes."""
    old, new = _fields_by_object(in_force), _fields_by_object(candidate)
    removed = [key for key in old if key not in new]
    return tuple(
        each
        for key in (*new, *removed)
        for each in _compare_object(" ".join(key), old.get(key), new.get(key))
    )


def _fields_by_object(compared: configuration.Configuration) -> dict[tuple[str, ...], _Fields]:
    """Returns the fields of each object by its kind and name."""
    objects: dict[tuple[str, ...], _Fields] = {
        (object_names.CONFIGURATION,): {"version": str(compared.version)},
        (object_names.LIMITS,): _fields(dataclasses.asdict(compared.limits)),
    }
    for service, path in compared.health_path_by_service.items():
        values = {
            "health_path": path,
            "max_connections": compared.max_connections_by_service.get(service),
        }
        objects["service", repr(service)] = _fields(values)
    # Of routes with the same host and prefix, nodes use the last.
    for each in compared.routes:
        objects["route at", repr(each.host + each.prefix)] = _route_fields(each)
    return objects


def _route_fields(described: route.Route) -> _Fields:
    values = {
        field.name: getattr(described, field.name)
        for field in dataclasses.fields(described)
        if field.name not in ("host", "prefix", "services")
    }
    total = sum(each.weight for each in described.services) or 1.0
    shares = [f"{_text(each.name)} {each.weight / total:.1%}" for each in described.services]
    return {**_fields(values), "services": ", ".join(sorted(shares))}


def _fields(values: Mapping[str, Any]) -> _Fields:
    return {name: _text(value) for name, value in values.items()}


def _text(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, str) and not value.isprintable():
        return repr(value)
    return str(value)


def _compare_object(
    name: str, old: _Fields | None, new: _Fields | None
) -> Iterator[change.Change]:
    if old is None or new is None:
        yield change.Change(
            object=name,
            field="",
            in_force=None if old is None else _format(old),
            new=None if new is None else _format(new),
        )
        return
    for field in dict.fromkeys((*old, *new)):
        if old.get(field) != new.get(field):
            yield change.Change(
                object=name,
                field=field,
                in_force=old.get(field, "not set"),
                new=new.get(field, "not set"),
            )


def _format(fields: _Fields) -> str:
    return ", ".join(f"{name} {value}" for name, value in fields.items())
