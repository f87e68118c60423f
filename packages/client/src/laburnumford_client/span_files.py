"""Reads span files."""

from collections.abc import Callable, Iterable, Iterator

from laburnumford_client import errors, span

# A span takes about 400 bytes; a longer line is damage, such as a file without line ends.
_MAX_LINE = 64 * 1024


def read(paths: Iterable[str], on_damage: Callable[[str], None]) -> Iterator[span.Span]:
    """Returns the spans of files with one JSON object per line.

    Args:
        paths: files to read.
        on_damage: called with file, line and fault of each line that is passed over.

    Raises:
        FileError: a file cannot be read.
    """
    for path in paths:
        try:
            with open(path, "rb") as file:
                for number, line in _lines(file.readline):
                    try:
                        if len(line) > _MAX_LINE:
                            raise errors.SpanError(
                                f"found a line above {_MAX_LINE} bytes; allowed: a span"
                            )
                        if line.strip():
                            yield span.Span.decode(line)
                    except errors.SpanError as error:
                        on_damage(f"{path}:{number}: {error}")
        except OSError as error:
            raise errors.FileError(f"{path}: {error.strerror}") from error


def _lines(readline: Callable[[int], bytes]) -> Iterator[tuple[int, bytes]]:
    """Returns numbered lines; of a line that is too long, the start only."""
    number = 0
    while line := readline(_MAX_LINE + 1):
        number += 1
        rest = line
        while len(rest) > _MAX_LINE and not rest.endswith(b"\n"):
            rest = readline(_MAX_LINE + 1)
        yield number, line
