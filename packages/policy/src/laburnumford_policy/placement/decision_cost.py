"""Measures the time of a choice with and without the decision to leave the zone.

Run with ``python -m laburnumford_policy.placement.decision_cost``.
"""

import random
import statistics
import sys
import time

from laburnumford_policy.placement import link_budget, placement, server_view, zone_overflow

_CHOICES = 200
"""Choices in each round; both kinds of choice alternate, so that other load affects both."""

_ROUNDS = 40
_SLOTS = 4
_CHOICES_PER_S = 100.0
"""Rate on the simulated clock, so that every tenth choice updates the share."""


def _make_placement(zones: int, servers: int, *, overflow: bool) -> placement.Placement:
    generator = random.Random(1)
    decision = zone_overflow.ZoneOverflow(
        own_zone="0", generator=generator, link=link_budget.LinkBudget(link_mbps=100)
    )
    made = placement.Placement(generator=generator, overflow=decision if overflow else None)
    made.apply(
        server_view.ServerView(
            server_id=str(index),
            round_trip_s=0.0003,
            other_zone=bool(index % zones),
            slots=_SLOTS,
            zone=str(index % zones),
        )
        for index in range(servers)
    )
    return made


def _report(made: placement.Placement, now: float, own_running: int) -> None:
    for view in made.views_by_id.values():
        view.observe_load(
            now=now,
            sequence=int(now * 1000),
            running=1 if view.other_zone else own_running,
            waiting=0,
            concurrency_limit=_SLOTS,
            slowness=1.0,
            slowness_age_s=0.0,
            slow_for_s=0.0,
        )


def _measure_us(made: placement.Placement, start_s: float) -> float:
    started = time.perf_counter()
    for index in range(_CHOICES):
        made.choose(start_s + index / _CHOICES_PER_S, "k", 0.05, 0)
    return (time.perf_counter() - started) / _CHOICES * 1e6


def main() -> None:
    """Prints the median time of a choice in microseconds for several fleets."""
    for zones, servers in ((1, 17), (3, 17), (3, 200), (12, 1000)):
        for name, own_running in (("room", 1), ("full", 6)):
            without = _make_placement(zones, servers, overflow=False)
            with_decision = _make_placement(zones, servers, overflow=True)
            times_us: tuple[list[float], list[float]] = ([], [])
            for index in range(_ROUNDS):
                now = 100.0 + index * 3.0
                for made, found_us in zip((without, with_decision), times_us, strict=True):
                    _report(made, now, own_running)
                    found_us.append(_measure_us(made, now))
            medians = [statistics.median(each) for each in times_us]
            sys.stdout.write(
                f"zones={zones} servers={servers} own zone={name}: "
                f"without {medians[0]:.1f} us, with {medians[1]:.1f} us\n"
            )


if __name__ == "__main__":
    main()
