"""Feeds received bytes to an HTTP parser and raises its errors as `BadMessageError`."""

from typing import Any

import httptools

from laburnumford_node.http import errors

MIN_STATUS = 100
MAX_STATUS = 599
"""The parser accepts any three digits as a status."""


def feed_request(parser: Any, data: bytes | memoryview) -> None:
    """Parses bytes of a caller.

    Raises:
        BadMessageError: the bytes are not a valid request; has the status for the caller.
    """
    _feed(parser, data, 400, "message", (501, "Upgrade and CONNECT are not supported"))


def feed_answer(parser: Any, data: bytes | memoryview) -> None:
    """Parses bytes of a server.

    Raises:
        BadMessageError: the bytes are not a valid answer; has status 502.
    """
    _feed(parser, data, 502, "answer", (502, "answer 101 without a request for it"))


def invalid_status(status: int) -> str:
    """Returns the error text for an answer whose status no server may send."""
    return f"answer has status {status}; allowed: {MIN_STATUS} to {MAX_STATUS}"


def _feed(
    parser: Any,
    data: bytes | memoryview,
    status: int,
    message_name: str,
    upgrade_error: tuple[int, str],
) -> None:
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade as error:
        raise errors.BadMessageError(*upgrade_error) from error
    except httptools.HttpParserCallbackError as error:
        # The parser wraps an exception of a callback; the original is the context.
        cause = error.__context__
        if not isinstance(cause, errors.BadMessageError):
            raise
        raise cause from None
    except httptools.HttpParserError as error:
        raise errors.BadMessageError(status, f"invalid HTTP {message_name}: {error}") from error
