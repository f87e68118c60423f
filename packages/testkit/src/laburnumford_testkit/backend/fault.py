"""Faults that a fake backend server injects."""

import dataclasses
import enum
from typing import Any

from laburnumford_testkit import errors


class FaultKind(enum.Enum):
    """How the server deviates from a normal answer."""

    NONE = "none"
    REFUSE = "refuse"
    """503 with outcome `refused`; the request does not run."""
    ERROR = "error"
    """500 without an outcome; the request runs."""
    SLOW = "slow"
    """The service time is multiplied by `factor`."""
    STALL = "stall"
    """The request runs and is stalled until the fault changes."""
    TRUNCATE = "truncate"
    """Half of the body is left out, then the connection closes normally."""
    CLOSE = "close"
    """The request runs, then the connection closes normally without an answer."""
    RESET = "reset"
    """The connection is reset after `bytes` bytes of the answer."""
    LATE = "late"
    """The answer starts `delay_s` after the service time."""
    EXTRA = "extra"
    """After the answer, `bytes` further bytes follow that belong to no answer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault and the share of requests that it affects.

    Attributes:
        kind: kind of the fault.
        share: probability with which the fault affects a request, 0 to 1.
        factor: factor of the service time, for `slow`.
        bytes: number of bytes, for `reset` and `extra`.
        delay_s: further delay in seconds, for `late`.
    """

    kind: FaultKind = FaultKind.NONE
    share: float = 1.0
    factor: float = 10.0
    bytes: int = 100
    delay_s: float = 1.0

    @classmethod
    def parse(cls, value: dict[str, Any]) -> "Fault":
        """Returns the fault that a JSON object describes.

        Raises:
            TestkitError: a field or the value of `kind` is unknown.
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
        """Returns the fault as a JSON object."""
        return {**dataclasses.asdict(self), "kind": self.kind.value}
