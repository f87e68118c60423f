"""The operators' command-line client, laburnumford."""

__all__ = [
    "bundle",
    "check",
    "document",
    "errors",
    "explain",
    "folder_values",
    "latency",
    "main",
    "page_reader",
    "span",
    "span_files",
    "status",
    "status_summary",
    "status_tables",
    "terminal",
    "trace",
    "trace_tree",
]
