"""Model of a policy."""

from typing import Literal

from laburnumford_objects import _model
from laburnumford_objects import measuring as measuring_limits

Priority = Literal["lookup", "booking", "upload", "statement"]
IdempotencyKey = Literal["required", "optional"]


class Policy(_model.Model):
    """Time limit, priority, retries and other limits of the requests of a route.

    With `extends`, the fields that this policy sets override those of the named policy, and the
    other fields are taken from it.
    """

    name: _model.Name = _model.described_field("Name of the policy.")
    extends: _model.Name | None = _model.described_field(
        "Name of the policy from which the fields that this one does not set are taken.",
        default=None,
    )
    timeout_ms: int = _model.described_field(
        "Maximum time until the answer is complete.", "ms", ge=1, le=3_600_000, default=1000
    )
    priority: Priority = _model.described_field(
        "Priority of the requests in admission.", default="lookup"
    )
    idempotent: bool | None = _model.described_field(
        "Whether a request may run more than once; determined by its method if null.", default=None
    )
    idempotency_key: IdempotencyKey = _model.described_field(
        "Whether a request must carry a ticket.", default="optional"
    )
    # The amplification of calls must not exceed 1.2 at any depth of nested calls, so resends are
    # at most 0.2 of the calls.
    retry_share: float = _model.described_field(
        "Maximum number of retries, hedges and redirects as a share of the calls.",
        ge=0,
        le=0.2,
        default=0.1,
    )
    max_resends: int = _model.described_field(
        "Maximum number of resends of a call over all levels of nested calls.",
        "resends",
        ge=0,
        le=2,
        default=2,
    )
    hedge: bool = _model.described_field(
        "Whether a second attempt may start before the first has failed.", default=False
    )
    queue_limit: int = _model.described_field(
        "Maximum number of requests that wait at a backend server.",
        "requests",
        ge=0,
        le=1000,
        default=16,
    )
    grace_s: float = _model.described_field(
        "Time that a draining server has to finish its requests.", "s", ge=0, le=3600, default=30.0
    )
    measuring: measuring_limits.MeasuringLimits = _model.described_field(
        "Limits on measuring a backend server.", default=measuring_limits.MeasuringLimits()
    )
