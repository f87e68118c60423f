"""Feeds received bytes to an HTTP parser, and turns what it finds wrong into this layer's error."""

from typing import Any

import httptools

from laburnumford_node.http import errors


def feed_request(parser: Any, data: bytes | memoryview) -> None:
    """Parses bytes of a caller.

    Raises:
        BadMessageError: no valid request; carries the status for the caller.
    """
    _feed(parser, data, 400, "message", (501, "Upgrade and CONNECT are not supported"))


def feed_answer(parser: Any, data: bytes | memoryview) -> None:
    """Parses bytes of a server.

    Raises:
        BadMessageError: no valid answer; carries 502.
    """
    _feed(parser, data, 502, "answer", (502, "answer 101 without a request for it"))


def _feed(
    parser: Any, data: bytes | memoryview, status: int, what: str, upgrade: tuple[int, str]
) -> None:
    try:
        parser.feed_data(data)
    except httptools.HttpParserUpgrade as error:
        raise errors.BadMessageError(*upgrade) from error
    except httptools.HttpParserCallbackError as error:
        # The parser hides what one of its callbacks has raised.
        cause = error.__context__
        if not isinstance(cause, errors.BadMessageError):
            raise
        raise cause from None
    except httptools.HttpParserError as error:
        raise errors.BadMessageError(status, f"invalid HTTP {what}: {error}") from error
