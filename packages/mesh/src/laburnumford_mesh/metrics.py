"""Counters and latency histograms in the Prometheus text format."""

import collections

from hdrh import histogram

_MIN_LATENCY_US = 100
"""No answer over the network is faster."""

_MAX_LATENCY_US = 60_000_000
"""Longer than any published timeout."""

_SIGNIFICANT_DIGITS = 2
"""Resolves 1 % and keeps a histogram small."""

_QUANTILES = (0.5, 0.9, 0.99, 0.999)
"""Quantiles of the latency targets."""


class Metrics:
    """Counts events and records latencies."""

    def __init__(self) -> None:
        self._count_by_name: collections.Counter[str] = collections.Counter()
        self._histogram_by_name: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, label: str = "") -> None:
        """Increments a counter.

        Args:
            name: name of the counter.
            label: value of the label `kind`; empty for a counter without it.
        """
        self._count_by_name[f'{name}{{kind="{label}"}}' if label else name] += 1

    def record(self, name: str, label: str, seconds: float) -> None:
        """Records a latency in a histogram.

        Args:
            name: name of the histogram.
            label: value of the label `kind`.
            seconds: the latency.
        """
        key = f"{name}|{label}"
        found = self._histogram_by_name.get(key)
        if found is None:
            found = histogram.HdrHistogram(_MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
            self._histogram_by_name[key] = found
        found.record_value(min(max(int(seconds * 1e6), _MIN_LATENCY_US), _MAX_LATENCY_US))

    def render(self, gauges: dict[str, float]) -> str:
        """Returns all metrics and the given gauges in the Prometheus text format."""
        lines = [f"laburnumford_{name} {value:g}" for name, value in sorted(gauges.items())]
        lines += [
            f"laburnumford_{name} {count}" for name, count in sorted(self._count_by_name.items())
        ]
        for key, found in sorted(self._histogram_by_name.items()):
            name, _, label = key.partition("|")
            for quantile in _QUANTILES:
                value = found.get_value_at_percentile(quantile * 100) / 1e6
                lines.append(
                    f'laburnumford_{name}_seconds{{kind="{label}",quantile="{quantile}"}} {value:g}'
                )
            count = found.get_total_count()
            lines.append(f'laburnumford_{name}_seconds_count{{kind="{label}"}} {count}')
        return "\n".join(lines) + "\n"
