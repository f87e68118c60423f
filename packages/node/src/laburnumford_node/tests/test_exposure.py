"""Tests of the warnings about listening addresses that are not internal."""

import logging
import pathlib

import pytest

from laburnumford_node import exposure, node
from laburnumford_objects import settings

_SETTINGS = pathlib.Path(__file__).parents[5] / "examples" / "node.jsonc"
_INTERNAL = ("127.0.0.1:1", "10.1.2.3:1", "172.31.0.1:1", "[::1]:1", "[fd00::1]:1")
_EXPOSED = ("0.0.0.0:1", "[::]:1", "172.32.0.1:1", "8.8.8.8:1", "[::ffff:8.8.8.8]:1")


@pytest.mark.parametrize("field", ["operator_address", "peer_address", "control_address"])
def test_warning_names_field_and_exposed_address(field):
    """Guards against an unauthenticated listener on a public address without a warning."""
    loaded = settings.load(str(_SETTINGS))
    for address in _INTERNAL:
        assert exposure.warnings(loaded.model_copy(update={field: address})) == []
    for address in _EXPOSED:
        (found,) = exposure.warnings(loaded.model_copy(update={field: address}))
        assert found.startswith(f"{field} {address} is not a loopback or private address")


async def test_node_warns_of_exposed_address_at_start(monkeypatch, caplog):
    """Guards against a node that starts without checking its addresses."""
    loaded = settings.load(str(_SETTINGS)).model_copy(update={"peer_address": "0.0.0.0:1"})
    started = node.Node(loaded)

    async def fail_to_start() -> None:
        raise ConnectionAbortedError

    # The first listener fails, so the start ends right after the check.
    monkeypatch.setattr(started._pages, "start", fail_to_start)
    with caplog.at_level(logging.WARNING), pytest.raises(ConnectionAbortedError):
        await started.start()
    assert [record.getMessage()[:30] for record in caplog.records] == [
        "node: peer_address 0.0.0.0:1 i"
    ]
