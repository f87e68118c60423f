"""A load of a scenario."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimedLoad:
    """Calls of one kind for some time, in seconds after the start of the scenario.

    Attributes:
        kind: kind of the calls.
        rate_per_s: mean arrivals per second.
        begin_s: start of the load.
        end_s: end of the load.
        through: nodes that take the calls; empty for all.
    """

    kind: str
    rate_per_s: float
    begin_s: float
    end_s: float
    through: tuple[str, ...] = ()
