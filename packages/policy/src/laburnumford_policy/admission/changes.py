"""Changes of the admission queue that the caller has to carry out."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueChanges:
    """Entries that left the queue.

    Args:
        started: ids of entries that left the queue and hold a slot from now on.
        dropped: ids of entries that never run because their deadline has passed or can no
            longer be met; their callers get the reason ``deadline``.
    """

    started: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()
