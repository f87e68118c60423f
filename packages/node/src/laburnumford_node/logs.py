"""Log output of the process."""

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
    """Bounds the number of lines per second, so that a fault cannot flood the log."""

    def __init__(self, lines_per_s: int) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._second = 0
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= self._lines_per_s


_LINES_PER_S = 100


def configure(settings: node_log.NodeLog) -> None:
    """Sends the log of all parts to standard error in the format of the settings."""
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_RateLimit(_LINES_PER_S))
    if settings.format == "json":
        handler.setFormatter(_JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(message)s"))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
