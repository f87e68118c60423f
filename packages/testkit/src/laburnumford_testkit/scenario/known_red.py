"""Reads the list of scenarios that fail because of a fault that is not fixed yet."""

import pathlib

FILE_NAME = "KNOWN-RED.txt"


def load(folder: pathlib.Path) -> dict[str, str]:
    """Returns the entries of the list in a folder of scenarios, by name of the scenario file.

    Args:
        folder: folder that may have a file `KNOWN-RED.txt` with one entry a line:
            file | seed | what was seen | issue.
    """
    path = folder / FILE_NAME
    if not path.exists():
        return {}
    lines = path.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}
