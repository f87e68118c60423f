"""Where the objects of a set were read from."""

import dataclasses
from collections.abc import Iterable, Mapping

from laburnumford_objects import located

Key = tuple[str | int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """The file of an object set and the lines of its objects.

    Attributes:
        file: path of the file.
        located_by_object: the value of each object by its kind and name, such as
            ``("route", "statements")``; for a backend server by kind, name of the group, name and
            number of earlier servers of that name in the group.
    """

    file: str
    located_by_object: Mapping[Key, located.Located]

    def line_of(self, key: Key, path: Iterable[str | int] = ()) -> int:
        """Returns the line of a field of an object, 0 if the object is not in the file."""
        value = self.located_by_object.get(key)
        return value.line_of(path) if value else 0
