"""An answer that is kept for repeats."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeptAnswer:
    """An answer that is kept for repeats.

    Args:
        status: HTTP status.
        headers: fields in order.
        body: whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Bytes of fields and body."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)
