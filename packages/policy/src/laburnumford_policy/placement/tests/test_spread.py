"""Tests of how news spreads over availability zones."""

import random

import pytest

from laburnumford_policy.placement import spread

_ZONES = 3
_COUNT = 4
_LOSS_SHARE = 0.1


def _zone(node):
    return int(node) % _ZONES


def _targets(generator, node, nodes):
    others = [each for each in nodes if each != node]
    return spread.choose_targets(
        generator,
        near=[each for each in others if _zone(each) == _zone(node)],
        far=[each for each in others if _zone(each) != _zone(node)],
        count=_COUNT,
    )


@pytest.mark.parametrize("nodes_count", [6, 14, 80, 300])
@pytest.mark.parametrize("seed", range(5))
def test_news_reaches_nearly_all_nodes(nodes_count, seed):
    """Guards against a zone that news does not reach. A tenth of the messages is lost.

    Each node tells others once, when it hears of the news. Who is left out hears of it by
    the next digest.
    """
    generator = random.Random(seed)
    nodes = [str(number) for number in range(nodes_count)]
    known = {"0"}
    telling = ["0"]
    while telling:
        heard = {
            target
            for node in telling
            for target in _targets(generator, node, nodes)
            if generator.random() >= _LOSS_SHARE
        }
        telling = sorted(heard - known)
        known |= heard
    assert len(known) >= 0.9 * nodes_count
    assert {_zone(node) for node in known} == set(range(_ZONES))


def test_most_news_stays_in_its_zone():
    """Guards against bytes between zones for news that a neighbor has as well."""
    generator = random.Random(1)
    nodes = [str(number) for number in range(80)]
    targets = [(node, each) for node in nodes for each in _targets(generator, node, nodes)]
    far = sum(_zone(node) != _zone(each) for node, each in targets)
    assert far <= len(targets) / _COUNT


def test_lonely_node_tells_other_zones():
    """Guards against a node that tells nobody because its zone has no other node."""
    chosen = spread.choose_targets(random.Random(1), near=[], far=["1", "2", "3"], count=_COUNT)
    assert sorted(chosen) == ["1", "2", "3"]
