"""Errors of the fleet layer."""

from laburnumford_objects import errors


class FleetError(errors.LaburnumfordError):
    """Base class of the errors of this package."""


class PlatformError(FleetError):
    """The platform gave no usable answer."""


class PlatformUnavailableError(PlatformError):
    """The platform did not answer in time, or with a server error."""


class PlatformBusyError(PlatformError):
    """The platform refused the read because its read limit is reached."""


class KeyMissingError(PlatformError):
    """The platform has no value for the key."""


class ReadLimitError(PlatformError):
    """This node's own read limit does not admit the read within the wait."""


class MessageError(FleetError):
    """A control message is malformed, too large or out of its range."""


class PeerError(FleetError):
    """A neighbour did not answer a control call in time."""


class VersionError(FleetError):
    """A published version cannot be applied.

    Args:
        object_name: the object or key at fault, such as ``"route scans"``.
        reason: what is wrong, with the value found and the value allowed.
    """

    def __init__(self, *, object_name: str, reason: str) -> None:
        super().__init__(f"{object_name}: {reason}")
        self.object_name = object_name
        self.reason = reason


class DeltaGapError(VersionError):
    """A delta between the version in force and the target is missing."""
