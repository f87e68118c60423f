"""Deselects exactly the tests that KNOWN-RED.txt lists, and prints them."""

import pathlib

import pytest

_KNOWN_RED_FILE = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def _known_red_ids() -> set[str]:
    """Returns the first field, a test id, of each entry of KNOWN-RED.txt."""
    if not _KNOWN_RED_FILE.exists():
        return set()
    lines = _KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return {line.split(" | ")[0].strip() for line in lines if line and line[0] not in "# \t"}


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option that runs the listed tests as well."""
    parser.addoption("--known-red", action="store_true", help="run the tests of KNOWN-RED.txt too")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselects the listed tests."""
    if config.getoption("--known-red"):
        return
    listed = _known_red_ids()
    deselected = [item for item in items if item.nodeid in listed]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints the listed tests, so that a passing run shows which tests did not run."""
    for node_id in sorted(_known_red_ids()):
        terminalreporter.write_line(f"KNOWN-RED, not run: {node_id}")
