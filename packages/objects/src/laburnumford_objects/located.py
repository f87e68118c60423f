"""Values with the lines they were read from."""

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Located:
    """A value of a file together with its line and the lines of its parts.

    Attributes:
        data: the plain value; objects are dicts, arrays are tuples.
        line: line on which the value starts, from 1.
        children: the parts by key or index, empty for a scalar.
    """

    data: Any
    line: int
    children: "Mapping[str | int, Located]"

    def line_of(self, path: Iterable[str | int]) -> int:
        """Returns the line of the value at `path`, or of the nearest value around it."""
        node = self
        for step in path:
            child = node.children.get(step)
            if child is None:
                break
            node = child
        return node.line
