"""Compares the records of callers with the expectations of a scenario."""

import collections
from collections.abc import Iterable, Sequence

from laburnumford_testkit.backend import run as run_module
from laburnumford_testkit.caller import record as record_module
from laburnumford_testkit.caller import summary
from laburnumford_testkit.scenario import expectation as expectation_module


def check(
    expectation: expectation_module.Expectation,
    records: Sequence[record_module.Record],
    runs: Iterable[run_module.Run],
    began: float,
) -> str:
    """Returns why an expectation is not met, or an empty string.

    Args:
        expectation: expected result.
        records: requests of all callers.
        runs: runs of all backend servers.
        began: start of the scenario, seconds of the monotonic clock.
    """
    window_begin, window_end = began + expectation.begin_s, began + expectation.end_s
    records_in_window = [one for one in records if window_begin <= one.due < window_end]
    measured = _measure(expectation.measure, expectation.kind, records_in_window, runs)
    if measured is None:
        return f"line {expectation.line}: {expectation.text}: no call to measure"
    violated_bound = ""
    if expectation.above_measure:
        compared = _measure(
            expectation.above_measure, expectation.above_kind, records_in_window, runs
        )
        if compared is None:
            return f"line {expectation.line}: {expectation.text}: no call to compare with"
        if measured <= compared:
            violated_bound = f"above {compared:.2f}"
    elif expectation.lowest is not None and measured < expectation.lowest:
        violated_bound = f"at least {expectation.lowest:g}"
    elif expectation.highest is not None and measured > expectation.highest:
        violated_bound = f"at most {expectation.highest:g}"
    if not violated_bound:
        return ""
    return f"line {expectation.line}: {expectation.text}: found {measured:.2f}; expected {violated_bound}"


def _measure(
    measure: str,
    kind: str,
    records: Sequence[record_module.Record],
    runs: Iterable[run_module.Run],
) -> float | None:
    chosen = [one for one in records if not kind or one.kind == kind]
    call_summary = summary.summarise(chosen)
    if not call_summary.calls or (measure[0] == "p" and not call_summary.answered):
        return None
    if measure == "runs":
        counts = collections.Counter(run.call_id for run in runs)
        return sum(counts[one.call_id] for one in chosen) / call_summary.calls
    if measure[0] == "p":
        return {
            "p50": call_summary.p50_ms,
            "p99": call_summary.p99_ms,
            "p999": call_summary.p999_ms,
        }[measure]
    count = {
        "answered": call_summary.answered,
        "refused": call_summary.refused,
        "unknown": call_summary.unknown,
    }[measure]
    return 100 * count / call_summary.calls
