"""Latencies and outcomes of recorded calls."""

import collections
import dataclasses
from collections.abc import Iterable

from hdrh import histogram

from laburnumford_testkit.caller import record as record_module

_LONGEST_US = 600_000_000
_DIGITS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """Figures over the last requests of calls; latencies from the time a call was due."""

    calls: int
    answered: int
    refused: int
    unknown: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


def summarise(records: Iterable[record_module.Record]) -> Summary:
    """Returns the figures of the calls to which `records` belong."""
    last_by_call: dict[str, record_module.Record] = {}
    for record in records:
        last_by_call[record.call] = record
    latencies = histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)
    counts: collections.Counter[str] = collections.Counter()
    for record in last_by_call.values():
        if record.outcome == "refused":
            counts["refused"] += 1
        elif record.answered is None or record.outcome:
            counts["unknown"] += 1
        else:
            counts["answered"] += 1
            microseconds = int((record.answered - record.due) * 1e6)
            latencies.record_value(max(1, min(_LONGEST_US, microseconds)))
    return Summary(
        calls=len(last_by_call),
        answered=counts["answered"],
        refused=counts["refused"],
        unknown=counts["unknown"],
        p50_ms=latencies.get_value_at_percentile(50) / 1000,
        p99_ms=latencies.get_value_at_percentile(99) / 1000,
        p999_ms=latencies.get_value_at_percentile(99.9) / 1000,
    )
