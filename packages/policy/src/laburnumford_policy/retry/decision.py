"""Decision about a resend, returned by `RetryPolicy.check` and `HedgePolicy.check`."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """Decision whether a further attempt of a call is sent.

    Args:
        resend: whether a further attempt is sent.
        delay_s: seconds to wait before it is sent, or before a hedge that is too early is
            checked again.
        reason: reason of the decision, for traces and counters.
    """

    resend: bool
    delay_s: float
    reason: str
