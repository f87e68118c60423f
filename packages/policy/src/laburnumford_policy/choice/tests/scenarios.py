"""Scenarios of the queueing model for the comparison of choosers."""

from laburnumford_policy.choice.tests import queue_model

NOISY_FROM_S = 1.0
_NOISY_LENGTHS_S = (0.05, 0.2, 0.5, 1.0, 5.0, 0.1, 2.0)
_NOISY_GAP_S = 0.75


def _noisy_windows(rate: float) -> tuple[queue_model.RateWindow, ...]:
    """Returns periods of 50 ms to 5 s at `rate`, each followed by a gap at normal speed."""
    windows = []
    start = NOISY_FROM_S
    for length in _NOISY_LENGTHS_S:
        windows.append(queue_model.RateWindow(start, start + length, rate))
        start += length + _NOISY_GAP_S
    return tuple(windows)


NOISY_WINDOWS = _noisy_windows(0.1)
NOISY_DURATION_S = NOISY_WINDOWS[-1].end + _NOISY_GAP_S
PAUSE = queue_model.RateWindow(2.0, 3.5, 0.0)
COLD_JOIN_S = 2.0


def undisturbed(seed: int) -> queue_model.Scenario:
    """Returns a scenario without faults."""
    return queue_model.Scenario(duration=6.0, seed=seed)


def noisy_neighbour(seed: int) -> queue_model.Scenario:
    """Returns a scenario in which one of five servers is 10 times slower in several periods."""
    return queue_model.Scenario(duration=NOISY_DURATION_S, windows={0: NOISY_WINDOWS}, seed=seed)


def moving_neighbour(seed: int) -> queue_model.Scenario:
    """Returns a scenario in which each slow period affects the next of five servers."""
    windows: dict[int, tuple[queue_model.RateWindow, ...]] = {}
    for index, window in enumerate(NOISY_WINDOWS):
        windows[index % 5] = (*windows.get(index % 5, ()), window)
    return queue_model.Scenario(duration=NOISY_DURATION_S, windows=windows, seed=seed)


def refuse_all(seed: int) -> queue_model.Scenario:
    """Returns a scenario in which one of five servers refuses every call."""
    return queue_model.Scenario(duration=5.0, refusing=frozenset({0}), seed=seed)


def refuse_all_few_calls(seed: int) -> queue_model.Scenario:
    """Returns a scenario of 6 calls/s per node in which one of five servers refuses every call."""
    return queue_model.Scenario(
        duration=60.0, utilisation=0.008, refusing=frozenset({0}), seed=seed
    )


def all_refusing(seed: int) -> queue_model.Scenario:
    """Returns a scenario in which all servers refuse every call."""
    return queue_model.Scenario(duration=3.0, refusing=frozenset(range(5)), seed=seed)


def paused(seed: int) -> queue_model.Scenario:
    """Returns a scenario in which one of five servers is paused for 1.5 s."""
    return queue_model.Scenario(duration=6.0, windows={0: (PAUSE,)}, seed=seed)


def cold_start(seed: int) -> queue_model.Scenario:
    """Returns a scenario in which a fifth server joins cold and warms up over 2 s."""
    windows = tuple(
        queue_model.RateWindow(COLD_JOIN_S + 0.5 * step, COLD_JOIN_S + 0.5 * (step + 1), rate)
        for step, rate in enumerate((0.2, 0.4, 0.6, 0.8))
    )
    return queue_model.Scenario(
        duration=6.0, windows={0: windows}, joins_at={0: COLD_JOIN_S}, seed=seed
    )


def busy(seed: int) -> queue_model.Scenario:
    """Returns a scenario without faults at 90% utilisation, in which herding causes queues."""
    return queue_model.Scenario(duration=6.0, utilisation=0.9, seed=seed)


def mixed_sizes(seed: int) -> queue_model.Scenario:
    """Returns a scenario without faults in which 2% of the calls take 20 times as long."""
    return queue_model.Scenario(duration=6.0, large_share=0.02, seed=seed)


def local_servers(seed: int) -> queue_model.Scenario:
    """Returns a scenario without faults in which each node is adjacent to one server."""
    return queue_model.Scenario(duration=5.0, nodes=5, local=True, seed=seed)
