"""Locations of the objects of a set in the file that they were read from."""

import dataclasses
from collections.abc import Iterable, Mapping

from laburnumford_objects import located

# Identifies an object, see `Source.located_by_object`.
ObjectKey = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """The file of an object set and the lines of its objects.

    Attributes:
        file: path of the file.
        located_by_object: value of each object by kind and name, such as
            ``("route", "statements")``. The key of a backend server is kind, name of the group,
            name and number of earlier servers with that name in the group.
    """

    file: str
    located_by_object: Mapping[ObjectKey, located.LocatedValue]

    def line_of(self, key: ObjectKey, path: Iterable[str | int] = ()) -> int:
        """Returns the line of a field of an object, 0 if the object is not in the file."""
        value = self.located_by_object.get(key)
        return value.line_of(path) if value else 0
