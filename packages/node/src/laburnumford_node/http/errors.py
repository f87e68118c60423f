"""Errors of the HTTP layer."""

from laburnumford_objects import errors

CONNECT_FAILURES = (OSError, TimeoutError, ValueError, OverflowError)
"""Errors of `asyncio.loop.create_connection` and of splitting ``ip:port``. A port out of range raises
OverflowError; a port that is no number, or a host name that cannot be encoded, ValueError."""


class HttpError(errors.LaburnumfordError):
    """Base class of the errors of the HTTP layer."""


class BadMessageError(HttpError):
    """A peer sent a message that cannot be parsed or is ambiguous.

    Args:
        status: status code of the answer to the caller.
        detail: what was found and what is allowed.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class ConnectionLostError(HttpError):
    """The connection ended before the message was complete."""


class TruncatedError(ConnectionLostError):
    """An answer ended before its declared end."""


class ConnectError(HttpError):
    """No connection could be opened, so nothing was written."""


class ConnectionClosedError(ConnectError):
    """The server closed a new or idle connection before anything was written to it."""


class BodyTooLargeError(HttpError):
    """A body is larger than the limit of its reader."""
