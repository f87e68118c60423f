"""Checks constructor parameters against a declared table."""

import collections.abc
import math

from laburnumford_policy.choice import errors

Range = tuple[type, float, float]  # Type, lowest and highest allowed value.


def check(
    owner: str,
    table: collections.abc.Mapping[str, Range],
    values: collections.abc.Mapping[str, object],
) -> None:
    """Checks the named values that the table lists.

    Raises:
        ChoiceParameterError: a value has a wrong type or lies outside its range.
    """
    for name, (kind, lowest, highest) in table.items():
        value = values[name]
        accepted = (int, float) if kind is float else (kind,)
        valid = (
            isinstance(value, accepted)
            and not isinstance(value, bool)
            and math.isfinite(value)  # type: ignore[arg-type]
            and lowest <= value <= highest  # type: ignore[operator]
        )
        if not valid:
            raise errors.ChoiceParameterError(
                f"{owner}: {name} is {value!r}; "
                f"allowed: {kind.__name__} from {lowest} to {highest}"
            )
