"""Tests of the selection of gossip targets in the own and in other availability zones."""

import random

import pytest

from laburnumford_policy.placement import spread

_ZONES = 3
_TARGETS_PER_NODE = 4
_LOSS_SHARE = 0.1


def _zone(node):
    return int(node) % _ZONES


def _targets(generator, node, nodes):
    others = [each for each in nodes if each != node]
    return spread.choose_targets(
        generator,
        same_zone=[each for each in others if _zone(each) == _zone(node)],
        other_zones=[each for each in others if _zone(each) != _zone(node)],
        count=_TARGETS_PER_NODE,
    )


@pytest.mark.parametrize("nodes_count", [6, 14, 80, 300])
@pytest.mark.parametrize("seed", range(5))
def test_update_reaches_nearly_all_nodes(nodes_count, seed):
    """Guards against a zone that an update does not reach. A tenth of the messages is lost.

    Each node sends the update on once, when it first receives it. The remaining nodes learn of
    it from the next digest.
    """
    generator = random.Random(seed)
    nodes = [str(number) for number in range(nodes_count)]
    informed = {"0"}
    senders = ["0"]
    while senders:
        received = {
            target
            for node in senders
            for target in _targets(generator, node, nodes)
            if generator.random() >= _LOSS_SHARE
        }
        senders = sorted(received - informed)
        informed |= received
    assert len(informed) >= 0.9 * nodes_count
    assert {_zone(node) for node in informed} == set(range(_ZONES))


def test_most_copies_stay_in_their_zone():
    """Guards against traffic between zones for updates that a node of the own zone has as well."""
    generator = random.Random(1)
    nodes = [str(number) for number in range(80)]
    targets = [(node, each) for node in nodes for each in _targets(generator, node, nodes)]
    cross_zone = sum(_zone(node) != _zone(each) for node, each in targets)
    assert cross_zone <= len(targets) / _TARGETS_PER_NODE


def test_only_node_of_a_zone_sends_to_other_zones():
    """Guards against a node that sends to nobody because its zone has no other node."""
    chosen = spread.choose_targets(
        random.Random(1), same_zone=[], other_zones=["1", "2", "3"], count=_TARGETS_PER_NODE
    )
    assert sorted(chosen) == ["1", "2", "3"]
