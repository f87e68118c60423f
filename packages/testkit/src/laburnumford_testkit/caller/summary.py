"""Latency percentiles and outcome counts of recorded calls."""

import collections
import dataclasses
from collections.abc import Iterable

from hdrh import histogram

from laburnumford_testkit.caller import record as record_module

_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """Latencies and outcomes of calls.

    The last request of a call gives its outcome. Latencies count from the time at which the call
    was due, and only for answered calls.

    Attributes:
        calls: number of calls.
        answered: calls with an answer that has no `laburnumford-outcome`.
        refused: calls with the outcome `refused`.
        unknown: all other calls.
        p50_ms: median latency in milliseconds.
        p99_ms: 99th percentile of the latency in milliseconds.
        p999_ms: 99.9th percentile of the latency in milliseconds.
    """

    calls: int
    answered: int
    refused: int
    unknown: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


def summarise(records: Iterable[record_module.Record]) -> Summary:
    """Returns the summary of the calls to which `records` belong."""
    last_by_call: dict[str, record_module.Record] = {}
    for record in records:
        last_by_call[record.call] = record
    latencies = histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    count_by_outcome: collections.Counter[str] = collections.Counter()
    for record in last_by_call.values():
        if record.outcome == "refused":
            count_by_outcome["refused"] += 1
        elif record.answered is None or record.outcome:
            count_by_outcome["unknown"] += 1
        else:
            count_by_outcome["answered"] += 1
            microseconds = int((record.answered - record.due) * 1e6)
            latencies.record_value(max(1, min(_MAX_LATENCY_US, microseconds)))
    return Summary(
        calls=len(last_by_call),
        answered=count_by_outcome["answered"],
        refused=count_by_outcome["refused"],
        unknown=count_by_outcome["unknown"],
        p50_ms=latencies.get_value_at_percentile(50) / 1000,
        p99_ms=latencies.get_value_at_percentile(99) / 1000,
        p999_ms=latencies.get_value_at_percentile(99.9) / 1000,
    )
