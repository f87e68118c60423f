"""How a node reads the platform."""

import enum


class PlatformMode(enum.Enum):
    """Readers watch; a node without answering neighbours polls; others do not read."""

    WATCH = "watch"
    POLL = "poll"
    OFF = "off"
