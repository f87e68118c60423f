"""Checks constructor parameters against declared ranges."""

import dataclasses
import math
from collections.abc import Mapping

from laburnumford_objects import errors


@dataclasses.dataclass(frozen=True, kw_only=True)
class Range:
    """Allowed values of a numeric parameter.

    Args:
        lowest: smallest allowed value.
        highest: largest allowed value.
        whole: whether only whole numbers are allowed.
    """

    lowest: float
    highest: float = math.inf
    whole: bool = False


def check(owner: str, table: Mapping[str, Range], values: Mapping[str, float]) -> None:
    """Checks the values of all parameters that `table` lists.

    Args:
        owner: name of the checked object, for the error message.
        table: allowed range of each parameter, by parameter name.
        values: value of each parameter, by parameter name.

    Raises:
        ParameterError: a value has the wrong type or lies outside its range.
    """
    for name, allowed in table.items():
        value = values[name]
        kind = int if allowed.whole else (int, float)
        if isinstance(value, bool) or not isinstance(value, kind):
            wanted = "a whole number" if allowed.whole else "a number"
            raise errors.ParameterError(f"{owner}: {name} is {value!r}; allowed: {wanted}")
        if not allowed.lowest <= value <= allowed.highest:
            raise errors.ParameterError(
                f"{owner}: {name} is {value!r}; allowed: {allowed.lowest} to {allowed.highest}"
            )
