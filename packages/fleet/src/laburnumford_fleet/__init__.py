"""Configuration propagation and membership of laburnumford."""

__all__ = [
    "errors",
    "fleet",
    "member_state",
    "membership",
    "overlay",
    "platform",
    "propagation",
    "readers",
    "version_store",
]
