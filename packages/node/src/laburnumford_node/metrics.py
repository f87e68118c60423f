"""Counters and latency histograms of one node."""

import collections
from collections.abc import Iterable

from hdrh import histogram
from prometheus_client import CollectorRegistry, core, exposition, registry

_LOWEST_LATENCY_US = 1
_HIGHEST_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_QUANTILES = (0.5, 0.99, 0.999)


class Metrics(registry.Collector):
    """Counts answers and resends, records latencies and renders them as metrics.

    Handling a request only increments counters and adds a value to a histogram. Quantiles and
    pages are computed when a page is requested.
    """

    def __init__(self) -> None:
        self._histograms_by_labels: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self.answers_by_labels: collections.Counter[tuple[str, str]] = collections.Counter()
        self.resends_by_labels: collections.Counter[tuple[str, str]] = collections.Counter()
        self.gauges_by_name: dict[str, float] = {}

    def observe_answer(self, service: str, priority: str, result: str, latency_s: float) -> None:
        """Records one answer to a caller.

        Args:
            service: name of the service.
            priority: priority of the call.
            result: ``"answered"``, ``"refused"``, ``"unknown"`` or ``"cancelled"``.
            latency_s: time in seconds from the request to the end of the answer.
        """
        self.answers_by_labels[service, result] += 1
        if result == "answered":
            key = (service, priority)
            recorded = self._histograms_by_labels.get(key)
            if recorded is None:
                recorded = histogram.HdrHistogram(
                    _LOWEST_LATENCY_US, _HIGHEST_LATENCY_US, _SIGNIFICANT_DIGITS
                )
                self._histograms_by_labels[key] = recorded
            recorded.record_value(max(int(latency_s * 1e6), _LOWEST_LATENCY_US))

    def observe_resend(self, service: str, cause: str) -> None:
        """Counts one resend that this node made.

        Args:
            service: name of the service.
            cause: label of the reason why the previous attempt failed, or ``"hedge"``.
        """
        self.resends_by_labels[service, cause] += 1

    def encoded_histograms(self) -> dict[str, str]:
        """Returns the histograms in the encoding of HdrHistogram, so that they can be merged.

        Returns:
            Encoded histogram by ``"service/priority"``; unit: microseconds.
        """
        return {
            f"{service}/{priority}": recorded.encode().decode()
            for (service, priority), recorded in sorted(self._histograms_by_labels.items())
        }

    def snapshot(self) -> dict[str, object]:
        """Returns counters and histograms as a document that can be encoded as JSON."""
        return {
            "answers": _nested_counts(self.answers_by_labels),
            "resends": _nested_counts(self.resends_by_labels),
            "histograms_us": self.encoded_histograms(),
        }

    def collect(self) -> Iterable[core.Metric]:
        """Yields the metrics for the Prometheus text format."""
        answers = core.CounterMetricFamily(
            "laburnumford_answers", "Answers to callers.", labels=["service", "result"]
        )
        for (service, result), count in sorted(self.answers_by_labels.items()):
            answers.add_metric([service, result], count)
        yield answers
        resends = core.CounterMetricFamily(
            "laburnumford_resends", "Resends of the system's own.", labels=["service", "cause"]
        )
        for (service, cause), count in sorted(self.resends_by_labels.items()):
            resends.add_metric([service, cause], count)
        yield resends
        latency = core.GaugeMetricFamily(
            "laburnumford_latency_seconds",
            "Latency of answered calls.",
            labels=["service", "priority", "quantile"],
        )
        for (service, priority), recorded in sorted(self._histograms_by_labels.items()):
            for quantile in _QUANTILES:
                value = recorded.get_value_at_percentile(100 * quantile) / 1e6
                latency.add_metric([service, priority, str(quantile)], value)
        yield latency
        for name, value in sorted(self.gauges_by_name.items()):
            yield core.GaugeMetricFamily(f"laburnumford_{name}", name, value=value)

    def page(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        collectors = CollectorRegistry()
        collectors.register(self)
        return exposition.generate_latest(collectors)


def _nested_counts(counts: collections.Counter[tuple[str, str]]) -> dict[str, dict[str, int]]:
    nested: dict[str, dict[str, int]] = {}
    for (outer, inner), count in sorted(counts.items()):
        nested.setdefault(outer, {})[inner] = count
    return nested
