"""Network faults."""

import dataclasses
from typing import Any

from laburnumford_testkit import errors


@dataclasses.dataclass(frozen=True, kw_only=True)
class DirectionFaults:
    """Faults of one direction of each connection.

    Attributes:
        delay_s: time that bytes are held back.
        jitter_s: largest further delay, drawn for each chunk; the order is kept.
        bytes_per_s: bandwidth of each connection; None for no limit.
        reset_after: bytes of a connection after which both sides are reset; None for never.
        truncate_after: bytes of a connection after which both sides are closed in order; None
            for never.
        blackhole: bytes are read and lost. A connection that lost bytes is reset when the
            blackhole ends, because its stream has a hole.
        pause: bytes are held until the pause ends, as in a partition that heals.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    bytes_per_s: float | None = None
    reset_after: int | None = None
    truncate_after: int | None = None
    blackhole: bool = False
    pause: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Faults of a proxy.

    Attributes:
        to_target: faults of bytes from the caller to the target.
        to_caller: faults of bytes from the target to the caller.
        refuse: new connections are closed at once.
        duplicate: bytes to the target are also sent on a second connection, whose answers are
            dropped.
        duplicate_delay_s: how much later the second connection gets the bytes.
    """

    to_target: DirectionFaults = DirectionFaults()
    to_caller: DirectionFaults = DirectionFaults()
    refuse: bool = False
    duplicate: bool = False
    duplicate_delay_s: float = 0.0

    @classmethod
    def parse(cls, value: dict[str, Any]) -> "Faults":
        """Returns the faults of a JSON object.

        Raises:
            TestkitError: a field is unknown.
        """
        directions = {
            name: DirectionFaults(**_known(DirectionFaults, value.get(name, {})))
            for name in ("to_target", "to_caller")
        }
        return cls(**{**_known(cls, value), **directions})

    def encode(self) -> dict[str, Any]:
        """Returns the JSON object of the faults."""
        return dataclasses.asdict(self)


def _known(kind: type[Any], value: dict[str, Any]) -> dict[str, Any]:
    fields = {field.name for field in dataclasses.fields(kind)}
    unknown = sorted(set(value) - fields)
    if unknown:
        raise errors.TestkitError(
            f"unknown field {unknown[0]!r} of faults; allowed: {', '.join(sorted(fields))}"
        )
    return value
