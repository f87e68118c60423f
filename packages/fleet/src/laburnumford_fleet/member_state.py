"""State of a server in the membership view."""

import enum


class MemberState(enum.Enum):
    """State of a server as this node knows it; only a live server takes new requests."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    ABSENT = "absent"
