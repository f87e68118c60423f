"""Values of a file with their line numbers."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LocatedValue:
    """A value of a file with its line number and the values that it contains.

    Attributes:
        data: the value without lines; objects are dicts, arrays are tuples.
        line: number of the line on which the value starts, from 1.
        children: the contained values by key or index, empty for a scalar.
    """

    data: Any
    line: int
    children: "Mapping[str | int, LocatedValue]"

    def line_of(self, path: Iterable[str | int]) -> int:
        """Returns the line of the value at `path`, or of the innermost value around it."""
        node = self
        for step in path:
            child = node.children.get(step)
            if child is None:
                break
            node = child
        return node.line
