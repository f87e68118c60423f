"""Value that violates a rule."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """Value that violates a rule, without the severity and code of the rule.

    Attributes:
        object: kind and name of the object.
        field: name of the field, empty for the object itself.
        found: the value found, as text.
        allowed: the values allowed, as text.
    """

    object: str
    field: str
    found: str
    allowed: str
