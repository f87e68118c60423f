"""What the node needs of the key-value store that operators and servers write to."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from laburnumford_mesh import record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Changes:
    """Records and the revision up to which they are complete."""

    records: Sequence[record.Record]
    revision: int


class Store(Protocol):
    """A store that can only be read."""

    async def read_all(self) -> Changes:
        """Returns all records.

        Raises:
            StoreError: the store gave no usable answer.
        """

    async def watch(self, after: int, wait_s: float) -> Changes:
        """Returns the changes after a revision, as soon as there are any.

        Args:
            after: revision up to which the reader knows everything.
            wait_s: longest time in seconds to wait for a change.

        Raises:
            HistoryLostError: the store has forgotten some of them.
            StoreError: the store gave no usable answer.
        """

    def close(self) -> None:
        """Closes the connections."""
