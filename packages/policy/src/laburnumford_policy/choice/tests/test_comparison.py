"""Target bounds of latency_aware on the queueing model."""

import functools

import pytest

from laburnumford_policy import choice
from laburnumford_policy.choice.tests import queue_model, scenarios

PRODUCT = "latency_aware"
BASELINES = tuple(name for name in choice.choosers.names() if name != PRODUCT)
SEEDS = (1, 2)
NOISY = ("noisy_neighbour", "moving_neighbour")


@functools.cache
def run(scenario, chooser, seed=1):
    """Returns a finished run, kept because several tests look at it."""
    return queue_model.Model(getattr(scenarios, scenario)(seed), chooser).run()


@pytest.mark.parametrize("scenario", NOISY)
@pytest.mark.parametrize("seed", SEEDS)
def test_noisy_neighbour_at_most_doubles_p99(scenario, seed):
    """Guards against calls that stay on a server slowed by its neighbour."""
    undisturbed = run("undisturbed", PRODUCT, seed).quantile(0.99)
    assert run(scenario, PRODUCT, seed).quantile(0.99) < 2 * undisturbed


@pytest.mark.parametrize("scenario", NOISY)
@pytest.mark.parametrize("baseline", BASELINES)
def test_noisy_neighbour_p99_is_half_of_baseline(scenario, baseline):
    """Guards against a default that is no better than the published rules."""
    bound = run(scenario, baseline).quantile(0.99) / 2
    assert run(scenario, PRODUCT).quantile(0.99) <= bound


@pytest.mark.parametrize("seed", SEEDS)
def test_slowed_server_is_left_within_50_ms(seed):
    """Guards against a slow server that is found only by its late answers."""
    model = run("noisy_neighbour", PRODUCT, seed)
    for window in scenarios.NOISY_WINDOWS:
        if window.end - window.start >= 0.5:
            assert model.share_to("s0", window.start + 0.05, window.end) <= 0.02


@pytest.mark.parametrize("scenario", ["refuse_all", "refuse_all_few_calls"])
@pytest.mark.parametrize("seed", SEEDS)
def test_refuse_all_server_attracts_no_load(scenario, seed):
    """Guards against credit for the empty queue of a server that fails fast."""
    model = run(scenario, PRODUCT, seed)
    assert model.share_to("s0") <= 0.02
    assert all(call.answered for call in model.calls)


@pytest.mark.parametrize("seed", SEEDS)
def test_paused_server_is_left_and_found_again(seed):
    """Guards against calls to a paused server, and against one that is never used again."""
    model = run("paused", PRODUCT, seed)
    start, end = scenarios.PAUSE.start, scenarios.PAUSE.end
    # At most one call from each of the 8 nodes in the first second.
    assert model.sent_to("s0", start + 0.05, start + 1.0) <= 8
    assert model.share_to("s0", end + 2.0, end + 2.5) >= 0.1


@pytest.mark.parametrize("seed", SEEDS)
def test_cold_server_is_ramped_up(seed):
    """Guards against a rush of calls to a server that has just joined."""
    model = run("cold_start", PRODUCT, seed)
    join = scenarios.COLD_JOIN_S
    assert 0 < model.share_to("s0", join, join + 0.5) <= 0.05
    assert model.share_to("s0", join + 2.5, join + 4.0) >= 0.1
    undisturbed = run("undisturbed", PRODUCT, seed).quantile(0.99)
    assert model.quantile(0.99, join, join + 2.0) < 2 * undisturbed


@pytest.mark.parametrize("seed", SEEDS)
def test_load_is_spread_when_all_refuse(seed):
    """Guards against dropped calls and against one server taking all of them."""
    model = run("all_refusing", PRODUCT, seed)
    shares = [model.share_to(server.name) for server in model.servers]
    assert min(shares) >= 0.1
    assert max(shares) <= 0.3
    assert len(model.sends) == len(model.calls) * (1 + queue_model.MAX_RESENDS)


@pytest.mark.parametrize("scenario", ["undisturbed", "busy"])
@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_do_not_herd(scenario, seed):
    """Guards against many nodes that rush to the same server, which shows as queues."""
    random_p99 = run(scenario, "random", seed).quantile(0.99)
    model = run(scenario, PRODUCT, seed)
    assert model.quantile(0.99) <= random_p99
    assert all(call.answered and not call.resends for call in model.calls)


@pytest.mark.parametrize("seed", SEEDS)
def test_large_calls_do_not_poison_the_estimate(seed):
    """Guards against a server that is left because it answered large calls."""
    best = min(run("mixed_sizes", each, seed).quantile(0.9) for each in BASELINES)
    assert run("mixed_sizes", PRODUCT, seed).quantile(0.9) <= 1.1 * best


def test_own_server_goes_first():
    """Guards against network delay for calls that the own server could take."""
    model = run("local_servers", PRODUCT)
    local = sum(1 for _, name, node in model.sends if name == f"s{node}")
    assert local >= 0.6 * len(model.sends)
