"""A violation of an invariant."""

import dataclasses

from laburnumford_testkit.judge import invariant as invariant_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
    """One violation.

    Attributes:
        invariant: what does not hold.
        subject: call, key, server or node that the finding is about.
        message: what was seen and what was allowed.
    """

    invariant: invariant_module.Invariant
    subject: str
    message: str

    def __str__(self) -> str:
        """Returns the finding on one line."""
        return f"{self.invariant.value} {self.subject}: {self.message}"
