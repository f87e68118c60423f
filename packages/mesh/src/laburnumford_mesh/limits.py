"""Limits on the requests of callers."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Published limits; the defaults apply until a configuration is known.

    Attributes:
        header_bytes: largest size of a header section in bytes.
        body_bytes: largest size of a body in bytes.
        header_timeout_s: longest time to receive a header section, in seconds.
        idle_timeout_s: time in seconds after which a connection without a request is
            closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
