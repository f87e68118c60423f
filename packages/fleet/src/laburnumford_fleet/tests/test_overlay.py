"""Tests of the overlay and of the choice of readers."""

import collections
import math

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_fleet import overlay, readers

_ZONES = [f"r{region}-z{zone}" for region in range(4) for zone in range(3)]


def _fleet(nodes: int) -> dict[str, str]:
    return {f"server-{index}": _ZONES[index % len(_ZONES)] for index in range(nodes)}


@pytest.fixture(scope="module")
def large() -> tuple[dict[str, str], dict[str, frozenset[str]]]:
    """Returns the zones and the links of 10,000 nodes."""
    zones_by_name = _fleet(10_000)
    return zones_by_name, overlay.links(zones_by_name=zones_by_name)


def _distances(links, start, kept):
    distances = {start: 0}
    waiting = collections.deque([start])
    while waiting:
        name = waiting.popleft()
        for other in links[name]:
            if other in kept and other not in distances:
                distances[other] = distances[name] + 1
                waiting.append(other)
    return distances


def test_links_are_symmetric_few_and_cross_regions(large):
    """Guards against one-way links, nodes with many links and nodes linked to one region only."""
    zones_by_name, links = large
    assert all(name in links[other] for name in links for other in links[name])
    degrees = [len(found) for found in links.values()]
    assert min(degrees) >= 4
    assert max(degrees) <= 9
    assert sum(degrees) / len(degrees) < 6.1
    crossing = sum(
        any(zones_by_name[name][:2] != zones_by_name[other][:2] for other in found)
        for name, found in links.items()
    )
    assert crossing > 0.99 * len(links)


def test_paths_are_short(large):
    """Guards against paths with too many hops for a version to reach all nodes within 7 s."""
    zones_by_name, links = large
    for start in ("server-0", "server-4711"):
        distances = _distances(links, start, zones_by_name.keys())
        assert len(distances) == 10_000
        assert max(distances.values()) <= 10


@pytest.mark.parametrize("gone", [{zone} for zone in _ZONES] + [set(_ZONES[:3]), set(_ZONES[::3])])
def test_other_zones_stay_connected_when_zones_are_lost(large, gone):
    """Guards against the loss of a zone or region that partitions the other nodes."""
    zones_by_name, links = large
    kept = {name for name, zone in zones_by_name.items() if zone not in gone}
    assert len(_distances(links, min(kept), kept)) == len(kept)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    sizes=strategies.lists(strategies.integers(1, 6), min_size=1, max_size=5),
    lost=strategies.integers(0, 4),
)
def test_small_fleets_stay_connected(sizes, lost):
    """Guards against small fleets that the loss of a zone partitions."""
    zones_by_name = {
        f"n{zone}-{index}": f"z{zone}" for zone, size in enumerate(sizes) for index in range(size)
    }
    links = overlay.links(zones_by_name=zones_by_name)
    kept = {name for name, zone in zones_by_name.items() if zone != f"z{lost}"}
    if kept:
        assert len(_distances(links, min(kept), kept)) == len(kept)


def test_one_node_changes_few_links(large):
    """Guards against a new node that makes many nodes change their connections."""
    zones_by_name, before = large
    for seed in range(3):
        after = overlay.links(zones_by_name=zones_by_name | {f"new-{seed}": _ZONES[seed]})
        changed = sum(len(before[name] ^ after[name]) for name in before)
        # Each of three rings loses one link and gains two; pair links change rarely.
        assert changed <= 16


@hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
@hypothesis.given(
    steps=strategies.lists(
        strategies.dictionaries(
            strategies.sampled_from([f"n{index}" for index in range(14)]),
            strategies.sampled_from(["z0", "z1", "z2", ""]),
            max_size=6,
        ),
        min_size=1,
        max_size=6,
    )
)
def test_incremental_overlay_equals_links(steps):
    """Guards against a node that computes other neighbours than its peers after several changes."""
    overlays = {f"n{index}": overlay.Overlay(node=f"n{index}") for index in range(4)}
    zones_by_name: dict[str, str] = {}
    for step in steps:
        removed = [name for name, zone in step.items() if not zone]
        changed = {name: zone for name, zone in step.items() if zone}
        zones_by_name = {
            name: zone for name, zone in (zones_by_name | changed).items() if name not in removed
        }
        links = overlay.links(zones_by_name=zones_by_name)
        for name, found in overlays.items():
            found.apply(zones_by_name=changed, removed=removed)
            assert found.neighbours() == links.get(name, frozenset())


def test_incremental_overlay_equals_links_at_scale(large):
    """Guards against neighbours that differ only in a large set."""
    zones_by_name, links = large
    for name in list(zones_by_name)[::2503]:
        found = overlay.Overlay(node=name)
        found.apply(zones_by_name=zones_by_name, removed=())
        assert found.neighbours() == links[name]


@pytest.mark.parametrize(
    ("nodes", "zones", "expected"), [(1, 1, 1), (5, 3, 5), (30, 3, 9), (400, 3, 20)]
)
def test_number_of_readers(nodes, zones, expected):
    """Guards against too few readers for the loss of a zone and too many for the platform."""
    assert readers.count(nodes=nodes, zones=zones) == expected


def test_readers_agree_and_rotate(large):
    """Guards against nodes that disagree about the readers, and against fixed readers."""
    zones_by_name, _ = large
    chosen = readers.choose(names=zones_by_name, zones=12, epoch_number=7)
    assert len(chosen) == math.isqrt(10_000)
    for name in list(zones_by_name)[::501] + sorted(chosen)[:5]:
        assert (name in chosen) is readers.is_reader(
            name=name, names=zones_by_name, zones=12, epoch_number=7
        )
    later = readers.choose(names=zones_by_name, zones=12, epoch_number=8)
    assert len(chosen & later) < 10
    rest = zones_by_name.keys() - {min(chosen)}
    assert len(chosen & readers.choose(names=rest, zones=12, epoch_number=7)) == 99
