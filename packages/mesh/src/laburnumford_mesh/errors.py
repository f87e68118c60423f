"""Errors of the mesh node."""

from laburnumford_objects import errors


class MeshError(errors.LaburnumfordError):
    """Base class of the errors of this package."""


class StoreError(MeshError):
    """The key-value store gave no usable answer."""


class HistoryLostError(StoreError):
    """The store no longer has all changes after the requested revision."""


class DecodeError(MeshError):
    """A published value, setting or message is invalid; names what was found and what is allowed."""


class SettingsError(MeshError):
    """A setting is out of range; names the setting, the value and what is allowed."""


class AttemptError(MeshError):
    """An attempt to run a request got no answer.

    Args:
        reason: short label for logs and metrics.
        retry_after_s: seconds until the server expects free capacity, 0 if it does not say.
        share_level: level at which the caller is above its fair share, 0 if it is not.
    """

    def __init__(self, reason: str, retry_after_s: float = 0.0, share_level: int = 0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s
        self.share_level = share_level


class RefusedError(AttemptError):
    """The attempt did not run the request and never will."""


class UnknownOutcomeError(AttemptError):
    """The attempt may have run the request."""
