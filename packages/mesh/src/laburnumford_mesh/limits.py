"""Bounds on what callers may send."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Published bounds; the defaults hold until a configuration is known.

    Attributes:
        header_bytes: size of a header section.
        body_bytes: size of a body.
        header_timeout_s: time for receiving a header section, in seconds.
        idle_timeout_s: time after which a connection without a request is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
