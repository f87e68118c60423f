"""Standing of a server in the membership view."""

import enum


class MemberState(enum.Enum):
    """Whether a server takes new work, as far as this node knows."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    ABSENT = "absent"
