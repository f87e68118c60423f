"""Value of a key of the platform."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Value of a key with the revision under which the platform holds it."""

    revision: int
    data: bytes
