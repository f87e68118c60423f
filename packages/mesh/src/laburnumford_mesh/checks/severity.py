"""Severity of a finding."""

import enum


class Severity(enum.StrEnum):
    """States whether a configuration with a finding may be published."""

    ERROR = "error"
    """Nodes reject the value, or do not serve some requests as the configuration states."""

    WARNING = "warning"
    """Nodes use the value, but it is probably a mistake."""
