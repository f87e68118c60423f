"""Load report, sent in the `laburnumford-load` header."""

import dataclasses

from laburnumford_policy.choice import errors

_FIELDS = ("running", "queued", "limit", "service_time_us")
_MAX_FIELD_VALUE = 2**53 - 1  # Largest integer that a float represents exactly.
_MAX_FIELD_DIGITS = 16  # Bounds the cost of converting a malicious header value.


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a backend server when its adjacent node sent an answer.

    Attributes:
        running: number of calls that hold a slot.
        queued: number of calls that wait for a slot.
        limit: current concurrency limit, at least 1.
        service_time_us: mean time for which a call holds a slot, in microseconds.
    """

    running: int
    queued: int
    limit: int
    service_time_us: int

    def encode(self) -> str:
        """Returns the header value, `running;queued;limit;service_time_us`."""
        return f"{self.running};{self.queued};{self.limit};{self.service_time_us}"

    @classmethod
    def decode(cls, text: str) -> "LoadReport":
        """Decodes a header value.

        Raises:
            LoadReportError: the text does not have four integers in range.
        """
        parts = text.strip().split(";")
        if len(parts) != len(_FIELDS):
            raise errors.LoadReportError(
                f"load report {text[:64]!r} has {len(parts)} fields; allowed: {len(_FIELDS)}"
            )
        values = []
        for field, part in zip(_FIELDS, parts, strict=True):
            lowest = 1 if field == "limit" else 0
            digits = part.isascii() and part.isdigit() and len(part) <= _MAX_FIELD_DIGITS
            if not digits or not lowest <= int(part) <= _MAX_FIELD_VALUE:
                raise errors.LoadReportError(
                    f"load report field {field} is {part[:64]!r}; "
                    f"allowed: an integer from {lowest} to {_MAX_FIELD_VALUE}"
                )
            values.append(int(part))
        return cls(*values)
