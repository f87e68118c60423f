"""Result of a request that held a slot."""

import enum


class Result(enum.Enum):
    """How a request that held a slot has ended.

    Has the members of `laburnumford_policy.choice.result.Result`.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
