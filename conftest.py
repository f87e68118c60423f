"""Deselects exactly the tests that KNOWN-RED.txt lists, and prints them.

Tests with the marker `exclusive` are not run by the workers of pytest-xdist either.
"""

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
    """Deselects the listed tests, and the exclusive ones on a worker of pytest-xdist."""
    deselected_ids = set() if config.getoption("--known-red") else _known_red_ids()
    if hasattr(config, "workerinput"):
        deselected_ids |= {
            item.nodeid for item in items if item.get_closest_marker("exclusive") is not None
        }
    deselected = [item for item in items if item.nodeid in deselected_ids]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in deselected_ids]


def pytest_sessionfinish(session: pytest.Session, exitstatus: int) -> None:
    """Lets a selection pass whose tests are all listed."""
    listed_only = exitstatus == pytest.ExitCode.NO_TESTS_COLLECTED and _known_red_ids()
    if listed_only and session.config.option.markexpr == "exclusive":
        session.exitstatus = pytest.ExitCode.OK


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Prints the listed tests, so that a passing run shows which tests did not run."""
    if getattr(config.option, "numprocesses", None):
        terminalreporter.write_line("exclusive tests, not run by workers: run pytest -m exclusive")
    for node_id in sorted(_known_red_ids()):
        terminalreporter.write_line(f"KNOWN-RED, not run: {node_id}")
