"""Request at admission."""

import dataclasses

from laburnumford_objects import errors
from laburnumford_policy.admission import priority as priorities


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A request that asks for a slot of the backend server.

    Args:
        entry_id: identifies the request among those that run or wait.
        priority: one of `priority.PRIORITIES`.
        deadline: monotonic time in seconds at which the answer must be complete.

    Raises:
        ParameterError: the priority is unknown.
    """

    entry_id: int
    priority: str
    deadline: float

    def __post_init__(self) -> None:
        if self.priority not in priorities.RANK_BY_PRIORITY:
            allowed = ", ".join(priorities.PRIORITIES)
            raise errors.ParameterError(
                f"entry {self.entry_id}: priority is {self.priority!r}; allowed: {allowed}"
            )
