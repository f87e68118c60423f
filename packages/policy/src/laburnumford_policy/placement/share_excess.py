"""Measure by which a request's class, VM or connection is above its share."""

import dataclasses
import enum


class ShareLevel(enum.IntEnum):
    """Level at which a share is exceeded; higher levels are more specific."""

    NONE = 0
    REQUEST_CLASS = 1
    VM = 2
    CONNECTION = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ShareExcess:
    """Result of the comparison of a request's usage with its shares.

    Attributes:
        rank: number of levels from the top at which the usage is not below the share. Requests of a
            lower rank go first.
        level: most specific level at which the share is exceeded.
        usage_s: usage at that level in seconds of work.
        share_s: share at that level in seconds of work.
        retry_after_s: seconds after which the usage has fallen to the share, if nothing more is
            run; 0 below the share.
    """

    rank: int = 0
    level: ShareLevel = ShareLevel.NONE
    usage_s: float = 0.0
    share_s: float = 0.0
    retry_after_s: float = 0.0
