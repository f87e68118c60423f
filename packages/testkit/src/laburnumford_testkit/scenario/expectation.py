"""What must hold in a scenario besides the invariants."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Expectation:
    """One line that starts with `expect`.

    Attributes:
        text: the line.
        line: its number.
        measure: `answered`, `refused` or `unknown` in percent, `p50`, `p99` or `p999` in ms, or
            `runs` per call.
        kind: kind of calls; empty for all.
        lowest: smallest value allowed.
        highest: largest value allowed.
        above_measure: measure that must be lower, if this is a comparison.
        above_kind: kind of that measure.
        begin_s: only calls that were due from this time on count.
        end_s: only calls that were due before this time count.
    """

    text: str
    line: int
    measure: str
    kind: str = ""
    lowest: float | None = None
    highest: float | None = None
    above_measure: str = ""
    above_kind: str = ""
    begin_s: float = 0.0
    end_s: float = float("inf")
