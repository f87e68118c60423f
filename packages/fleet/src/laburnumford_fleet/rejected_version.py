"""Record of a set that was not applied."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class RejectedVersion:
    """Version that was not applied, with the node that offered it and the fault found.

    `at` is the monotonic time of the rejection in seconds.
    """

    version: int
    node: str
    object_name: str
    reason: str
    rejected_at: float
