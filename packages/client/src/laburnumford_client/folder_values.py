"""Stores published values as files."""

import os
import pathlib
from collections.abc import Iterator, Mapping

from laburnumford_client import errors

_MAX_VALUE_BYTES = 1_000_000  # the platform accepts at most 1 MB


class FolderValues(Mapping[str, bytes]):
    """Reads and writes published values as files; the key is the path of the file below a folder.

    Args:
        folder: the folder that contains ``laburnumford/<workspace>/head``.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self._folder = folder

    def __getitem__(self, key: str) -> bytes:
        """Returns the value of `key`.

        Raises:
            KeyError: there is no file for the key.
            FileError: the file cannot be read, or is longer than a published value.
        """
        path = self._folder / key
        try:
            with path.open("rb") as stream:
                value = stream.read(_MAX_VALUE_BYTES + 1)
        except FileNotFoundError:
            raise KeyError(key) from None
        except OSError as error:
            raise errors.FileError(f"{path}: cannot read the file: {error.strerror}") from error
        if len(value) > _MAX_VALUE_BYTES:
            raise errors.FileError(
                f"{path}: found over {_MAX_VALUE_BYTES} bytes; allowed: at most {_MAX_VALUE_BYTES}"
            )
        return value

    def __iter__(self) -> Iterator[str]:
        """Returns the keys of all files."""
        for path in sorted(self._folder.rglob("*")):
            if path.is_file():
                yield path.relative_to(self._folder).as_posix()

    def __len__(self) -> int:
        """Returns the number of files."""
        return sum(1 for _ in self)

    def write(self, key: str, value: bytes) -> None:
        """Writes the value of `key` atomically: a reader sees the complete old or new file.

        Raises:
            FileError: the file cannot be written.
        """
        path = self._folder / key
        partial = path.with_name(f"{path.name}.partial")
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            partial.write_bytes(value)
            os.replace(partial, path)
        except OSError as error:
            raise errors.FileError(f"{path}: cannot write the file: {error.strerror}") from error
