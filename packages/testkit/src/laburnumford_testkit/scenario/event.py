"""A fault or change at a given time of a scenario."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One line that starts with `at`.

    Attributes:
        action: name of the action in the registry of actions.
        line: line number in the file.
        begin_s: start of the action, in seconds after the start of the scenario.
        end_s: end of the fault, in seconds after the start of the scenario; None if the fault lasts
            until the scenario ends.
        target_names: names of the servers that the action affects, or whose nodes it affects.
        other_side_names: names of the servers on the other side of a partition.
        magnitude: factor or seconds of the action.
        share: share of the requests that are affected.
        one_way: whether a partition blocks only what the first side sends.
    """

    action: str
    line: int
    begin_s: float
    end_s: float | None = None
    target_names: tuple[str, ...] = ()
    other_side_names: tuple[str, ...] = ()
    magnitude: float = 0.0
    share: float = 1.0
    one_way: bool = False
