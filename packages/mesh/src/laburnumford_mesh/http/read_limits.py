"""Limits on what is read from one backend server or from the store."""

import dataclasses

from laburnumford_mesh import errors

_MIN_FRAMING_BYTES = 1024
_MAX_BYTES = 1 << 30


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadLimits:
    """Limits on the bytes of one exchange, that is on everything received for one request.

    Attributes:
        framing_bytes: bytes around the bodies: status lines, header fields, informational
            answers, chunk sizes and trailers. Chunked bodies may have some more for each byte.
        header_fields: header and trailer fields.
        body_bytes: size of the bodies of all answers of the exchange.

    Raises:
        SettingsError: a value is out of range.
    """

    framing_bytes: int = 64 * 1024
    header_fields: int = 256
    body_bytes: int = 64 * 1024 * 1024

    def __post_init__(self) -> None:
        """Checks the ranges."""
        for name, minimum in (
            ("framing_bytes", _MIN_FRAMING_BYTES),
            ("header_fields", 1),
            ("body_bytes", 1),
        ):
            value = getattr(self, name)
            if not minimum <= value <= _MAX_BYTES:
                raise errors.SettingsError(
                    f"{name}: found {value}; allowed: {minimum} to {_MAX_BYTES}"
                )
