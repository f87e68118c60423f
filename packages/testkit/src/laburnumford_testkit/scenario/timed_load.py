"""A load during an interval of a scenario."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimedLoad:
    """Calls of one kind during an interval.

    Attributes:
        kind: kind of the calls.
        rate_per_s: mean arrivals per second.
        begin_s: start of the load, in seconds after the start of the scenario.
        end_s: end of the load, in seconds after the start of the scenario.
        entry_nodes: names of the nodes that receive the calls; empty for all nodes.
    """

    kind: str
    rate_per_s: float
    begin_s: float
    end_s: float
    entry_nodes: tuple[str, ...] = ()
