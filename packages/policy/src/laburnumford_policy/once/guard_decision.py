"""Result of `AttemptGuard.check`."""

import dataclasses
import enum


class GuardOutcome(enum.Enum):
    """Whether a request received over a peer connection may run, or why not."""

    RUN = "run"
    STALE_CONNECTION = "stale-connection"
    DEADLINE_EXCEEDED = "deadline"


@dataclasses.dataclass(frozen=True, kw_only=True)
class GuardDecision:
    """Decision about one request received over a peer connection.

    Args:
        outcome: whether the request may run. With any value but `RUN` it did not and will not run.
        remaining_s: time left until its deadline in seconds; 0 unless it may run.
        transit_s: transit delay in seconds, relative to the fastest request so far.
    """

    outcome: GuardOutcome
    remaining_s: float = 0.0
    transit_s: float = 0.0
