"""Checks numeric constructor parameters against a declared table."""

import collections.abc
import math

from laburnumford_policy.measuring import errors


def check(
    owner: str,
    table: collections.abc.Mapping[str, tuple[float, float]],
    values: collections.abc.Mapping[str, object],
) -> None:
    """Checks the named values against their lowest and highest allowed value.

    Raises:
        MeasuringParameterError: a value is no number or lies outside its range.
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
