"""Tests of the evacuation of a zone, from the published key to the servers of the zone."""

import asyncio

import pytest

from laburnumford_mesh import clock, directory, evacuations, frames, record, zone_evacuation
from laburnumford_mesh.tests import conftest, waiting

KEY = "op/evacuate/y"
EVACUATION = zone_evacuation.ZoneEvacuation(zone="y")


@pytest.fixture
def objects():
    """Returns the decoded objects by key, with one server in each of two zones."""
    return {
        "servers/a": conftest.make_entry("a", "1.1.1.1:1", zone="y"),
        "servers/b": conftest.make_entry("b", "1.1.1.2:1", zone="z", service="t"),
        KEY: EVACUATION,
    }


@pytest.fixture
def server_directory(objects, log):
    """Returns a directory that knows the two servers and the evacuation of the zone y."""
    made = directory.Directory(
        decode=lambda found: objects.get(found.key), log=log, on_change=lambda: None
    )
    made.apply([record.Record(key, 1, b"x") for key in objects], after_outage=False)
    return made


def _remove(server_directory, *, after_outage):
    server_directory.apply([record.Record(KEY, 2, None)], after_outage=after_outage)


def _usable_ids(server_directory):
    return {entry.server_id for entry in server_directory.usable_servers()}


def test_servers_of_an_evacuated_zone_are_not_usable(server_directory):
    """Guards against requests to a zone between the writing and the removal of the key."""
    assert _usable_ids(server_directory) == {"b"}
    assert server_directory.evacuated_services() == {"s"}
    _remove(server_directory, after_outage=False)
    assert _usable_ids(server_directory) == {"a", "b"}
    assert server_directory.evacuated_services() == frozenset()


def test_server_that_registers_in_an_evacuated_zone_is_not_usable(server_directory, objects):
    """Guards against requests to a server that starts while its zone is evacuated."""
    objects["servers/c"] = conftest.make_entry("c", "1.1.1.3:1", zone="y")
    server_directory.apply([record.Record("servers/c", 2, b"x")], after_outage=False)
    assert _usable_ids(server_directory) == {"b"}


def test_evacuation_that_is_missing_after_an_outage_is_retained(server_directory, monkeypatch):
    """Guards against requests to an evacuated zone because the store has lost the key."""
    _remove(server_directory, after_outage=True)
    server_directory.sweep()
    assert server_directory.evacuated_zones == {"y"}
    later = clock.now() + evacuations.RETENTION_S
    monkeypatch.setattr(clock, "now", lambda: later)
    server_directory.sweep()
    assert _usable_ids(server_directory) == {"a", "b"}


def test_evacuation_that_is_written_again_stays(server_directory, monkeypatch):
    """Guards against the end of an evacuation although its key is in the store again."""
    _remove(server_directory, after_outage=True)
    server_directory.apply([record.Record(KEY, 3, b"x")], after_outage=False)
    later = clock.now() + 2 * evacuations.RETENTION_S
    monkeypatch.setattr(clock, "now", lambda: later)
    server_directory.sweep()
    assert server_directory.evacuated_zones == {"y"}


@pytest.fixture
async def zones(fleet):
    """Returns a fleet of ready nodes in the zones y and z, and their addresses."""
    addresses = [await fleet.add(index, zone=zone) for index, zone in enumerate("yz")]
    for address in addresses:
        await fleet.wait_until_ready(address)
    await waiting.until(lambda: _counts(fleet) == [2, 2], within_s=8.0)
    return fleet, addresses


def _counts(fleet):
    return [made.server_count("s") for made in fleet.nodes]


async def test_requests_leave_an_evacuated_zone_and_come_back(zones):
    """Guards against requests to an evacuated zone, and against a zone that stays unused."""
    fleet, addresses = zones
    fleet.publish(KEY, EVACUATION)
    await waiting.until(lambda: _counts(fleet) == [1, 1], within_s=8.0)
    for number in range(6):
        for ip in addresses:
            assert (await fleet.request(ip, "POST", "/post/1", f"{ip}-{number}"))[0] == 200
    assert fleet.backends[0].runs == []
    _, _, text = await fleet.request(addresses[1], "GET", "/metrics", "m", port=17002)
    assert b"laburnumford_zones_evacuated 1" in text
    fleet.publish(KEY, None)
    await waiting.until(lambda: _counts(fleet) == [2, 2], within_s=8.0)
    assert (await fleet.request(addresses[0], "POST", "/post/1", "back"))[0] == 200
    assert fleet.backends[0].runs == ["back"]


async def test_service_with_servers_only_in_evacuated_zones_is_refused_at_once(zones):
    """Guards against callers that wait for a server that must get nothing."""
    fleet, addresses = zones
    for zone in "yz":
        fleet.publish(f"op/evacuate/{zone}", zone_evacuation.ZoneEvacuation(zone=zone))
    await waiting.until(lambda: _counts(fleet) == [0, 0], within_s=8.0)
    for ip in addresses:
        status, values, body = await fleet.request(ip, "GET", "/get/1", ip)
        assert status == 503
        assert b"zone-evacuated" in body
        assert float(values["retry-after"]) == 1.0


async def test_request_of_a_node_that_does_not_know_runs_in_another_zone(
    zones, monkeypatch, capfd
):
    """Guards against a node cut off from the news whose requests reach an evacuated zone."""
    fleet, (_, unaware) = zones
    for name in ("_apply_records", "_handle_digest", "_handle_pull_response"):
        monkeypatch.setattr(fleet.nodes[1], name, lambda *_: None)
    monkeypatch.setattr(fleet.nodes[1]._sync, "_on_records", lambda *_: None)
    fleet.publish(KEY, EVACUATION)
    await waiting.until(lambda: _counts(fleet) == [1, 2], within_s=8.0)
    fleet.backends[1].service_time_s = 0.05
    pending = [fleet.request(unaware, "POST", "/post/1", str(number)) for number in range(5)]
    assert {found[0] for found in await asyncio.gather(*pending)} == {200}
    assert fleet.backends[0].runs == []
    assert len(fleet.backends[1].runs) == 5
    assert '"refused":"zone-evacuated"' in capfd.readouterr().out


async def test_node_without_published_values_runs_nothing_for_others(fleet):
    """Guards against a restarted node that does not know yet that its zone is evacuated."""
    fleet.store.down = True
    await fleet.add(0)
    found = await fleet.nodes[0]._run_for_peer(conftest.make_request(server_id="server-0"))
    assert isinstance(found, frames.Refusal)
    assert found.reason == "no-configuration"
    assert fleet.backends[0].runs == []
