"""Fixtures shared by the tests of laburnumford_objects."""

import pathlib

import pytest

from laburnumford_objects import deployment

EXAMPLES = pathlib.Path(__file__).parents[5] / "examples"


@pytest.fixture
def examples():
    """Returns the folder of the example deployments."""
    return EXAMPLES


@pytest.fixture(scope="session")
def nordvarde():
    """Returns the object set of the example deployment nordvarde.jsonc."""
    return deployment.load(str(EXAMPLES / "nordvarde.jsonc"))


@pytest.fixture
def write(tmp_path):
    """Returns a function that writes a file and returns its path."""

    def write_file(text: str | bytes, name: str = "file.jsonc") -> str:
        path = tmp_path / name
        path.write_bytes(text.encode() if isinstance(text, str) else text)
        return str(path)

    return write_file
