"""Reads a deployment: all objects of a workspace in one file of JSON with comments."""

import dataclasses
from collections.abc import Sequence
from typing import Any

import pydantic

from laburnumford_objects import (
    _model,
    _validation,
    errors,
    group,
    jsonc,
    located,
    object_set,
    policy,
    problem,
    route,
    service,
    source,
    zone,
)

_MODELS_BY_SECTION: dict[str, type[pydantic.BaseModel]] = {
    "zones": zone.Zone,
    "services": service.Service,
    "groups": group.Group,
    "routes": route.Route,
    "policies": policy.Policy,
}
_KINDS_BY_SECTION = {
    "zones": "zone",
    "services": "service",
    "groups": "group",
    "routes": "route",
    "policies": "policy",
}
_ALLOWED = "object with the fields " + ", ".join(["workspace", *_MODELS_BY_SECTION])


class _Header(_model.Model):
    """The part of a deployment that is no list of objects."""

    workspace: _model.Name = _model.declared("Name of the workspace.")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """What could be read of a deployment file.

    Attributes:
        object_set: the valid objects of the file, None if there is no valid workspace.
        problems: everything that was not valid.
        broken: kind and name of the objects that are in the file but not valid.
    """

    object_set: object_set.ObjectSet | None
    problems: tuple[problem.Problem, ...]
    broken: frozenset[tuple[str, str]]


def load(path: str) -> object_set.ObjectSet:
    """Reads the deployment file at `path`.

    Raises:
        DeploymentError: the file cannot be read, or one of its objects is not valid; names all
            problems. References between objects are left to `check.check`.
    """
    reading = read(path)
    if reading.problems or reading.object_set is None:
        raise errors.DeploymentError(reading.problems)
    return reading.object_set


def read(path: str) -> Reading:
    """Reads as much as possible of the deployment file at `path`."""
    try:
        root = jsonc.load(path)
    except errors.JsoncError as error:
        return Reading(object_set=None, problems=(problem.of_syntax(error),), broken=frozenset())
    return _Reader(path, root).read()


class _Reader:
    def __init__(self, path: str, root: located.Located) -> None:
        self._path = path
        self._root = root
        self._problems: list[problem.Problem] = []
        self._located_by_object: dict[source.Key, located.Located] = {}
        self._broken: set[tuple[str, str]] = set()

    def read(self) -> Reading:
        if not isinstance(self._root.data, dict):
            self._add("", problem.shown(self._root.data), _ALLOWED)
            return self._reading(None)
        children = self._root.children
        rest = {key: value for key, value in children.items() if key not in _MODELS_BY_SECTION}
        header = located.Located(
            data={key: value.data for key, value in rest.items()},
            line=self._root.line,
            children=rest,
        )
        workspace, problems = _validation.validate(
            _Header, header, self._path, lambda _: ("deployment", 0)
        )
        self._problems += [
            dataclasses.replace(entry, allowed=_ALLOWED)
            if entry.rule == "unknown-field"
            else entry
            for entry in problems
        ]
        objects_by_section = {section: self._section(section) for section in _MODELS_BY_SECTION}
        loaded = None
        if workspace is not None:
            origin = source.Source(file=self._path, located_by_object=self._located_by_object)
            loaded = object_set.ObjectSet(
                workspace=workspace.workspace,
                **{f"{section}_by_name": found for section, found in objects_by_section.items()},
            ).with_origin(origin)
        return self._reading(loaded)

    def _reading(self, loaded: object_set.ObjectSet | None) -> Reading:
        ordered = sorted(self._problems, key=lambda entry: entry.line)
        return Reading(object_set=loaded, problems=tuple(ordered), broken=frozenset(self._broken))

    def _section(self, section: str) -> dict[str, Any]:
        value = self._root.children.get(section)
        if value is None:
            return {}
        if not isinstance(value.data, tuple):
            noun = _MODELS_BY_SECTION[section].__name__
            self._add(section, problem.shown(value.data), f"array of {noun}", value.line)
            return {}
        found: dict[str, Any] = {}
        for index, item in enumerate(value.children.values()):
            loaded = self._object(section, index, item)
            if loaded is not None:
                found.setdefault(loaded.name, loaded)
        return found

    def _object(self, section: str, index: int, item: located.Located) -> Any:
        kind, model = _KINDS_BY_SECTION[section], _MODELS_BY_SECTION[section]
        name = item.data.get("name") if isinstance(item.data, dict) else None
        subject = (
            f"{kind} {problem.shown(name)}"
            if isinstance(name, str)
            else f"{kind} number {index + 1}"
        )

        def name_object(path: Sequence[str | int]) -> tuple[str, int]:
            if kind == "group" and len(path) > 1 and path[0] == "backend_servers":
                server = item.data["backend_servers"][path[1]]
                server_name = server.get("name") if isinstance(server, dict) else None
                text = f"number {int(path[1]) + 1}"
                if isinstance(server_name, str):
                    text = problem.shown(server_name)
                return f"backend server {text} of {subject}", 2
            return subject, 0

        loaded, problems = _validation.validate(model, item, self._path, name_object)
        self._problems += problems
        if isinstance(name, str):
            first = self._located_by_object.get((kind, name))
            if first is not None:
                self._problems.append(
                    problem.Problem(
                        file=self._path,
                        line=item.line_of(["name"]),
                        object=subject,
                        field="name",
                        found=f"{problem.shown(name)} again, first used on line {first.line_of(['name'])}",
                        allowed="a name that no other object of its kind has",
                        rule="duplicate-name",
                    )
                )
            else:
                self._located_by_object[(kind, name)] = item
                self._locate_servers(kind, name, item)
            if loaded is None:
                self._broken.add((kind, name))
        return loaded

    def _locate_servers(self, kind: str, group_name: str, item: located.Located) -> None:
        count_by_name: dict[str, int] = {}
        servers = item.children.get("backend_servers") if kind == "group" else None
        for server in servers.children.values() if servers else ():
            name = server.data.get("name") if isinstance(server.data, dict) else None
            if isinstance(name, str):
                earlier = count_by_name.get(name, 0)
                count_by_name[name] = earlier + 1
                self._located_by_object[("backend server", group_name, name, earlier)] = server

    def _add(self, field: str, found: str, allowed: str, line: int = 1) -> None:
        self._problems.append(
            problem.Problem(
                file=self._path,
                line=line,
                object="deployment",
                field=field,
                found=found,
                allowed=allowed,
                rule="type",
            )
        )
