"""Tests of reading settings and deployment files."""

import json

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_objects import deployment, errors, problem, settings


def test_examples_have_the_sizes_of_the_design(examples):
    """Guards against examples whose sizes differ from section 1.5 of the design page."""
    expected = {
        "nordvarde": (
            12,
            {"assay-results": 5, "hallmark-issuing": 3, "lab-files": 3, "accounts": 3},
        ),
        "cyclone": (6, {"stock-view": 4, "pallet-release": 3, "field-intake": 3, "routing": 3}),
    }
    for name, (slots, sizes) in expected.items():
        loaded = deployment.load(str(examples / f"{name}.jsonc"))
        groups = loaded.groups_by_name.values()
        assert {entry.name: len(entry.backend_servers) for entry in groups} == sizes
        servers = [server for entry in groups for server in entry.backend_servers]
        assert {(server.slots, server.connections) for server in servers} == {(slots, 250)}
        assert len(loaded.zones_by_name) == 3


def test_all_problems_are_reported_at_once(write):
    """Guards against reading that stops at the first problem or reports a wrong line."""
    path = write(
        '{"workspace": "Acme",\n'
        '"policies": [{"name": "p", "timeout_ms": 0,\n"colour": 1}],\n'
        '"services": 3,\n'
        '"zones": [{"name": "z", "region": "r"},\n{"name": "z"}]}'
    )
    with pytest.raises(errors.DeploymentError) as caught:
        deployment.load(path)
    found = {(entry.line, entry.object, entry.field) for entry in caught.value.problems}
    assert found == {
        (1, "deployment", "workspace"),
        (2, "policy 'p'", "timeout_ms"),
        (3, "policy 'p'", "colour"),
        (4, "deployment", "services"),
        (6, "zone 'z'", "region"),
        (6, "zone 'z'", "name"),
    }
    text = str(caught.value)
    assert f"{path}:2: policy 'p': field timeout_ms: found 0; " in text
    assert "allowed: integer from 1 to 3600000 (ms)" in text


@pytest.mark.parametrize(
    "address", ["localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "::1:80", "1.2.3:4"]
)
def test_settings_name_the_allowed_address(write, examples, address):
    """Guards against host names, missing ports and ambiguous IPv6 addresses."""
    text = (examples / "node.jsonc").read_text()
    path = write(text.replace('"127.0.10.1:8001"', json.dumps(address)))
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(path)
    (found,) = caught.value.problems
    assert (found.object, found.field, found.line) == ("settings", "peer_address", 9)
    assert "port from 1 to 65535" in found.allowed


def test_settings_accept_ipv6_and_defaults(write, examples):
    """Guards against settings that reject a valid address or change a limit of the design."""
    text = (examples / "node.jsonc").read_text()
    loaded = settings.load(write(text.replace('"127.0.10.1:8001"', '"[::1]:8001"')))
    assert loaded.peer_address == "[::1]:8001"
    assert (loaded.limits.header_bytes, loaded.limits.buffer_bytes) == (32_768, 65_536)


_ARBITRARY_VALUES = strategies.recursive(
    strategies.sampled_from([None, True, -1, 0, 1.5, 10**40, "", "z", "nan", "\x00", "a" * 5000]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["name", "workspace", "zones", "groups", "backend_servers", "x"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=20,
)


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(_ARBITRARY_VALUES)
def test_arbitrary_files_give_located_problems(write, value):
    """Guards against a crash of the client or a node on a file with unexpected content."""
    path = write(json.dumps(value, indent=1))
    problems: list[problem.Problem] = []
    try:
        settings.load(path)
    except errors.SettingsError as error:
        problems += error.problems
    assert problems  # no generated value is a complete settings file
    try:
        deployment.load(path)
    except errors.DeploymentError as error:
        problems += error.problems
    assert all(entry.file == path and entry.line >= 1 for entry in problems)
    assert all(len(entry.found) < 200 for entry in problems)
