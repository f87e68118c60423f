"""Budget of additional attempts of one service."""

import math

from laburnumford_policy.admission import parameters
from laburnumford_policy.retry import _bucket, cause

_LEVELS = 18
# Product over all levels; leaves a margin below the promised 1.2.
_MAX_AMPLIFICATION = 1.19


class RetryBudget:
    """Bounds retries, hedges and redirects of one service to a share of its calls.

    Every additional attempt takes a token that the calls earn. One that may repeat work
    (no proof that the first did not run) multiplies the calls at all levels below, so it
    also takes a token of a smaller bucket: half the share for calls from outside, and
    for deeper calls a share so small that 18 levels together stay below an amplification
    of 1.2.

    Args:
        share: additional attempts as a share of calls; 0 allows none.
        minimum_per_s: attempts a second that are allowed if the share of the calls is less;
            half of them may repeat work.
        burst: tokens that can be saved up.

    Raises:
        ParameterError: a parameter lies outside its range.
    """

    _TABLE = {
        "share": parameters.Range(lowest=0.0, highest=1.0),
        "minimum_per_s": parameters.Range(lowest=0.0),
        "burst": parameters.Range(lowest=1.0),
    }

    def __init__(
        self, *, share: float = 0.1, minimum_per_s: float = 0.1, burst: float = 10.0
    ) -> None:
        parameters.check(
            "retry budget",
            self._TABLE,
            {"share": share, "minimum_per_s": minimum_per_s, "burst": burst},
        )
        self._enabled = share > 0.0
        self._all = _bucket.Bucket(share=share, rate_per_s=minimum_per_s, burst=burst)
        self._repeats = _bucket.Bucket(share=share / 2, rate_per_s=minimum_per_s / 2, burst=burst)
        # A minimum rate here would break the bound for services with few calls.
        self._deep_repeats = _bucket.Bucket(share=deep_share(share), rate_per_s=0.0, burst=burst)
        self._admitted_by_cause = dict.fromkeys(cause.Cause, 0)
        self._denied_by_cause = dict.fromkeys(cause.Cause, 0)

    def observe_call(self, now: float) -> None:
        """Counts one call, once and not for its resends."""
        for bucket in (self._all, self._repeats, self._deep_repeats):
            bucket.earn_call(now)

    def admit(
        self, cause: cause.Cause, now: float, *, repeats_work: bool = False, depth: int = 0
    ) -> bool:
        """Takes the tokens of one additional attempt, if there are any.

        Args:
            cause: why the call is sent again.
            now: monotonic time in seconds.
            repeats_work: whether the first attempt can have run.
            depth: levels of calls above this one.
        """
        needed = [self._all]
        if repeats_work:
            needed.append(self._repeats if depth == 0 else self._deep_repeats)
        for bucket in needed:
            bucket.earn_time(now)
        if not self._enabled or not all(bucket.covers_one() for bucket in needed):
            self._denied_by_cause[cause] += 1
            return False
        for bucket in needed:
            bucket.spend_one()
        self._admitted_by_cause[cause] += 1
        return True

    @property
    def admitted_by_cause(self) -> dict[cause.Cause, int]:
        """Number of attempts admitted since start, by cause."""
        return dict(self._admitted_by_cause)

    @property
    def denied_by_cause(self) -> dict[cause.Cause, int]:
        """Number of attempts denied since start, by cause."""
        return dict(self._denied_by_cause)


def deep_share(share: float) -> float:
    """Returns the share of deep calls that may repeat work.

    The worst case is that every level repeats work up to its share and the deepest level
    refuses with proof up to the full share:
    ``(1 + share / 2) * (1 + deep) ** 16 * (1 + share) <= 1.19``.
    """
    rest = _MAX_AMPLIFICATION / ((1.0 + share) * (1.0 + share / 2))
    return max(0.0, math.pow(rest, 1.0 / (_LEVELS - 2)) - 1.0)
