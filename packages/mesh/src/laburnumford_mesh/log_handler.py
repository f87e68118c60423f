"""Bridge from the standard `logging` module to the structured log."""

import logging

from laburnumford_mesh import event_log

_EVENT = "logged"


class EventLogHandler(logging.Handler):
    """Writes log records, for example those of asyncio about uncaught errors, as events.

    Args:
        log: structured log.
    """

    def __init__(self, log: event_log.EventLog) -> None:
        super().__init__()
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one record with the end of its traceback."""
        values = {
            "logger": record.name,
            "level": record.levelname.lower(),
            "message": record.getMessage(),
        }
        error = record.exc_info[1] if record.exc_info else None
        if error is None:
            self._log.write(_EVENT, **values)
        else:
            self._log.write_failure(_EVENT, error, **values)
