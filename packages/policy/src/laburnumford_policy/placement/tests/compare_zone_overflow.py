"""Prints the comparison of `test_zone_overflow_comparison` for several loads, means over seeds.

Run with ``python -m laburnumford_policy.placement.tests.compare_zone_overflow``; takes minutes.
"""

import sys

from laburnumford_policy.placement.tests import test_zone_overflow_comparison as comparison

_SEEDS = (1, 2, 3, 4, 5)
_RESPONSE_BYTES = (500, 4_000, 20_000)
_LOADS = (0.65, 0.85, 1.05)


def main():
    """Prints one line for each size, load and choice."""
    for response_bytes in _RESPONSE_BYTES:
        for load in _LOADS:
            for overflow in (False, True):
                figures = [
                    comparison.Model(
                        seed, overflow=overflow, load=load, response_bytes=response_bytes
                    )
                    .run()
                    .figures()
                    for seed in _SEEDS
                ]
                means = {
                    name: round(sum(each[name] for each in figures) / len(figures), 4)
                    for name in figures[0]
                }
                sys.stdout.write(f"{response_bytes=} {load=} {overflow=} {means}\n")


if __name__ == "__main__":
    main()
