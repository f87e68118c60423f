"""Network faults that a fault proxy injects."""

import dataclasses
from typing import Any

from laburnumford_testkit import errors


@dataclasses.dataclass(frozen=True, kw_only=True)
class DirectionFaults:
    """Faults of one direction of each connection.

    Attributes:
        delay_s: time in seconds by which bytes are delayed.
        jitter_s: maximum of a further random delay in seconds, drawn for each chunk; chunks keep
            their order.
        bytes_per_s: bandwidth limit of each connection; None for no limit.
        reset_after: bytes of a connection after which both sides are reset; None for never.
        truncate_after: bytes of a connection after which both sides are closed normally; None
            for never.
        blackhole: bytes are read and dropped. A connection that lost bytes is reset when the
            blackhole ends, because its stream has a gap.
        pause: bytes are kept and delivered when the pause ends, as in a network partition that
            heals.
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
        refuse: new connections are reset at once.
        duplicate: bytes to the target are also sent on a second connection, whose answers are
            discarded; applies to new connections.
        duplicate_delay_s: time in seconds by which the bytes on the second connection are delayed.
    """

    to_target: DirectionFaults = DirectionFaults()
    to_caller: DirectionFaults = DirectionFaults()
    refuse: bool = False
    duplicate: bool = False
    duplicate_delay_s: float = 0.0

    @classmethod
    def parse(cls, value: dict[str, Any]) -> "Faults":
        """Returns the faults that a JSON object describes.

        Raises:
            TestkitError: a field is unknown.
        """
        directions = {
            name: DirectionFaults(**_check_fields(DirectionFaults, value.get(name, {})))
            for name in ("to_target", "to_caller")
        }
        return cls(**{**_check_fields(cls, value), **directions})

    def encode(self) -> dict[str, Any]:
        """Returns the faults as a JSON object."""
        return dataclasses.asdict(self)


def _check_fields(faults_type: type[Any], value: dict[str, Any]) -> dict[str, Any]:
    fields = {field.name for field in dataclasses.fields(faults_type)}
    unknown = sorted(set(value) - fields)
    if unknown:
        raise errors.TestkitError(
            f"unknown field {unknown[0]!r} of faults; allowed: {', '.join(sorted(fields))}"
        )
    return value
