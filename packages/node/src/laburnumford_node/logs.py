"""Configuration of the log output of the process."""

import json
import logging
import sys
import time

from laburnumford_objects import node_log


class _JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        document = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(record.created)),
            "level": record.levelname.lower(),
            "message": record.getMessage(),
        }
        if record.exc_info:
            document["exception"] = self.formatException(record.exc_info)
        return json.dumps(document)


class _RateLimit(logging.Filter):
    """Drops records above a maximum per second, so that a fault cannot flood the log."""

    def __init__(self, max_lines_per_s: int) -> None:
        super().__init__()
        self._max_lines_per_s = max_lines_per_s
        self._second = 0
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= self._max_lines_per_s


_MAX_LINES_PER_S = 100


def configure(settings: node_log.NodeLog) -> None:
    """Makes the root logger write to standard error with the format and level of the settings."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_RateLimit(_MAX_LINES_PER_S))
    if settings.format == "json":
        handler.setFormatter(_JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
