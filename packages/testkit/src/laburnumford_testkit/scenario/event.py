"""A fault or a change at a time of a scenario."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One line that starts with `at`.

    Attributes:
        action: name of the action in the registry of actions.
        line: line of the file.
        begin_s: seconds after the start of the scenario.
        end_s: when the fault ends; None for at the end of the scenario.
        names: servers, nodes or zones that are meant.
        others: the other side of a partition.
        number: factor, seconds or share that the action takes.
        share: share of the requests that are affected.
        one_way: whether a partition holds only what the first side sends.
    """

    action: str
    line: int
    begin_s: float
    end_s: float | None = None
    names: tuple[str, ...] = ()
    others: tuple[str, ...] = ()
    number: float = 0.0
    share: float = 1.0
    one_way: bool = False
