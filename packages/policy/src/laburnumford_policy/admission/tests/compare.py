"""Compares limiters and queue orders in the server model and prints a table.

Usage: python -m laburnumford_policy.admission.tests.compare [seed ...]
"""

import functools
import statistics
import sys

from laburnumford_policy.admission import limiter as limiters
from laburnumford_policy.admission.tests import server_model

_slow = functools.partial(server_model.Scenario, slow_from_s=5.0, slow_until_s=15.0, length_s=30.0)
SCENARIOS = {
    "slow-shared": _slow(),
    "slow-shared-6": _slow(slots=6),
    "slow-latency": _slow(kind="latency"),
    "slow-hung-100x": _slow(slowdown=100.0, cancel_at_deadline=True),
    "overload-2x": server_model.Scenario(load=2.0),
    "overload-2x-wide": server_model.Scenario(load=2.0, spread=1.0),
    "overload-2x-mixed": server_model.Scenario(
        load=2.0, work_by_priority={"upload": 8.0, "statement": 4.0}
    ),
}
# "in time" is the goodput and "work" the actual work of the answers in time, both as a share of
# the capacity. "slow" is the share of answers in time during the slowdown, "least" the lowest
# limit, "back s" the recovery time and "lookup" the share of lookups answered in time.
_COLUMNS = (
    "in time",
    "work",
    "slow",
    "late",
    "dropped",
    "p50 ms",
    "p99 ms",
    "least",
    "back s",
    "lookup",
)


def measure(scenario, seed, **parameters):
    """Returns the figures of one run, in the order of `_COLUMNS`."""
    outcomes = server_model.Model(scenario, seed, **parameters).run()
    slow_s = min(scenario.slow_until_s, scenario.length_s) - min(
        scenario.slow_from_s, scenario.length_s
    )
    slow_capacity = slow_s * scenario.slots / server_model.MEAN_SERVICE_S / scenario.slowdown
    return (
        outcomes.goodput(scenario),
        outcomes.work_share(scenario),
        outcomes.in_time_while_slow / slow_capacity if slow_s else 0.0,
        outcomes.late,
        outcomes.dropped,
        outcomes.lookup_quantile_s(0.5) * 1000,
        outcomes.lookup_quantile_s(0.99) * 1000,
        min(limit for _, limit in outcomes.limits),
        outcomes.recovery_s(scenario) if slow_s else 0.0,
        outcomes.in_time["lookup"] / outcomes.arrived["lookup"],
    )


def main(seeds):
    """Prints the mean of each figure over the seeds, for each limiter and queue order."""
    heading = "".join(f"{name:>9}" for name in _COLUMNS)
    for name, scenario in SCENARIOS.items():
        sys.stdout.write(f"{name:34}{heading}\n")
        for limiter in limiters.limiters.names():
            for newest_first in (False, True):
                rows = [
                    measure(scenario, seed, limiter_name=limiter, newest_first=newest_first)
                    for seed in seeds
                ]
                means = [statistics.fmean(column) for column in zip(*rows, strict=True)]
                order = "newest first" if newest_first else "oldest first"
                figures = "".join(f"{mean:9.3f}" for mean in means)
                sys.stdout.write(f"  {limiter:18}{order:14}{figures}\n")


if __name__ == "__main__":
    main([int(seed) for seed in sys.argv[1:]] or [1, 2, 3])
