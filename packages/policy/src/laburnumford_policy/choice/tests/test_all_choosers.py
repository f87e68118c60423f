"""Tests of properties that all choosers have in common."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from laburnumford_policy import choice

NAMES = ("a", "b", "c", "d", "e", "f")
RESULTS = tuple(choice.Result)

_names = strategies.sampled_from((*NAMES, "unknown"))
_reports = strategies.none() | strategies.builds(
    choice.LoadReport,
    running=strategies.integers(0, 50),
    queued=strategies.integers(0, 10**9),
    limit=strategies.integers(1, 50),
    service_time_us=strategies.integers(0, 10**12),
)
_candidates = strategies.lists(
    strategies.builds(
        choice.Candidate,
        name=strategies.sampled_from(NAMES),
        one_way_delay_ms=strategies.floats(0, 100),
        slots=strategies.integers(0, 20),
        local=strategies.booleans(),
    ),
    max_size=6,
)
_steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("apply"), _candidates),
        strategies.tuples(strategies.just("choose"), strategies.sets(_names)),
        strategies.tuples(strategies.just("sent"), _names),
        strategies.tuples(
            strategies.just("answer"),
            _names,
            strategies.floats(0, 100),
            _reports,
            strategies.sampled_from(RESULTS),
        ),
        # A negative wait stands for a `now` that was read before another task ran.
        strategies.tuples(strategies.just("wait"), strategies.floats(-100, 100)),
    ),
    max_size=60,
)


@pytest.fixture(params=choice.choosers.names())
def name(request):
    """Returns the name of each registered chooser."""
    return request.param


def create(name, seed=1):
    """Returns a seeded chooser."""
    return choice.choosers.create(name, generator=random.Random(seed))


def state_size(value, seen=None):
    """Returns the number of objects in the containers of a chooser, at any depth."""
    seen = set() if seen is None else seen
    if id(value) in seen:
        return 0
    seen.add(id(value))
    if isinstance(value, dict):
        return sum(1 + state_size(each, seen) for each in value.values())
    if hasattr(value, "__iter__") and not isinstance(value, str | bytes):
        return sum(1 + state_size(each, seen) for each in value)
    fields = list(vars(value).values()) if hasattr(value, "__dict__") else []
    fields += [getattr(value, each) for each in getattr(type(value), "__slots__", ())]
    if isinstance(value, random.Random) or callable(value):
        return 0
    return sum(state_size(each, seen) for each in fields)


def test_all_choosers_are_registered():
    """Guards against a chooser that cannot be selected in the settings."""
    assert choice.choosers.names() == (
        "latency_aware",
        "least_outstanding",
        "peak_ewma",
        "power_of_two",
        "prequal",
        "random",
        "round_robin",
    )


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(steps=_steps)
def test_choices_are_valid_in_any_order_of_events(name, steps):
    """Guards against exceptions, choices of excluded servers and negative counts of calls."""
    chooser = create(name)
    now = 0.0
    applied: set[str] = set()
    for kind, *arguments in steps:
        if kind == "apply":
            chooser.apply(arguments[0], now)
            applied = {each.name for each in arguments[0]}
        elif kind == "choose":
            chosen = chooser.choose(now, arguments[0])
            allowed = applied - arguments[0]
            assert chosen in allowed if allowed else chosen is None
        elif kind == "sent":
            chooser.observe_sent(arguments[0], now)
        elif kind == "answer":
            chooser.observe_answer(arguments[0], now, *arguments[1:])
        else:
            now += arguments[0]
        rows = chooser.explain(now)
        assert [row.name for row in rows] == sorted(applied)
        assert all(row.outstanding >= 0 for row in rows)


def test_state_is_bounded_by_candidates(name):
    """Guards against memory that grows with the number of calls or of removed servers."""
    chooser = create(name)
    report = choice.LoadReport(running=1, queued=0, limit=4, service_time_us=1000)
    sizes = []
    for period in range(4):
        servers = [f"{each}-{period}" for each in NAMES]
        chooser.apply([choice.Candidate(name=each, slots=4) for each in servers], period)
        for step in range(400):
            now = period + step / 1000
            for server in servers:
                chooser.observe_sent(server, now)
                if step % 2:
                    result = RESULTS[step % 4]
                    chooser.observe_answer(server, now, 0.002, report, result)
            chooser.choose(now)
        sizes.append(state_size(chooser))
    assert max(sizes) <= min(sizes) * 1.05
    assert max(sizes) <= 250 * len(NAMES) + 300


def test_same_seed_gives_same_choices(name):
    """Guards against sources of randomness other than the seeded generator."""

    def run():
        chooser = create(name, seed=7)
        chooser.apply([choice.Candidate(name=each, slots=4) for each in NAMES], 0.0)
        chosen = []
        for step in range(50):
            chosen.append(chooser.choose(step / 100))
            chooser.observe_sent(chosen[-1], step / 100)
        return chosen

    assert run() == run()
