"""Causes of additional attempts."""

import enum


class Cause(enum.Enum):
    """Why an additional attempt of a call is sent. All causes share one budget."""

    RETRY = "retry"
    HEDGE = "hedge"
    REDIRECT = "redirect"
