"""Where the objects of a set were read from."""

import dataclasses
from collections.abc import Iterable, Mapping

from laburnumford_objects import located


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """The file of an object set and the lines of its objects.

    Attributes:
        file: path of the file.
        located_by_object: the value of each object by kind (such as ``"route"``) and name.
    """

    file: str
    located_by_object: Mapping[tuple[str, str], located.Located]

    def line_of(self, kind: str, name: str, path: Iterable[str | int] = ()) -> int:
        """Returns the line of a field of an object, 0 if the object is not in the file."""
        value = self.located_by_object.get((kind, name))
        return value.line_of(path) if value else 0
