"""Fixed neighbours of each node.

Every node has six neighbours by hash: two on a ring over its own zone and two
on each of two rings over the whole fleet. Every pair of zones has one link
more. The zone rings and the pair links keep the rest connected when a zone is
gone; the rings over the fleet give short paths across zones and regions. A
node that comes or goes changes a few links next to its places on the rings.
"""

from collections.abc import Iterable, Mapping

from laburnumford_fleet import hashing

_ZONE_SEED = 0
_FLEET_SEEDS = (1, 2)


def _ring_links(names: Iterable[str], seed: int) -> Iterable[tuple[str, str]]:
    ring = sorted(names, key=lambda name: _place(name, seed))
    if len(ring) < 2:
        return ()
    return zip(ring, ring[1:] + ring[:1], strict=True)


def links(*, zones_by_name: Mapping[str, str]) -> dict[str, frozenset[str]]:
    """Returns the neighbours of every node.

    Args:
        zones_by_name: zone of each node, by node name.
    """
    neighbours: dict[str, set[str]] = {name: set() for name in zones_by_name}
    names_by_zone: dict[str, list[str]] = {}
    for name, zone in zones_by_name.items():
        names_by_zone.setdefault(zone, []).append(name)

    def link(first: str, second: str) -> None:
        if first != second:
            neighbours[first].add(second)
            neighbours[second].add(first)

    for seed in _FLEET_SEEDS:
        for first, second in _ring_links(zones_by_name, seed):
            link(first, second)
    for names in names_by_zone.values():
        for first, second in _ring_links(names, _ZONE_SEED):
            link(first, second)
    zones = sorted(names_by_zone)
    for index, zone in enumerate(zones):
        for other in zones[index + 1 :]:
            seed = _pair_seed(zone, other)
            link(_first(names_by_zone[zone], seed), _first(names_by_zone[other], seed))
    return {name: frozenset(found) for name, found in neighbours.items()}


def neighbours(*, name: str, zones_by_name: Mapping[str, str]) -> frozenset[str]:
    """Returns the neighbours of one node, as `links` does but without sorting all nodes.

    The result is empty when the node is not in the set.
    """
    if name not in zones_by_name:
        return frozenset()
    own_zone = zones_by_name[name]
    names_by_zone: dict[str, list[str]] = {}
    for other, zone in zones_by_name.items():
        names_by_zone.setdefault(zone, []).append(other)
    found = set(_beside(name, names_by_zone[own_zone], _ZONE_SEED))
    for seed in _FLEET_SEEDS:
        found.update(_beside(name, zones_by_name, seed))
    for zone in names_by_zone.keys() - {own_zone}:
        first, second = sorted((own_zone, zone))
        seed = _pair_seed(first, second)
        if _first(names_by_zone[own_zone], seed) == name:
            found.add(_first(names_by_zone[zone], seed))
    return frozenset(found - {name})


def _beside(name: str, names: Iterable[str], seed: int) -> tuple[str, ...]:
    """Returns the nodes before and after a node on a ring."""
    own = _place(name, seed)
    places = [_place(other, seed) for other in names if other != name]
    if not places:
        return ()
    after = min((place for place in places if place > own), default=None) or min(places)
    before = max((place for place in places if place < own), default=None) or max(places)
    return before[1], after[1]


def _place(name: str, seed: int) -> tuple[int, str]:
    return hashing.of(name, seed=seed), name


def _pair_seed(first: str, second: str) -> int:
    """Returns one seed per pair of zones, which spreads the pair links over the nodes."""
    return hashing.of(f"{first}\x00{second}")


def _first(names: Iterable[str], seed: int) -> str:
    return min(_place(name, seed) for name in names)[1]
