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
_ALLOWED_CONTENT = "object with the fields " + ", ".join(["workspace", *_MODELS_BY_SECTION])


class _Header(_model.Model):
    """The fields of a deployment that are not arrays of objects."""

    workspace: _model.Name = _model.described_field("Name of the workspace.")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadResult:
    """The valid objects of a deployment file, and the problems of the others.

    Attributes:
        object_set: the valid objects of the file, None if the file has no valid workspace name.
        problems: all values that are not valid, ordered by line.
        invalid_objects: kind and name of the objects that are in the file but not valid.
    """

    object_set: object_set.ObjectSet | None
    problems: tuple[problem.Problem, ...]
    invalid_objects: frozenset[tuple[str, str]]


def load(path: str) -> object_set.ObjectSet:
    """Reads the deployment file at `path`.

    Raises:
        DeploymentError: the file cannot be read, or one of its objects is not valid; names all
            problems. References between objects are not checked; `check.check` does that.
    """
    result = read(path)
    if result.problems or result.object_set is None:
        raise errors.DeploymentError(result.problems)
    return result.object_set


def read(path: str) -> ReadResult:
    """Reads the valid objects of the deployment file at `path`, and the problems of the others.

    References between objects are not checked; `check.check_read_result` does that.
    """
    try:
        root = jsonc.load(path)
    except errors.JsoncError as error:
        return ReadResult(
            object_set=None,
            problems=(problem.from_syntax_error(error),),
            invalid_objects=frozenset(),
        )
    return _Reader(path, root).read()


class _Reader:
    def __init__(self, path: str, root: located.LocatedValue) -> None:
        self._path = path
        self._root = root
        self._problems: list[problem.Problem] = []
        self._located_by_object: dict[source.ObjectKey, located.LocatedValue] = {}
        self._invalid_objects: set[tuple[str, str]] = set()

    def read(self) -> ReadResult:
        if not isinstance(self._root.data, dict):
            self._add_problem("", problem.abbreviated_repr(self._root.data), _ALLOWED_CONTENT)
            return self._result(None)
        children = self._root.children
        header_fields = {
            key: value for key, value in children.items() if key not in _MODELS_BY_SECTION
        }
        header = located.LocatedValue(
            data={key: value.data for key, value in header_fields.items()},
            line=self._root.line,
            children=header_fields,
        )
        valid_header, problems = _validation.validate(
            _Header, header, self._path, lambda _: ("deployment", 0)
        )
        self._problems += [
            dataclasses.replace(entry, allowed=_ALLOWED_CONTENT)
            if entry.rule == "unknown-field"
            else entry
            for entry in problems
        ]
        objects_by_section = {
            section: self._read_section(section) for section in _MODELS_BY_SECTION
        }
        loaded = None
        if valid_header is not None:
            origin = source.Source(file=self._path, located_by_object=self._located_by_object)
            loaded = object_set.ObjectSet(
                workspace=valid_header.workspace,
                **{f"{section}_by_name": found for section, found in objects_by_section.items()},
            ).with_origin(origin)
        return self._result(loaded)

    def _result(self, loaded: object_set.ObjectSet | None) -> ReadResult:
        ordered = sorted(self._problems, key=lambda entry: entry.line)
        return ReadResult(
            object_set=loaded,
            problems=tuple(ordered),
            invalid_objects=frozenset(self._invalid_objects),
        )

    def _read_section(self, section: str) -> dict[str, Any]:
        value = self._root.children.get(section)
        if value is None:
            return {}
        if not isinstance(value.data, tuple):
            noun = _MODELS_BY_SECTION[section].__name__
            self._add_problem(
                section, problem.abbreviated_repr(value.data), f"array of {noun}", value.line
            )
            return {}
        found: dict[str, Any] = {}
        for index, item in enumerate(value.children.values()):
            loaded = self._read_object(section, index, item)
            if loaded is not None:
                found.setdefault(loaded.name, loaded)
        return found

    def _read_object(self, section: str, index: int, item: located.LocatedValue) -> Any:
        kind, model = _KINDS_BY_SECTION[section], _MODELS_BY_SECTION[section]
        name = item.data.get("name") if isinstance(item.data, dict) else None
        subject = (
            f"{kind} {problem.abbreviated_repr(name)}"
            if isinstance(name, str)
            else f"{kind} number {index + 1}"
        )

        def describe_object(path: Sequence[str | int]) -> tuple[str, int]:
            if kind == "group" and len(path) > 1 and path[0] == "backend_servers":
                server = item.data["backend_servers"][path[1]]
                server_name = server.get("name") if isinstance(server, dict) else None
                text = f"number {int(path[1]) + 1}"
                if isinstance(server_name, str):
                    text = problem.abbreviated_repr(server_name)
                return f"backend server {text} of {subject}", 2
            return subject, 0

        loaded, problems = _validation.validate(model, item, self._path, describe_object)
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
                        found=f"{problem.abbreviated_repr(name)} again,"
                        f" first used on line {first.line_of(['name'])}",
                        allowed="a name that no other object of its kind has",
                        rule="duplicate-name",
                    )
                )
            else:
                self._located_by_object[(kind, name)] = item
                self._locate_servers(kind, name, item)
            if loaded is None:
                self._invalid_objects.add((kind, name))
        return loaded

    def _locate_servers(self, kind: str, group_name: str, item: located.LocatedValue) -> None:
        count_by_name: dict[str, int] = {}
        servers = item.children.get("backend_servers") if kind == "group" else None
        for server in servers.children.values() if servers else ():
            name = server.data.get("name") if isinstance(server.data, dict) else None
            if isinstance(name, str):
                earlier = count_by_name.get(name, 0)
                count_by_name[name] = earlier + 1
                self._located_by_object[("backend server", group_name, name, earlier)] = server

    def _add_problem(self, field: str, found: str, allowed: str, line: int = 1) -> None:
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
