"""Read interface of the key-value store that operators and servers write to."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from laburnumford_mesh import record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Holds records and the revision up to which they are complete.

    Attributes:
        records: the records.
        revision: revision up to which they are complete.
        era: number of times that the store has come back from an older copy; revisions are then
            used again for other contents.
    """

    records: Sequence[record.Record]
    revision: int
    era: int = 0


class Store(Protocol):
    """Reads and watches the published values."""

    async def read_all(self) -> Changes:
        """Returns all records.

        Raises:
            StoreError: the store gave no usable answer.
        """

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Waits for changes after a revision and returns them.

        Args:
            after: revision up to which the caller is current.
            wait_s: longest time in seconds to wait for a change.

        Raises:
            HistoryLostError: the store no longer has all changes after the revision.
            StoreError: the store gave no usable answer.
        """

    def close(self) -> None:
        """Closes the connections."""
