"""Answer of `AttemptGuard.check`."""

import dataclasses
import enum


class GuardOutcome(enum.Enum):
    """Whether a request that came over a peer connection may run."""

    RUN = "run"
    STALE_CONNECTION = "stale-connection"
    DEADLINE_EXCEEDED = "deadline"


@dataclasses.dataclass(frozen=True, kw_only=True)
class GuardVerdict:
    """Decision about one request.

    Args:
        outcome: whether the request may run. Anything but `RUN` did not and will not run.
        remaining_s: seconds left until its deadline; 0 unless it may run.
        transit_s: seconds between sending and receiving, above the fastest seen.
    """

    outcome: GuardOutcome
    remaining_s: float = 0.0
    transit_s: float = 0.0
