"""What the rules of a check need to report a problem."""

from collections.abc import Sequence

from laburnumford_objects import object_set, problem, source

SECTION_BY_KIND = {
    "zone": "zones_by_name",
    "service": "services_by_name",
    "group": "groups_by_name",
    "route": "routes_by_name",
    "policy": "policies_by_name",
}


class Findings:
    """Collects the problems of one object set.

    Args:
        objects: the set that is checked.
        broken: kind and name of objects that exist but could not be read.
    """

    def __init__(
        self, *, objects: object_set.ObjectSet, broken: frozenset[tuple[str, str]]
    ) -> None:
        self.objects = objects
        self.broken = broken
        self.problems: list[problem.Problem] = []
        self._origin = objects.origin or source.Source(file="", located_by_object={})

    def add(
        self, key: source.Key, path: Sequence[str | int], *, found: str, allowed: str, rule: str
    ) -> None:
        """Adds a problem of the field at `path` of the object `key`."""
        self.problems.append(
            problem.Problem(
                file=self._origin.file,
                line=self.line_of(key, path),
                object=self.text(key),
                field=".".join(str(step) for step in path),
                found=found,
                allowed=allowed,
                rule=rule,
            )
        )

    def line_of(self, key: source.Key, path: Sequence[str | int] = ()) -> int:
        """Returns the line of a field, 0 if unknown."""
        return self._origin.line_of(key, path)

    @property
    def file(self) -> str:
        """The file of the set, empty if it was not read from one."""
        return self._origin.file

    def text(self, key: source.Key) -> str:
        """Returns the text for an object in a problem."""
        if key[0] == "backend server":
            return f"backend server {key[2]!r} of group {key[1]!r}"
        return f"{key[0]} {key[1]!r}"

    def refer(self, key: source.Key, path: Sequence[str | int], kind: str, name: str) -> None:
        """Adds a problem unless an object of `kind` has the name `name`."""
        if name in getattr(self.objects, SECTION_BY_KIND[kind]) or (kind, name) in self.broken:
            return
        self.add(
            key,
            path,
            found=repr(name),
            allowed=f"the name of a {kind} of this workspace",
            rule="unknown-reference",
        )
