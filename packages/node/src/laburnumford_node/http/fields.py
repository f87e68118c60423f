"""Header fields: hop-by-hop removal, lookup and encoding."""

from collections.abc import Iterable, Sequence

Field = tuple[bytes, bytes]
"""Name in lower case and value."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"transfer-encoding",
        b"upgrade",
        b"http2-settings",
    }
)
"""Fields that describe one connection (RFC 9110, section 7.6.1)."""

_NOT_FORWARDED = HOP_BY_HOP | {b"content-length"}

LABURNUMFORD_PREFIX = b"laburnumford-"

_MAX_INTEGER_DIGITS = 18


def get(fields: Iterable[Field], name: bytes) -> bytes | None:
    """Returns the value of the first field called `name`, or None."""
    for field_name, value in fields:
        if field_name == name:
            return value
    return None


def connection_options(fields: Iterable[Field]) -> frozenset[bytes]:
    """Returns the lower-case options of all Connection fields."""
    values = [value for name, value in fields if name == b"connection"]
    if not values:
        return frozenset()
    return frozenset(option.strip().lower() for value in values for option in value.split(b","))


def forwarded(
    fields: Sequence[Field],
    *,
    keep: frozenset[bytes] = frozenset(),
    drop: frozenset[bytes] = frozenset(),
) -> list[Field]:
    """Returns the fields that are forwarded to the next hop.

    Leaves out the hop-by-hop fields, the fields that Connection names, Content-Length,
    which the sender of each hop writes itself, and this system's header fields.

    Args:
        fields: received fields, names in lower case.
        keep: header fields of this system that are forwarded nevertheless.
        drop: further fields that are left out.
    """
    named = connection_options(fields)
    return [
        field
        for field in fields
        if field[0] not in _NOT_FORWARDED
        and field[0] not in drop
        and field[0] not in named
        and (not field[0].startswith(LABURNUMFORD_PREFIX) or field[0] in keep)
    ]


def encode(start_line: bytes, fields: Iterable[Field]) -> bytes:
    """Returns the encoded start line and header section."""
    lines = [start_line]
    lines.extend([name + b": " + value for name, value in fields])
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of the chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_last_chunk(trailers: Iterable[Field]) -> bytes:
    """Returns the last chunk and the trailer section."""
    return b"0\r\n" + b"".join([n + b": " + v + b"\r\n" for n, v in trailers]) + b"\r\n"


def parse_integer(value: bytes | None) -> int | None:
    """Returns the number that a field value of 1 to 18 decimal digits holds, otherwise None.

    Python refuses to convert more than 4,300 digits, and a larger integer overflows a float.
    """
    if value is None:
        return None
    stripped = value.strip()
    if not stripped.isdigit() or len(stripped) > _MAX_INTEGER_DIGITS:
        return None
    return int(stripped)
