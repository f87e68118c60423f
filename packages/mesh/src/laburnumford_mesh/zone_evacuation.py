"""Published evacuation of an availability zone."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ZoneEvacuation:
    """Says that nothing may be sent to the servers of a zone.

    Attributes:
        zone: name of the availability zone.
    """

    zone: str
