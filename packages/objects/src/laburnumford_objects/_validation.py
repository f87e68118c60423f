"""Converts the validation errors of pydantic to problems."""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import pydantic

from laburnumford_objects import _schema, located, problem

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)

_MAX_PROBLEMS_PER_OBJECT = 1000  # limits the output for a file with very many errors


def validate(
    model: type[ModelT],
    value: located.LocatedValue,
    file: str,
    describe_object: Callable[[Sequence[str | int]], tuple[str, int]],
) -> tuple[ModelT | None, list[problem.Problem]]:
    """Validates `value` as `model`.

    Args:
        model: the expected model.
        value: the value with its lines.
        file: path of the file, for the problems.
        describe_object: returns the text for the innermost named object that contains a path, and
            the length of the path of that object.

    Returns:
        The instance and no problems, or None and the problems.
    """
    try:
        return model.model_validate(value.data), []
    except pydantic.ValidationError as error:
        return None, to_problems(model, error, file, value.line_of, describe_object)


def to_problems(
    model: type[pydantic.BaseModel],
    error: pydantic.ValidationError,
    file: str,
    line_of: Callable[[Sequence[str | int]], int],
    describe_object: Callable[[Sequence[str | int]], tuple[str, int]],
) -> list[problem.Problem]:
    """Returns the problems for a validation error of pydantic.

    Args:
        model: the expected model.
        error: the error that the validation raised.
        file: path of the file, for the problems.
        line_of: returns the line of the value at a path.
        describe_object: as for `validate`.
    """
    details = error.errors(include_url=False, include_context=False)[:_MAX_PROBLEMS_PER_OBJECT]
    problems = []
    for detail in details:
        path = [step for step in detail["loc"] if step != "[key]"]
        subject, depth = describe_object(path)
        found, allowed, rule = _describe(model, path, detail)
        problems.append(
            problem.Problem(
                file=file,
                line=line_of(path),
                object=subject,
                field=".".join(_describe_step(step) for step in path[depth:]),
                found=found,
                allowed=allowed,
                rule=rule,
            )
        )
    return problems


def _describe_step(step: str | int) -> str:
    # The name of an unknown field can be any text of the file.
    text = str(step)
    return text if text.isprintable() and len(text) <= 64 else problem.abbreviated_repr(text)


def _describe(
    model: type[pydantic.BaseModel], path: list[str | int], detail: Any
) -> tuple[str, str, str]:
    root = _schema.model_schema(model)
    if detail["type"] == "missing":
        return (
            "no value",
            _schema.describe_allowed(root, _schema.field_schema(model, path)),
            "missing-field",
        )
    if detail["type"] == "extra_forbidden":
        return (
            "an unknown field",
            _schema.describe_allowed(root, _schema.field_schema(model, path[:-1])),
            "unknown-field",
        )
    allowed = _schema.describe_allowed(root, _schema.field_schema(model, path))
    if detail["loc"] and detail["loc"][-1] == "[key]":
        allowed = "a name"
    rule = "type" if detail["type"].endswith("_type") else "out-of-range"
    return problem.abbreviated_repr(detail["input"]), allowed, rule


def summarise(error: pydantic.ValidationError) -> str:
    """Returns the number of errors in a published value, with path and cause of the first."""
    first = error.errors(include_url=False, include_context=False, include_input=False)[0]
    path = ".".join(str(step) for step in first["loc"]) or "text"
    return f"found {error.error_count()} invalid values; first: {path}: {first['msg']}"
