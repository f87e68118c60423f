"""Record of what was sent, answered and run."""

import json
import pathlib
import time
from typing import Any


class Record:
    """Collects events and writes them to a file, one JSON object a line.

    Args:
        path: file that is replaced.

    Attributes:
        events: all events in their order.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self.events: list[dict[str, Any]] = []

    def now(self) -> float:
        """Returns the seconds since the start of the record."""
        return time.monotonic() - self._began_s

    def write(self, event: str, **values: Any) -> float:
        """Writes an event and returns its time."""
        at_s = round(self.now(), 4)
        line = {"t": at_s, "event": event, **values}
        self.events.append(line)
        self._file.write(json.dumps(line) + "\n")
        return at_s

    def close(self) -> None:
        """Closes the file."""
        self._file.close()

    def find(self, event: str, **values: Any) -> list[dict[str, Any]]:
        """Returns the events of a name whose fields have the given values."""
        return [
            line
            for line in self.events
            if line["event"] == event
            and all(line.get(name) == value for name, value in values.items())
        ]
