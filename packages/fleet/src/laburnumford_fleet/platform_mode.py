"""Modes in which a node reads the platform."""

import enum


class PlatformMode(enum.Enum):
    """Mode in which a node reads versions from the platform.

    Readers watch. A node without a version, or with half of its overlay
    neighbours silent, polls. Other nodes do not read versions.
    """

    WATCH = "watch"
    POLL = "poll"
    OFF = "off"
