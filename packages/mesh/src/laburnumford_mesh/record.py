"""One published value as it travels between nodes."""

import msgspec


class Record(msgspec.Struct, array_like=True, frozen=True):
    """A key of the store at its last change.

    Attributes:
        key: key in the store.
        revision: revision of the change.
        value: the value, or None after a removal.
    """

    key: str
    revision: int
    value: bytes | None
