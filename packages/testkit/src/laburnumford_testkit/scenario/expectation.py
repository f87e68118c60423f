"""Expected result of a scenario, checked besides the invariants."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Expectation:
    """One line that starts with `expect`.

    Attributes:
        text: text of the line without its comment.
        line: line number in the file.
        measure: `answered`, `refused` or `unknown` in percent, `p50`, `p99` or `p999` in ms, or
            `runs` per call.
        kind: kind of calls; empty for all kinds.
        lowest: smallest value allowed.
        highest: largest value allowed.
        above_measure: measure that must be lower than `measure`; empty if there is no comparison.
        above_kind: kind of calls of `above_measure`.
        begin_s: calls due before this time do not count; seconds after the start of the scenario.
        end_s: calls due at or after this time do not count; seconds after the start of the scenario.
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
