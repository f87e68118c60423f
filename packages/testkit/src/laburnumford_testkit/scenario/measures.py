"""Compares what callers saw with what a scenario expects."""

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
    """Returns why the expectation does not hold, or an empty text.

    Args:
        expectation: what is expected.
        records: requests of all callers.
        runs: runs of all backend servers.
        began: start of the scenario, seconds of the monotonic clock.
    """
    low, high = began + expectation.begin_s, began + expectation.end_s
    within = [one for one in records if low <= one.due < high]
    found = _measure(expectation.measure, expectation.kind, within, runs)
    if found is None:
        return f"line {expectation.line}: {expectation.text}: no call to measure"
    wanted = ""
    if expectation.above_measure:
        other = _measure(expectation.above_measure, expectation.above_kind, within, runs)
        if other is None:
            return f"line {expectation.line}: {expectation.text}: no call to compare with"
        if found <= other:
            wanted = f"above {other:.2f}"
    elif expectation.lowest is not None and found < expectation.lowest:
        wanted = f"at least {expectation.lowest:g}"
    elif expectation.highest is not None and found > expectation.highest:
        wanted = f"at most {expectation.highest:g}"
    if not wanted:
        return ""
    return f"line {expectation.line}: {expectation.text}: found {found:.2f}; expected {wanted}"


def _measure(
    measure: str,
    kind: str,
    records: Sequence[record_module.Record],
    runs: Iterable[run_module.Run],
) -> float | None:
    chosen = [one for one in records if not kind or one.kind == kind]
    figures = summary.summarise(chosen)
    if not figures.calls or (measure[0] == "p" and not figures.answered):
        return None
    if measure == "runs":
        counts = collections.Counter(run.call_id for run in runs)
        return sum(counts[one.call_id] for one in chosen) / figures.calls
    if measure[0] == "p":
        return {"p50": figures.p50_ms, "p99": figures.p99_ms, "p999": figures.p999_ms}[measure]
    count = {
        "answered": figures.answered,
        "refused": figures.refused,
        "unknown": figures.unknown,
    }[measure]
    return 100 * count / figures.calls
