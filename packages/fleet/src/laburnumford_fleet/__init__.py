"""Configuration spread and membership of laburnumford."""

__all__ = [
    "errors",
    "fleet",
    "membership",
    "overlay",
    "platform",
    "readers",
    "spread",
    "standing",
    "version_store",
]
