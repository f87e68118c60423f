"""States of a server in reports between nodes."""

import enum


class ReportState(enum.IntEnum):
    """What a report says about a server."""

    LIVE = 0
    LEAVING = 1
    SILENT = 2
    # The platform's list shows the VM as leaving; own calls and a later start outvote it.
    LISTED_LEAVING = 3
