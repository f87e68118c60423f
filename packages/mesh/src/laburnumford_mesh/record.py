"""A published value in the form in which nodes store and exchange it."""

import msgspec


class Record(msgspec.Struct, array_like=True, frozen=True):
    """Holds the last change of a key in the store.

    Attributes:
        key: key in the store.
        revision: revision of the change.
        value: the value, None if the change removed the key.
        era: era of the store in which the record was read.
    """

    key: str
    revision: int
    value: bytes | None
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Sort key of the changes of one key: revisions go back when the era of a store changes."""
        return (self.era, self.revision)
