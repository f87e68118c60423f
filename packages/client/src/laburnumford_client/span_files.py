"""Reads span files."""

from collections.abc import Callable, Iterable, Iterator

from laburnumford_client import errors, span

# A span takes about 400 bytes. A line above this limit is invalid, as in a file without line
# breaks.
_MAX_LINE_BYTES = 64 * 1024


def read(paths: Iterable[str], on_invalid_line: Callable[[str], None]) -> Iterator[span.Span]:
    """Yields the spans of files with one JSON object per line.

    Args:
        paths: files to read.
        on_invalid_line: called with the file, line number and error of each line that is skipped.

    Raises:
        FileError: a file cannot be read.
    """
    for path in paths:
        try:
            with open(path, "rb") as file:
                for number, line in _read_numbered_lines(file.readline):
                    try:
                        if len(line) > _MAX_LINE_BYTES:
                            raise errors.SpanError(
                                f"found a line of over {_MAX_LINE_BYTES} bytes;"
                                f" allowed: at most {_MAX_LINE_BYTES}"
                            )
                        if line.strip():
                            yield span.Span.decode(line)
                    except errors.SpanError as error:
                        on_invalid_line(f"{path}:{number}: {error}")
        except OSError as error:
            raise errors.FileError(f"{path}: cannot read the file: {error.strerror}") from error


def _read_numbered_lines(readline: Callable[[int], bytes]) -> Iterator[tuple[int, bytes]]:
    """Yields line numbers and lines; an overlong line is truncated."""
    number = 0
    while line := readline(_MAX_LINE_BYTES + 1):
        number += 1
        remainder = line
        while len(remainder) > _MAX_LINE_BYTES and not remainder.endswith(b"\n"):
            remainder = readline(_MAX_LINE_BYTES + 1)
        yield number, line
