"""Cost of probing a backend server."""

import dataclasses

from laburnumford_policy.measuring import _parameters

_PARAMETER_RANGES = {"calls": (0.0, 1e9), "bytes": (0.0, 1e15), "cpu_ms": (0.0, 1e9)}


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one probe to the backend server.

    Attributes:
        calls: calls to the server.
        bytes: bytes sent and received.
        cpu_ms: processor time of the server in milliseconds.

    Raises:
        MeasuringParameterError: a value is not a number or negative, which would refill the budget.
    """

    calls: int = 1
    bytes: int = 0
    cpu_ms: float = 0.0

    def __post_init__(self) -> None:
        """Checks that no value is negative."""
        values = {"calls": self.calls, "bytes": self.bytes, "cpu_ms": self.cpu_ms}
        _parameters.check("cost", _PARAMETER_RANGES, values)
