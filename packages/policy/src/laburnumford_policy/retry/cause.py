"""Causes of additional attempts."""

import enum


class Cause(enum.Enum):
    """Why a call is sent more than once. All causes share one budget."""

    RETRY = "retry"
    HEDGE = "hedge"
    REDIRECT = "redirect"
