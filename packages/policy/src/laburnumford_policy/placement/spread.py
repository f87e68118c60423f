"""Chooses the nodes that are told of news.

Answers the load pattern of a large fleet whose entries change many times a second: news that
every node tells to random others crosses the availability zones with most of its copies, and
bytes between zones are slow and paid for. Most copies stay in the zone, and one of each node
goes to another zone, so that no zone depends on a single message.
"""

import random
from collections.abc import Sequence

FAR_TARGETS = 1
"""Nodes of other zones among those that one node tells."""


def choose_targets(
    generator: random.Random, *, near: Sequence[str], far: Sequence[str], count: int
) -> list[str]:
    """Returns random nodes to tell, most of them in the own zone.

    Args:
        generator: source of random numbers.
        near: nodes of the own zone.
        far: nodes of other zones.
        count: nodes to tell; fewer are returned if there are fewer.
    """
    far_count = min(len(far), max(FAR_TARGETS, count - len(near)))
    near_count = min(len(near), count - far_count)
    return generator.sample(near, near_count) + generator.sample(far, far_count)
