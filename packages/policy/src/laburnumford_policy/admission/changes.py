"""Changes of the queue that the caller has to carry out."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """Entries that left the queue.

    Args:
        started: ids of entries that hold a slot from now on.
        dropped: ids of entries that never run because their deadline has passed or
            cannot be met any more; their callers get ``deadline``.
    """

    started: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()
