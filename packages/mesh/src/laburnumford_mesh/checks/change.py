"""Difference between two configurations."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Value that differs from the configuration in force.

    Attributes:
        object: kind and name of the object.
        field: name of the field, empty if the object is added or removed.
        in_force: value in force as text, None if the object is added.
        new: new value as text, None if the object is removed.
    """

    object: str
    field: str
    in_force: str | None
    new: str | None

    def __str__(self) -> str:
        if self.in_force is None:
            return f"added {self.object}: {self.new}"
        if self.new is None:
            return f"removed {self.object}: {self.in_force}"
        return f"changed {self.object}: {self.field}: {self.in_force} -> {self.new}"
