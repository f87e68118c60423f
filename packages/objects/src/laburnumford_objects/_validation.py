"""Turns validation errors of pydantic into problems."""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import pydantic

from laburnumford_objects import _schema, located, problem

M = TypeVar("M", bound=pydantic.BaseModel)

_MAX_PROBLEMS = 1000  # bounds the output for a hostile file


def validate(
    model: type[M],
    value: located.Located,
    file: str,
    name_object: Callable[[Sequence[str | int]], tuple[str, int]],
) -> tuple[M | None, list[problem.Problem]]:
    """Validates `value` as `model`.

    Args:
        model: the model.
        value: the value with its lines.
        file: path for the problems.
        name_object: returns the text for the object around a path, and the length of the path of
            that object.

    Returns:
        The instance, or None with all problems.
    """
    try:
        return model.model_validate(value.data), []
    except pydantic.ValidationError as error:
        return None, problems_of(model, error, file, value.line_of, name_object)


def problems_of(
    model: type[pydantic.BaseModel],
    error: pydantic.ValidationError,
    file: str,
    line_of: Callable[[Sequence[str | int]], int],
    name_object: Callable[[Sequence[str | int]], tuple[str, int]],
) -> list[problem.Problem]:
    """Returns the problems that `error` stands for, with the arguments of `validate`."""
    details = error.errors(include_url=False, include_context=False)[:_MAX_PROBLEMS]
    problems = []
    for detail in details:
        path = [step for step in detail["loc"] if step != "[key]"]
        subject, depth = name_object(path)
        found, allowed, rule = _describe(model, path, detail)
        problems.append(
            problem.Problem(
                file=file,
                line=line_of(path),
                object=subject,
                field=".".join(_step(step) for step in path[depth:]),
                found=found,
                allowed=allowed,
                rule=rule,
            )
        )
    return problems


def _step(step: str | int) -> str:
    # The names of unknown fields are arbitrary text.
    text = str(step)
    return text if text.isprintable() and len(text) <= 64 else problem.shown(text)


def _describe(
    model: type[pydantic.BaseModel], path: list[str | int], detail: Any
) -> tuple[str, str, str]:
    root = _schema.of_model(model)
    if detail["type"] == "missing":
        return "no value", _schema.allowed(root, _schema.field(model, path)), "missing-field"
    if detail["type"] == "extra_forbidden":
        return (
            "an unknown field",
            _schema.allowed(root, _schema.field(model, path[:-1])),
            "unknown-field",
        )
    allowed = _schema.allowed(root, _schema.field(model, path))
    if detail["loc"] and detail["loc"][-1] == "[key]":
        allowed = "a name"
    rule = "type" if detail["type"].endswith("_type") else "out-of-range"
    return problem.shown(detail["input"]), allowed, rule


def summary(error: pydantic.ValidationError) -> str:
    """Returns the number of faults of a published value and the place of the first."""
    first = error.errors(include_url=False, include_context=False, include_input=False)[0]
    place = ".".join(str(step) for step in first["loc"]) or "text"
    return f"found {error.error_count()} invalid values; first: {place}: {first['msg']}"
