"""Event about a request, with the conditions that explain it."""

import dataclasses
from typing import Any

from laburnumford_client import event_values


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One event about a request, with the conditions that explain it.

    Attributes:
        event: the logged event.
        start_s: Unix time at which the reported work began.
        hedge: whether an earlier attempt had not ended when this one began.
        causes: event and meaning of each condition in effect.
    """

    event: dict[str, Any]
    start_s: float
    hedge: bool
    causes: tuple[tuple[dict[str, Any], str], ...]

    @property
    def name(self) -> str:
        """Name of the event."""
        return str(self.event["event"])

    @property
    def reason(self) -> str:
        """Reason why the step gave no answer of a server, or an empty string."""
        return next(
            (
                event_values.text(self.event, name)
                for name in ("refused", "unknown", "reason")
                if self.event.get(name) is not None
            ),
            "",
        )

    @property
    def server(self) -> str:
        """Id of the server, or an empty string."""
        return event_values.text(self.event, "server")

    def to_json(self, from_s: float) -> dict[str, Any]:
        """Returns the step as a JSON object.

        Args:
            from_s: Unix time at which the request arrived.
        """
        return {
            "node": event_values.text(self.event, "node"),
            "event": self.name,
            "start_ms": round((self.start_s - from_s) * 1000, 1),
            "end_ms": round((float(self.event["time"]) - from_s) * 1000, 1),
            "hedge": self.hedge,
            "figures": event_values.figures(self.event),
            "causes": [{"text": text, **event} for event, text in self.causes],
        }
