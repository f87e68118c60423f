"""Tests of configuration in force and usable servers."""

import pytest

from laburnumford_mesh import clock, directory, record
from laburnumford_mesh.tests import conftest


@pytest.fixture
def objects():
    """Returns the decoded objects by key."""
    return {}


@pytest.fixture
def known(objects, log):
    """Returns a directory that decodes from the objects."""
    return directory.Directory(
        decode=lambda found: objects.get(found.key), log=log, on_change=lambda: None
    )


def _put(known, objects, key, decoded, *, after_outage=False):
    objects[key] = decoded
    value = None if decoded is None else b"x"
    known.apply([record.Record(key, 1, value)], after_outage=after_outage)


def _ids(known):
    return {entry.server_id for entry in known.usable()}


def test_older_version_is_never_put_in_force(known, objects):
    """Guards against a configuration that reverts."""
    _put(known, objects, "op/config", conftest.make_configuration(5))
    _put(known, objects, "op/config", conftest.make_configuration(4))
    assert known.configuration.version == 5


def test_draining_and_removed_servers_get_nothing(known, objects):
    """Guards against new work for a server that leaves."""
    _put(known, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    _put(known, objects, "servers/b", conftest.make_entry("b", "1.1.1.2:1"))
    _put(known, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1", draining=True))
    _put(known, objects, "servers/b", None)
    assert _ids(known) == set()


def test_entry_that_lapsed_in_an_outage_is_held_for_a_moment(known, objects, monkeypatch):
    """Guards against refusing everything while living servers register again."""
    _put(known, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    _put(known, objects, "servers/a", None, after_outage=True)
    known.sweep()
    assert _ids(known) == {"a"}
    later = clock.now() + 3.0
    monkeypatch.setattr(clock, "now", lambda: later)
    known.sweep()
    assert _ids(known) == set()


def test_entry_that_comes_back_stays(known, objects, monkeypatch):
    """Guards against dropping a server whose entry has returned."""
    _put(known, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    _put(known, objects, "servers/a", None, after_outage=True)
    _put(known, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    later = clock.now() + 3.0
    monkeypatch.setattr(clock, "now", lambda: later)
    known.sweep()
    assert _ids(known) == {"a"}


def test_newest_of_several_servers_at_an_address_counts(known, objects):
    """Guards against requests to the id of a server that has ended.

    Seen after a loss of power: entries of ended servers stay for some seconds.
    """
    _put(known, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1", born_ms=1))
    _put(known, objects, "servers/b", conftest.make_entry("b", "1.1.1.1:1", born_ms=2))
    assert _ids(known) == {"b"}


def test_entry_that_names_no_server_any_more_is_dropped(known, objects):
    """Guards against a server that stays in use after its entry was overwritten."""
    _put(known, objects, "servers/a", conftest.make_entry("a", "1.1.1.1:1"))
    objects["servers/a"] = None
    known.apply([record.Record("servers/a", 2, b"junk")], after_outage=False)
    assert _ids(known) == set()
