"""Choice of the nodes that read the platform."""

import math
from collections.abc import Collection, Iterable

from laburnumford_fleet import hashing

EPOCH_S = 600.0


def epoch(*, wall_s: float) -> int:
    """Returns the ten-minute epoch of a wall-clock time in seconds."""
    return int(wall_s // EPOCH_S)


def count(*, nodes: int, zones: int) -> int:
    """Returns the number of readers: 3 per zone or sqrt(nodes), whichever is larger, at most all nodes."""
    return min(nodes, max(3 * zones, math.ceil(math.sqrt(nodes))))


def choose(*, names: Iterable[str], zones: int, epoch_number: int) -> frozenset[str]:
    """Returns the readers of an epoch by rendezvous hashing.

    Args:
        names: names of all nodes.
        zones: number of availability zones.
        epoch_number: result of `epoch`.
    """
    seed = epoch_number & 0xFFFF_FFFF_FFFF_FFFF
    ranked = sorted((hashing.hash_name(name, seed=seed), name) for name in names)
    return frozenset(name for _, name in ranked[: count(nodes=len(ranked), zones=zones)])


def is_reader(*, name: str, names: Collection[str], zones: int, epoch_number: int) -> bool:
    """Returns whether one node is a reader of an epoch; False when it is not in `names`."""
    if name not in names:
        return False
    seed = epoch_number & 0xFFFF_FFFF_FFFF_FFFF
    own = (hashing.hash_name(name, seed=seed), name)
    before = sum((hashing.hash_name(other, seed=seed), other) < own for other in names)
    return before < count(nodes=len(names), zones=zones)
