"""The operators' command-line client, laburnumford."""

__all__ = [
    "bundle",
    "check",
    "errors",
    "folder_values",
    "main",
]
