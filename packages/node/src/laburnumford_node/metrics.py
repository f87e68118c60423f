"""Counters and latency histograms of one node."""

import collections
from collections.abc import Iterable

from hdrh import histogram
from prometheus_client import CollectorRegistry, core, exposition, registry

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 3
_QUANTILES = (0.5, 0.99, 0.999)


class Metrics(registry.Collector):
    """Collects figures as plain integers and renders them on demand.

    The hot path only adds to integers and records to a histogram; everything
    else happens when the page is read.
    """

    def __init__(self) -> None:
        self._histograms_by_key: dict[tuple[str, str], histogram.HdrHistogram] = {}
        self.answers_by_key: collections.Counter[tuple[str, str]] = collections.Counter()
        self.resends_by_key: collections.Counter[tuple[str, str]] = collections.Counter()
        self.gauges_by_name: dict[str, float] = {}

    def observe_answer(self, service: str, priority: str, result: str, latency_s: float) -> None:
        """Records one answer to a caller.

        Args:
            service: name of the service.
            priority: priority of the call.
            result: ``"answered"``, ``"refused"``, ``"unknown"`` or ``"cancelled"``.
            latency_s: time from the request to the end of the answer.
        """
        self.answers_by_key[service, result] += 1
        if result == "answered":
            key = (service, priority)
            recorded = self._histograms_by_key.get(key)
            if recorded is None:
                recorded = histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
                self._histograms_by_key[key] = recorded
            recorded.record_value(max(int(latency_s * 1e6), _LOWEST_US))

    def observe_resend(self, service: str, cause: str) -> None:
        """Counts one resend of the system's own."""
        self.resends_by_key[service, cause] += 1

    def encoded_histograms(self) -> dict[str, str]:
        """Returns the histograms in the library's own encoding, for merging.

        Returns:
            Encoded histogram by ``"service/priority"``; unit: microseconds.
        """
        return {
            f"{service}/{priority}": recorded.encode().decode()
            for (service, priority), recorded in sorted(self._histograms_by_key.items())
        }

    def snapshot(self) -> dict[str, object]:
        """Returns the counters as a JSON-ready document."""
        return {
            "answers": _nested(self.answers_by_key),
            "resends": _nested(self.resends_by_key),
            "histograms_us": self.encoded_histograms(),
        }

    def collect(self) -> Iterable[core.Metric]:
        """Returns the metrics for the Prometheus text page."""
        answers = core.CounterMetricFamily(
            "laburnumford_answers", "Answers to callers.", labels=["service", "result"]
        )
        for (service, result), count in sorted(self.answers_by_key.items()):
            answers.add_metric([service, result], count)
        yield answers
        resends = core.CounterMetricFamily(
            "laburnumford_resends", "Resends of the system's own.", labels=["service", "cause"]
        )
        for (service, cause), count in sorted(self.resends_by_key.items()):
            resends.add_metric([service, cause], count)
        yield resends
        latency = core.GaugeMetricFamily(
            "laburnumford_latency_seconds",
            "Latency of answered calls.",
            labels=["service", "priority", "quantile"],
        )
        for (service, priority), recorded in sorted(self._histograms_by_key.items()):
            for quantile in _QUANTILES:
                value = recorded.get_value_at_percentile(100 * quantile) / 1e6
                latency.add_metric([service, priority, str(quantile)], value)
        yield latency
        for name, value in sorted(self.gauges_by_name.items()):
            yield core.GaugeMetricFamily(f"laburnumford_{name}", name, value=value)

    def page(self) -> bytes:
        """Returns the page in the Prometheus text format."""
        collectors = CollectorRegistry()
        collectors.register(self)
        return exposition.generate_latest(collectors)


def _nested(counts: collections.Counter[tuple[str, str]]) -> dict[str, dict[str, int]]:
    nested: dict[str, dict[str, int]] = {}
    for (outer, inner), count in sorted(counts.items()):
        nested.setdefault(outer, {})[inner] = count
    return nested
