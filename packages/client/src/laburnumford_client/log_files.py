"""Reads the structured logs of nodes."""

import json
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from laburnumford_client import errors

_MAX_LINE_BYTES = 64 * 1024


def read(paths: Iterable[str], on_invalid_line: Callable[[str], None]) -> Iterator[dict[str, Any]]:
    """Yields the events of log files with one JSON object a line.

    Text before the object, such as a time that a log collector adds, is ignored, and so are lines
    without an object.

    Args:
        paths: files to read.
        on_invalid_line: called with the file, line number and error of each event that is skipped.

    Raises:
        FileError: a file cannot be read.
    """
    for path in paths:
        try:
            with open(path, "rb") as file:
                for number, line in enumerate(file, 1):
                    start = line.find(b'{"time":')
                    if start < 0:
                        continue
                    try:
                        yield _decode(line[start:])
                    except (ValueError, KeyError, TypeError) as error:
                        on_invalid_line(f"{path}:{number}: {error}")
        except OSError as error:
            raise errors.FileError(f"{path}: cannot read the file: {error.strerror}") from error


def _decode(text: bytes) -> dict[str, Any]:
    if len(text) > _MAX_LINE_BYTES:
        raise ValueError(f"found {len(text)} bytes; allowed: at most {_MAX_LINE_BYTES}")
    event: dict[str, Any] = json.loads(text)
    return event | {"time": float(event["time"]), "event": str(event["event"])}
