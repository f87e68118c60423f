"""Checks constructor parameters against declared types and ranges."""

import collections.abc
import math

from laburnumford_policy.choice import errors

Range = tuple[type, float, float]  # Type, lowest and highest allowed value.


def check(
    owner: str,
    table: collections.abc.Mapping[str, Range],
    values: collections.abc.Mapping[str, object],
) -> None:
    """Checks the values of all parameters that `table` lists.

    Args:
        owner: name of the checked object, for the error message.
        table: type and allowed range of each parameter, by parameter name.
        values: value of each parameter, by parameter name.

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
