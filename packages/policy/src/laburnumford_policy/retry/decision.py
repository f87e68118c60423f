"""Answer of `RetryPolicy.check`."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """Decision about a resend.

    Args:
        resend: whether the call is sent again.
        delay_s: seconds to wait before it is sent.
        reason: why, for traces and counters.
    """

    resend: bool
    delay_s: float
    reason: str
