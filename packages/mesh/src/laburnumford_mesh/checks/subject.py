"""Configuration that is checked."""

import dataclasses

from laburnumford_mesh import configuration


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Subject:
    """Configuration that is checked, and the one that it would replace.

    Attributes:
        candidate: the configuration that is checked.
        in_force: the configuration that nodes use, None if it is not known.
        complete: whether all objects of the candidate could be read.
    """

    candidate: configuration.Configuration
    in_force: configuration.Configuration | None = None
    complete: bool = True
