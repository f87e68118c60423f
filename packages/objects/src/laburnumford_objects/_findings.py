"""Collects the problems that the rules of a check find."""

from collections.abc import Sequence

from laburnumford_objects import object_set, problem, source

# Attribute of `ObjectSet` that holds the objects of a kind.
ATTRIBUTE_BY_KIND = {
    "zone": "zones_by_name",
    "service": "services_by_name",
    "group": "groups_by_name",
    "route": "routes_by_name",
    "policy": "policies_by_name",
}


class Findings:
    """Collects the problems of one object set and locates them in its file.

    Args:
        objects: the object set that is checked.
        invalid_objects: kind and name of the objects that are in the file but not valid. A
            reference to one of them is no problem.
    """

    def __init__(
        self, *, objects: object_set.ObjectSet, invalid_objects: frozenset[tuple[str, str]]
    ) -> None:
        self.objects = objects
        self.invalid_objects = invalid_objects
        self.problems: list[problem.Problem] = []
        self._origin = objects.origin or source.Source(file="", located_by_object={})

    def add(
        self,
        key: source.ObjectKey,
        path: Sequence[str | int],
        *,
        found: str,
        allowed: str,
        rule: str,
    ) -> None:
        """Adds a problem of the field at `path` in the object `key`."""
        self.problems.append(
            problem.Problem(
                file=self._origin.file,
                line=self.line_of(key, path),
                object=self.describe(key),
                field=".".join(str(step) for step in path),
                found=found,
                allowed=allowed,
                rule=rule,
            )
        )

    def line_of(self, key: source.ObjectKey, path: Sequence[str | int] = ()) -> int:
        """Returns the line of the field at `path` in the object `key`, 0 if unknown."""
        return self._origin.line_of(key, path)

    @property
    def file(self) -> str:
        """Path of the file that the set was read from, empty if there is none."""
        return self._origin.file

    def describe(self, key: source.ObjectKey) -> str:
        """Returns kind and name of an object, as the text for a problem."""
        if key[0] == "backend server":
            return f"backend server {key[2]!r} of group {key[1]!r}"
        return f"{key[0]} {key[1]!r}"

    def check_reference(
        self, key: source.ObjectKey, path: Sequence[str | int], kind: str, name: str
    ) -> None:
        """Adds a problem if no object of `kind` has the name `name`."""
        if (
            name in getattr(self.objects, ATTRIBUTE_BY_KIND[kind])
            or (kind, name) in self.invalid_objects
        ):
            return
        self.add(
            key,
            path,
            found=repr(name),
            allowed=f"the name of a {kind} of this workspace",
            rule="unknown-reference",
        )
