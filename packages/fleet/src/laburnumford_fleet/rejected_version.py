"""Record of a version that was not applied."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RejectedVersion:
    """Describes a version that was not applied: its source, the invalid object and the reason.

    `rejected_at` is the monotonic time of the rejection in seconds.
    """

    version: int
    node: str
    object_name: str
    reason: str
    rejected_at: float
