"""A violation of an invariant."""

import dataclasses

from laburnumford_testkit.judge import invariant as invariant_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """One violation of an invariant.

    Attributes:
        invariant: the invariant that is violated.
        subject: the call, idempotency key, server or node that violates it.
        message: the value found and the value allowed.
    """

    invariant: invariant_module.Invariant
    subject: str
    message: str

    def __str__(self) -> str:
        """Returns the finding on one line."""
        return f"{self.invariant.value} {self.subject}: {self.message}"
