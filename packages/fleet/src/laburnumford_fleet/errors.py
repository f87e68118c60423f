"""Errors of the fleet layer."""

from laburnumford_objects import errors


class FleetError(errors.LaburnumfordError):
    """Base class of the errors of this package."""


class PlatformError(FleetError):
    """The platform did not give a usable answer."""


class PlatformUnavailableError(PlatformError):
    """The platform was not reached, did not answer in time or gave an unexpected status."""


class PlatformBusyError(PlatformError):
    """The platform refused the read because its read limit is reached."""


class KeyMissingError(PlatformError):
    """The platform has no value for the key."""


class ReadLimitError(PlatformError):
    """This node's own read limit does not admit the read within the longest wait."""


class MessageError(FleetError):
    """A control message is malformed, too large or has a value out of range."""


class PeerError(FleetError):
    """A control call to a neighbour failed, or the control address cannot be bound."""


class VersionError(FleetError):
    """A published version cannot be applied.

    Args:
        object_name: the invalid object or key, such as ``"route scans"``.
        reason: what is wrong, with the value found and the value allowed.
    """

    def __init__(self, *, object_name: str, reason: str) -> None:
        super().__init__(f"{object_name}: {reason}")
        self.object_name = object_name
        self.reason = reason
