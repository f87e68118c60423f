"""Rules on the values of fields and on the size of published values."""

from collections.abc import Sequence

import pydantic

from laburnumford_objects import (
    _findings,
    _packing,
    _validation,
    delta,
    group,
    object_set,
    source,
)


def check(findings: _findings.Findings) -> None:
    """Finds fields that are not valid, and a set that is too large for one published value."""
    for kind, attribute in _findings.ATTRIBUTE_BY_KIND.items():
        for name, entry in getattr(findings.objects, attribute).items():
            _check_fields(findings, (kind, name), entry)
    if not findings.problems:
        _check_size(findings)


def _check_fields(
    findings: _findings.Findings, key: source.ObjectKey, entry: pydantic.BaseModel
) -> None:
    # Objects that code makes with model_copy or model_construct have not been validated.
    model = type(entry)
    try:
        model.model_validate(entry.model_dump(exclude_unset=True, warnings=False))
    except pydantic.ValidationError as error:

        def server_name_at(path: Sequence[str | int]) -> str | None:
            if isinstance(entry, group.Group) and len(path) > 1 and isinstance(path[1], int):
                return entry.backend_servers[path[1]].name
            return None

        def line_of(path: Sequence[str | int]) -> int:
            name = server_name_at(path)
            if name is not None:
                return findings.line_of(("backend server", key[1], name, 0), path[2:])
            return findings.line_of(key, path)

        def describe_object(path: Sequence[str | int]) -> tuple[str, int]:
            name = server_name_at(path)
            if name is not None:
                return findings.describe(("backend server", key[1], name)), 2
            return findings.describe(key), 0

        findings.problems += _validation.to_problems(
            model, error, findings.file, line_of, describe_object
        )


def _check_size(findings: _findings.Findings) -> None:
    objects = findings.objects
    empty = object_set.ObjectSet(workspace=objects.workspace)
    size = len(_packing.pack(delta.diff(empty, objects).encode()))
    if size > _packing.MAX_VALUE_BYTES:
        findings.add(
            ("workspace", objects.workspace),
            [],
            found=f"{size} bytes in one published value",
            allowed=f"at most {_packing.MAX_VALUE_BYTES} bytes",
            rule="too-large",
        )
