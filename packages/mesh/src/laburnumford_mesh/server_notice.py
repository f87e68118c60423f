"""Parser of the header fields in which a server tells of its trouble."""

import dataclasses
import re
from collections.abc import Iterable

from laburnumford_mesh import wire_names
from laburnumford_node.http import fields

_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

_MAX_REPORTED_BYTES = 64
"""Bytes of a malformed value that are reported."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotice:
    """What an answer says about the server besides its load.

    Attributes:
        rate_limit_per_s: requests per second that the server takes, None if it names no limit.
        limit_malformed: whether the server names a limit that cannot be read.
        malformed: fields with a value that is not allowed, shortened.
    """

    rate_limit_per_s: float | None = None
    limit_malformed: bool = False
    malformed: tuple[fields.Field, ...] = ()


_NO_NOTICE = ServerNotice()


def parse(head: Iterable[fields.Field], names: wire_names.WireNames) -> ServerNotice:
    """Returns the notice in the header section of an answer.

    Args:
        head: header fields, names in lower case.
        names: header field names.
    """
    limits = [value for name, value in head if name == names.rate_limit]
    if not limits:
        return _NO_NOTICE
    rate_limit_per_s = _parse_rate(limits)
    if rate_limit_per_s is not None:
        return ServerNotice(rate_limit_per_s=rate_limit_per_s)
    shortened = limits[0][:_MAX_REPORTED_BYTES]
    return ServerNotice(limit_malformed=True, malformed=((names.rate_limit, shortened),))


def _parse_rate(values: list[bytes]) -> float | None:
    """Returns the only value as a number greater than 0, otherwise None."""
    if len(values) != 1 or not _DECIMAL.fullmatch(values[0].strip()):
        return None
    rate_per_s = float(values[0])
    return rate_per_s if rate_per_s > 0 else None
