"""Budget that bounds the additional attempts of one service."""

import math

from laburnumford_policy.admission import parameters
from laburnumford_policy.retry import _bucket, cause

# Deepest chain of nested calls for which the amplification is bounded.
_MAX_CALL_LEVELS = 18
# Bound of the amplification over all levels, with a margin below the guaranteed 1.2.
_MAX_AMPLIFICATION = 1.19


class RetryBudget:
    """Bounds retries, hedges and redirects of one service to a share of its calls.

    Calls add tokens, and every additional attempt takes one. An attempt that may repeat work
    (there is no proof that the first one did not run) multiplies the calls at all levels
    below, so it also takes a token of a second, smaller bucket. The share of that bucket is
    half of `share` for calls from outside. For nested calls it is so small that a chain of 18
    levels stays below an amplification of 1.2.

    Args:
        share: additional attempts as a share of calls; 0 allows none.
        minimum_per_s: additional attempts per second that are allowed even if the share of
            the calls is less; half of them may repeat work.
        burst: largest number of unused tokens that are kept.

    Raises:
        ParameterError: a parameter lies outside its range.
    """

    _PARAMETER_RANGES = {
        "share": parameters.Range(lowest=0.0, highest=1.0),
        "minimum_per_s": parameters.Range(lowest=0.0),
        "burst": parameters.Range(lowest=1.0),
    }

    def __init__(
        self, *, share: float = 0.1, minimum_per_s: float = 0.1, burst: float = 10.0
    ) -> None:
        parameters.check(
            "retry budget",
            self._PARAMETER_RANGES,
            {"share": share, "minimum_per_s": minimum_per_s, "burst": burst},
        )
        self._enabled = share > 0.0
        self._all_attempts = _bucket.TokenBucket(
            tokens_per_call=share, min_tokens_per_s=minimum_per_s, burst=burst
        )
        self._top_level_repeats = _bucket.TokenBucket(
            tokens_per_call=share / 2, min_tokens_per_s=minimum_per_s / 2, burst=burst
        )
        # A minimum rate here would exceed the bound for services with few calls.
        self._nested_repeats = _bucket.TokenBucket(
            tokens_per_call=nested_repeat_share(share), min_tokens_per_s=0.0, burst=burst
        )
        self._admitted_by_cause = dict.fromkeys(cause.Cause, 0)
        self._denied_by_cause = dict.fromkeys(cause.Cause, 0)

    def observe_call(self, now: float) -> None:
        """Adds the tokens of one call; called once per call and not for its resends."""
        for bucket in (self._all_attempts, self._top_level_repeats, self._nested_repeats):
            bucket.add_for_call(now)

    def admit(
        self, cause: cause.Cause, now: float, *, may_repeat_work: bool = False, depth: int = 0
    ) -> bool:
        """Takes the tokens of one additional attempt if all buckets concerned have one.

        Args:
            cause: why the attempt is sent.
            now: monotonic time in seconds.
            may_repeat_work: whether an earlier attempt may have run.
            depth: number of calls above this one in the chain of nested calls.

        Returns:
            Whether the attempt may be sent.
        """
        needed = [self._all_attempts]
        if may_repeat_work:
            needed.append(self._top_level_repeats if depth == 0 else self._nested_repeats)
        for bucket in needed:
            bucket.add_for_time(now)
        if not self._enabled or not all(bucket.has_token() for bucket in needed):
            self._denied_by_cause[cause] += 1
            return False
        for bucket in needed:
            bucket.take_token()
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


def nested_repeat_share(share: float) -> float:
    """Returns the share of nested calls whose resends may repeat work.

    In the worst case every level repeats work up to its share and the deepest level refuses
    with proof up to the full share:
    ``(1 + share / 2) * (1 + nested) ** 16 * (1 + share) <= 1.19``.
    """
    remaining_factor = _MAX_AMPLIFICATION / ((1.0 + share) * (1.0 + share / 2))
    return max(0.0, math.pow(remaining_factor, 1.0 / (_MAX_CALL_LEVELS - 2)) - 1.0)
