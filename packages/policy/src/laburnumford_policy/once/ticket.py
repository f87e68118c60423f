"""Tickets: idempotency keys that nodes issue."""

import dataclasses
import re

from laburnumford_policy.once import errors

# Node names may contain dots, so the fields after the name are matched from the end.
_TICKET_FORMAT = re.compile(
    r"lf1\.(?P<node>[A-Za-z0-9._-]{1,128})\.(?P<incarnation>[0-9a-f]{16})"
    r"\.(?P<issued_ms>0|[1-9][0-9]{0,15})\.(?P<sequence>0|[1-9][0-9]{0,15})"
    r"\.(?P<mac>[0-9a-f]{32})"
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticket:
    """The fields of a ticket.

    Args:
        node: name of the node that issued the ticket, its owner.
        incarnation: random 64-bit number that the owner chooses when it starts.
        issued_ms: time of issue on the owner's monotonic clock in milliseconds.
        sequence: number of the ticket within the incarnation.
        mac: keyed BLAKE2b of the other fields, 16 bytes.
    """

    node: str
    incarnation: int
    issued_ms: int
    sequence: int
    mac: bytes

    @property
    def signed_text(self) -> str:
        """The text of the ticket without its MAC, which the MAC authenticates."""
        return f"lf1.{self.node}.{self.incarnation:016x}.{self.issued_ms}.{self.sequence}"

    @property
    def text(self) -> str:
        """The ticket as it is sent in ``idempotency-key``."""
        return f"{self.signed_text}.{self.mac.hex()}"


def parse(text: str) -> Ticket:
    """Parses a ticket without checking its MAC.

    Raises:
        TicketFormatError: the text is not a ticket.
    """
    match = _TICKET_FORMAT.fullmatch(text)
    if match is None:
        raise errors.TicketFormatError(
            f"idempotency key {text[:200]!r} is not a ticket; allowed: "
            "lf1.<node>.<incarnation>.<issued_ms>.<sequence>.<mac>"
        )
    return Ticket(
        node=match["node"],
        incarnation=int(match["incarnation"], 16),
        issued_ms=int(match["issued_ms"]),
        sequence=int(match["sequence"]),
        mac=bytes.fromhex(match["mac"]),
    )
