"""An answer that is kept for retries of its request."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KeptAnswer:
    """A complete HTTP response that is returned again if its request is retried.

    Args:
        status: HTTP status code.
        headers: header fields in order.
        body: complete body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Size of header fields and body in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)
