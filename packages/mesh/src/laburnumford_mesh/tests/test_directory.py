"""Tests of the active configuration and the usable servers."""

import dataclasses

import pytest

from laburnumford_mesh import clock, directory, record
from laburnumford_mesh.tests import conftest


@pytest.fixture
def objects():
    """Returns a dictionary of decoded objects by key."""
    return {}


@pytest.fixture
def server_directory(objects, log):
    """Returns a directory whose decoder looks records up in the objects."""
    return directory.Directory(
        decode=lambda found: objects.get(found.key), log=log, on_change=lambda: None
    )


def _put(server_directory, objects, key, decoded, *, after_outage=False):
    objects[key] = decoded
    value = None if decoded is None else b"x"
    server_directory.apply([record.Record(key, 1, value)], after_outage=after_outage)


def _ids(server_directory):
    return {entry.server_id for entry in server_directory.usable_servers()}


def test_older_version_is_never_activated(server_directory, objects):
    """Guards against reverting to an older configuration."""
    _put(server_directory, objects, "op/config", conftest.make_configuration(5))
    _put(server_directory, objects, "op/config", conftest.make_configuration(4))
    assert server_directory.configuration.version == 5


def test_draining_and_removed_servers_are_not_usable(server_directory, objects):
    """Guards against new requests to a server that stops."""
    _put(server_directory, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    _put(server_directory, objects, "servers/b", conftest.make_entry("b", "1.1.1.2:1"))
    _put(
        server_directory,
        objects,
        "servers/a",
        conftest.make_entry("a", "1.1.1.1:1", draining=True),
    )
    _put(server_directory, objects, "servers/b", None)
    assert _ids(server_directory) == set()


def test_entry_that_expired_in_a_store_outage_is_retained_for_a_grace_period(
    server_directory, objects, monkeypatch
):
    """Guards against refusing all requests while running servers register again."""
    _put(server_directory, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    _put(server_directory, objects, "servers/a", None, after_outage=True)
    server_directory.sweep()
    assert _ids(server_directory) == {"a"}
    later = clock.now() + 3.0
    monkeypatch.setattr(clock, "now", lambda: later)
    server_directory.sweep()
    assert _ids(server_directory) == set()


def test_server_that_registers_again_stays_usable(server_directory, objects, monkeypatch):
    """Guards against removing a server at the end of the grace period despite its new entry."""
    _put(server_directory, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    _put(server_directory, objects, "servers/a", None, after_outage=True)
    _put(server_directory, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    later = clock.now() + 3.0
    monkeypatch.setattr(clock, "now", lambda: later)
    server_directory.sweep()
    assert _ids(server_directory) == {"a"}


def test_newest_of_several_entries_with_one_address_is_used(server_directory, objects):
    """Guards against requests to the id of a server that has ended.

    After a power failure, entries of ended servers stay for some seconds.
    """
    _put(
        server_directory, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1", started_ms=1)
    )
    _put(
        server_directory, objects, "servers/b", conftest.make_entry("b", "1.1.1.1:1", started_ms=2)
    )
    assert _ids(server_directory) == {"b"}


@pytest.mark.parametrize("draining", [False, True])
def test_entry_of_an_unknown_service_does_not_hide_a_server(server_directory, objects, draining):
    """Guards against servers that are hidden by a foreign entry with their address (review/4)."""
    _put(server_directory, objects, "op/config", conftest.make_configuration())
    _put(server_directory, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    foreign = conftest.make_entry(
        "b", "1.1.1.1:1", service="unknown", draining=draining, started_ms=2
    )
    _put(server_directory, objects, "servers/b", foreign)
    assert _ids(server_directory) == {"a"}


def test_server_is_usable_once_its_service_is_configured(server_directory, objects):
    """Guards against an entry that is forgotten because it came before the configuration."""
    _put(server_directory, objects, "op/config", conftest.make_configuration(1))
    _put(
        server_directory, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1", service="t")
    )
    assert _ids(server_directory) == set()
    _put(server_directory, objects, "op/config", conftest.make_configuration(2, service="t"))
    assert _ids(server_directory) == {"a"}


def test_entry_overwritten_with_an_invalid_value_is_removed(server_directory, objects):
    """Guards against a server that stays in use after its entry was overwritten."""
    _put(server_directory, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    objects["servers/a"] = None
    server_directory.apply([record.Record("servers/a", 2, b"junk")], after_outage=False)
    assert _ids(server_directory) == set()


def _renewal(sequence, *, draining=False, started_ms=5):
    return conftest.make_entry(
        "a", "1.1.1.1:1", draining=draining, started_ms=started_ms, sequence=sequence
    )


def test_delayed_renewal_does_not_undo_draining(server_directory, objects):
    """Guards against requests to a server that stops, because an old renewal arrived late."""
    _put(server_directory, objects, "servers/a", _renewal(3, draining=True))
    _put(server_directory, objects, "servers/a", _renewal(2))
    assert not _ids(server_directory)


@pytest.mark.parametrize("sequence", [2, 3])
def test_delayed_renewal_does_not_register_a_removed_server(server_directory, objects, sequence):
    """Guards against requests to a server that has ended, because an old renewal arrived late."""
    _put(server_directory, objects, "servers/a", _renewal(3))
    _put(server_directory, objects, "servers/a", None)
    _put(server_directory, objects, "servers/a", _renewal(sequence))
    assert not _ids(server_directory)


def test_later_renewal_and_restart_of_a_removed_server_register_it(server_directory, objects):
    """Guards against a server that stays unused after its entry lapsed or after its restart."""
    _put(server_directory, objects, "servers/a", _renewal(3))
    _put(server_directory, objects, "servers/a", None)
    _put(server_directory, objects, "servers/a", _renewal(4))
    assert _ids(server_directory) == {"a"}
    _put(server_directory, objects, "servers/a", None)
    _put(server_directory, objects, "servers/a", _renewal(1, started_ms=6))
    assert _ids(server_directory) == {"a"}


def _apply_era(server_directory, objects, entry, era):
    objects["servers/a"] = entry
    server_directory.apply([record.Record("servers/a", 1, b"x", era)], after_outage=True)


def test_older_copy_of_an_entry_does_not_undo_draining(server_directory, objects):
    """Guards against requests to a server that stops, because the store came back older."""
    _apply_era(server_directory, objects, _renewal(3, draining=True), 0)
    _apply_era(server_directory, objects, _renewal(2), 1)
    assert not _ids(server_directory)


def test_older_copy_of_an_entry_does_not_bring_back_a_server(
    server_directory, objects, monkeypatch
):
    """Guards against requests to a server that was missing for the whole grace period."""
    _put(server_directory, objects, "servers/a", _renewal(3))
    _put(server_directory, objects, "servers/a", None, after_outage=True)
    later = clock.now() + 3.0
    monkeypatch.setattr(clock, "now", lambda: later)
    server_directory.sweep()
    _apply_era(server_directory, objects, _renewal(2), 1)
    assert not _ids(server_directory)
    _apply_era(server_directory, objects, _renewal(4), 1)
    assert _ids(server_directory) == {"a"}


def test_entry_of_a_newer_era_belongs_to_the_current_server(server_directory, objects):
    """Guards against requests to the id of an ended server, because revisions went back."""
    ended = conftest.make_entry("a", "1.1.1.1:1", started_ms=0, revision=90)
    current = dataclasses.replace(ended, server_id="b", revision=40, era=1)
    _put(server_directory, objects, "servers/a", ended)
    _put(server_directory, objects, "servers/b", current)
    assert _ids(server_directory) == {"b"}


def test_renewals_without_a_known_start_are_not_compared(server_directory, objects):
    """Guards against a restarted server that is ignored, because its numbers start again."""
    _put(server_directory, objects, "servers/a", _renewal(9, started_ms=0))
    _put(server_directory, objects, "servers/a", _renewal(1, started_ms=0, draining=True))
    assert not _ids(server_directory)


def test_record_that_the_decoder_fails_on_does_not_affect_others(log, tmp_path):
    """Guards against losing the records behind one that raises an unexpected error (review/1)."""
    changes = []

    def decode(found):
        if found.key == "servers/odd":
            raise RecursionError("nested")
        if found.key == "op/config":
            return conftest.make_configuration(7)
        return conftest.make_entry(found.key, "1.1.1.1:1")

    server_directory = directory.Directory(
        decode=decode, log=log, on_change=lambda: changes.append(True)
    )
    keys = ["servers/a", "servers/odd", "op/config"]
    server_directory.apply(
        [record.Record(key, number, b"x") for number, key in enumerate(keys)], after_outage=False
    )
    assert _ids(server_directory) == {"servers/a"}
    assert server_directory.configuration is not None
    assert server_directory.configuration.version == 7
    assert changes == [True]
    assert "RecursionError" in (tmp_path / "log").read_text(encoding="utf-8")
