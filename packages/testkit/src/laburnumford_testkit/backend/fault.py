"""Faults that a test sets on a backend server stand-in."""

import dataclasses
import enum
from typing import Any

from laburnumford_testkit import errors


class FaultKind(enum.Enum):
    """What goes wrong."""

    NONE = "none"
    REFUSE = "refuse"
    """503 with outcome `refused`; the request does not run."""
    ERROR = "error"
    """500 without an outcome; the request runs."""
    SLOW = "slow"
    """The service time is multiplied by `factor`."""
    STALL = "stall"
    """The request runs and is not answered before the fault changes."""
    TRUNCATE = "truncate"
    """Half of the answer is sent, then the connection closes in order."""
    CLOSE = "close"
    """The request runs, then the connection closes without an answer."""
    RESET = "reset"
    """The connection is reset after `bytes` bytes of the answer."""
    LATE = "late"
    """The answer comes `delay_s` after the work is done."""
    EXTRA = "extra"
    """`bytes` bytes that belong to no answer follow the answer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault and how many of the requests it affects."""

    kind: FaultKind = FaultKind.NONE
    share: float = 1.0
    factor: float = 10.0
    bytes: int = 100
    delay_s: float = 1.0

    @classmethod
    def parse(cls, value: dict[str, Any]) -> "Fault":
        """Returns the fault of a JSON object.

        Raises:
            TestkitError: a field or the kind is unknown.
        """
        fields = {field.name for field in dataclasses.fields(cls)}
        unknown = sorted(set(value) - fields)
        if unknown:
            raise errors.TestkitError(
                f"unknown field {unknown[0]!r} of a fault; allowed: {', '.join(sorted(fields))}"
            )
        try:
            kind = FaultKind(value.get("kind", "none"))
        except ValueError:
            allowed = ", ".join(known.value for known in FaultKind)
            raise errors.TestkitError(
                f"unknown kind {value['kind']!r} of a fault; allowed: {allowed}"
            ) from None
        return cls(**{**value, "kind": kind})

    def encode(self) -> dict[str, Any]:
        """Returns the JSON object of the fault."""
        return {**dataclasses.asdict(self), "kind": self.kind.value}
