"""Checks numeric constructor parameters against declared ranges."""

import collections.abc
import math

from laburnumford_policy.measuring import errors


def check(
    owner: str,
    table: collections.abc.Mapping[str, tuple[float, float]],
    values: collections.abc.Mapping[str, object],
) -> None:
    """Checks that each value is a finite number within its range.

    Args:
        owner: name of the checked object, for the error message.
        table: lowest and highest allowed value by parameter name.
        values: values by parameter name.

    Raises:
        MeasuringParameterError: a value is not a number or lies outside its range.
    """
    for name, (lowest, highest) in table.items():
        value = values[name]
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not math.isfinite(value)
            or not lowest <= value <= highest
        ):
            raise errors.MeasuringParameterError(
                f"{owner}: {name} is {value!r}; allowed: a number from {lowest} to {highest}"
            )
