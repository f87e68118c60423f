"""States of a server in the reports that nodes exchange."""

import enum


class ReportState(enum.IntEnum):
    """State that a report gives for a server."""

    LIVE = 0
    LEAVING = 1
    SILENT = 2
    # The platform's list shows the VM as leaving. An answer to a node's own call or a later start
    # of the server's node takes precedence.
    LISTED_LEAVING = 3
