"""Tests of the commands ``check`` and ``bundle``, run as processes."""

import pathlib
import subprocess
import sys

import pytest

from laburnumford_client import folder_values
from laburnumford_objects import bundle, deployment

_EXAMPLES = pathlib.Path(__file__).parents[5] / "examples"


@pytest.fixture
def run(tmp_path):
    """Returns a function that runs the client as a process.

    The function returns the exit status, standard output and standard error.
    """

    def run_client(*arguments: str) -> tuple[int, str, str]:
        done = subprocess.run(
            [sys.executable, "-m", "laburnumford_client", *arguments],
            cwd=tmp_path,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return done.returncode, done.stdout, done.stderr

    return run_client


def test_check_reports_problems_on_stderr_with_status_1(run, tmp_path):
    """Guards against an invalid deployment that a script takes for a valid one."""
    status, output, _ = run("check", str(_EXAMPLES / "cyclone.jsonc"))
    assert status == 0
    assert "no problems; workspace 'cyclone', 4 services, 13 backend servers" in output
    text = (
        (_EXAMPLES / "cyclone.jsonc").read_text().replace('"policy": "release"', '"policy": "x"')
    )
    (tmp_path / "broken.jsonc").write_text(text)
    status, output, error = run("check", "broken.jsonc")
    assert (status, output) == (1, "")
    assert "service 'pallet-release': field policy: found 'x'; allowed: the name of a" in error
    assert "policy 'release': found no use of it" in error
    assert all(line.startswith("broken.jsonc:") for line in error.splitlines())


@pytest.mark.parametrize("arguments", [[], ["check"], ["check", "missing.jsonc"], ["unknown"]])
def test_usage_errors_exit_with_status_1(run, arguments):
    """Guards against exit statuses other than 0 and 1, and against tracebacks."""
    status, output, error = run(*arguments)
    assert (status, output) == (1, "")
    assert error
    assert "Traceback" not in error


def test_each_bundle_extends_the_chain_of_versions(run, tmp_path):
    """Guards against versions that nodes cannot verify, and against overwriting a version."""
    text = (_EXAMPLES / "nordvarde.jsonc").read_text()
    (tmp_path / "new.jsonc").write_text(text.replace('"timeout_ms": 500', '"timeout_ms": 400'))
    head = "out/laburnumford/nordvarde/head"
    old = str(_EXAMPLES / "nordvarde.jsonc")
    assert run("bundle", "--previous", "none", "--version", "1", "--out", "out", old)[0] == 0
    assert run("bundle", "--previous", head, "--version", "2", "--out", "out", "new.jsonc")[0] == 0
    found = bundle.read(folder_values.FolderValues(folder=tmp_path / "out"), "nordvarde")
    assert found.version == 2
    assert found.object_set == deployment.load(str(tmp_path / "new.jsonc"))
    for previous, version, text in (
        (head, "2", "found 2; allowed: 3"),
        ("none", "1", "found version 2; allowed: a version below 1"),
        ("new.jsonc", "3", "allowed: none or a path to laburnumford/nordvarde/head"),
    ):
        status, _, error = run(
            "bundle", "--previous", previous, "--version", version, "--out", "out", "new.jsonc"
        )
        assert status == 1
        assert text in error
    (tmp_path / "out/laburnumford/nordvarde/delta/2").unlink()
    arguments = ("--previous", head, "--version", "3", "--out", "out", "new.jsonc")
    assert "delta/2: found no value" in run("bundle", *arguments)[2]
