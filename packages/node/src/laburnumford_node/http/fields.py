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

LABURNUMFORD_PREFIX = b"laburnumford-"


def get(fields: Iterable[Field], name: bytes) -> bytes | None:
    """Returns the value of the first field called `name`, or None."""
    for field_name, value in fields:
        if field_name == name:
            return value
    return None


def connection_options(fields: Iterable[Field]) -> frozenset[bytes]:
    """Returns the lower-case options of all Connection fields."""
    options: set[bytes] = set()
    for name, value in fields:
        if name == b"connection":
            options.update(option.strip().lower() for option in value.split(b","))
    return frozenset(options)


def end_to_end(fields: Sequence[Field]) -> list[Field]:
    """Returns the fields that may be forwarded.

    Drops the hop-by-hop fields, those that Connection names, and the framing
    field Content-Length, which the sender of each hop writes itself.
    """
    dropped = connection_options(fields)
    return [
        field
        for field in fields
        if field[0] not in HOP_BY_HOP and field[0] != b"content-length" and field[0] not in dropped
    ]


def without_laburnumford(fields: Iterable[Field], keep: frozenset[bytes]) -> list[Field]:
    """Returns the fields without the system's own ones, except those in `keep`."""
    return [
        field
        for field in fields
        if not field[0].startswith(LABURNUMFORD_PREFIX) or field[0] in keep
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
