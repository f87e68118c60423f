"""Value that the platform stores for a key."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """Holds the value of a platform key and its revision."""

    revision: int
    data: bytes
