"""Selects the nodes to which a node gossips an update.

Load pattern: a large fleet whose entries change many times a second. If every node sends updates
to uniformly random nodes, most copies cross availability zones, where links are slow and traffic
is billed. Most copies stay in the zone, and each node sends one copy to another zone, so that no
zone depends on a single message. A node that random targets have missed several times in a row gets
a reply to its own message, which tells how old its values are.
"""

import random
from collections.abc import Sequence

MIN_OTHER_ZONE_TARGETS = 1
"""Nodes of other zones among the targets of one node, if there are any."""

MIN_AGE_GAIN_S = 0.2
"""Seconds by which values must be more recent than those of the sender of a digest to reply."""


def should_reply(
    *, own_revision: int, own_age_s: float, peer_revision: int, peer_age_s: float
) -> bool:
    """Returns whether the sender of a digest should get the digest of this node.

    Args:
        own_revision: revision of the values of this node.
        own_age_s: seconds since these were known to be current.
        peer_revision: revision in the received digest.
        peer_age_s: age in the received digest.
    """
    if own_revision != peer_revision:
        return own_revision > peer_revision
    return peer_age_s - own_age_s > MIN_AGE_GAIN_S


def choose_targets(
    generator: random.Random,
    *,
    same_zone: Sequence[str],
    other_zones: Sequence[str],
    count: int,
) -> list[str]:
    """Returns random nodes to send an update to, most of them in the own zone.

    Args:
        generator: source of random numbers.
        same_zone: nodes of the own zone.
        other_zones: nodes of other zones.
        count: number of targets; fewer are returned if there are fewer nodes.
    """
    other_zones_count = min(len(other_zones), max(MIN_OTHER_ZONE_TARGETS, count - len(same_zone)))
    same_zone_count = min(len(same_zone), count - other_zones_count)
    return generator.sample(same_zone, same_zone_count) + generator.sample(
        other_zones, other_zones_count
    )
