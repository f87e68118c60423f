"""Policies."""

from typing import Literal

from laburnumford_objects import _model
from laburnumford_objects import measuring as measuring_budget

Priority = Literal["lookup", "booking", "upload", "statement"]
IdempotencyKey = Literal["required", "optional"]


class Policy(_model.Model):
    """Deadline, priority, retries and limits of the requests of a route.

    With `extends`, the fields that this policy sets override those of the named policy, and the
    other fields are taken from it.
    """

    name: _model.Name = _model.declared("Name of the policy.")
    extends: _model.Name | None = _model.declared(
        "Name of the policy whose fields apply where this one sets none.", default=None
    )
    timeout_ms: int = _model.declared(
        "Longest time until the answer ends.", "ms", ge=1, le=3_600_000, default=1000
    )
    priority: Priority = _model.declared("Order of admission.", default="lookup")
    idempotent: bool | None = _model.declared(
        "Whether a request may run twice; by its method if null.", default=None
    )
    idempotency_key: IdempotencyKey = _model.declared(
        "Whether a request needs a ticket.", default="optional"
    )
    # Amplification is at most 1.2 at any depth, so resends are at most 0.2 of the calls.
    retry_share: float = _model.declared(
        "Retries, hedges and redirects as a share of the calls.", ge=0, le=0.2, default=0.1
    )
    max_resends: int = _model.declared(
        "Resends of a call over all levels.", "resends", ge=0, le=2, default=2
    )
    hedge: bool = _model.declared(
        "Whether a second attempt may start before the first has failed.", default=False
    )
    queue_limit: int = _model.declared(
        "Requests that wait at a backend server.", "requests", ge=0, le=1000, default=16
    )
    grace_s: float = _model.declared(
        "Time that a leaving server has to finish requests.", "s", ge=0, le=3600, default=30.0
    )
    measuring: measuring_budget.Measuring = _model.declared(
        "Budget for measuring a backend server.", default=measuring_budget.Measuring()
    )
