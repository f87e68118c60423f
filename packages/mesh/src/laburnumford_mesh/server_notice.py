"""Parser of the header fields in which a server tells of its trouble or its end."""

import dataclasses
import re
from collections.abc import Iterable

from laburnumford_mesh import wire_names
from laburnumford_node.http import fields

_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")

_LEAVING = b"1"
"""The only allowed value of the field; defined by the platform."""

_MAX_REPORTED_BYTES = 64
"""Bytes of a malformed value that are reported."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerNotice:
    """What an answer says about the server besides its load.

    Attributes:
        rate_limit_per_s: requests per second that the server takes, None if it names no limit.
        limit_malformed: whether the server names a limit that cannot be read.
        leaving: whether the server is about to end.
        cold_remaining_s: seconds until the server is warm, None if it does not say.
        cold_malformed: whether the server states such a time that cannot be read.
        malformed: fields with a value that is not allowed, shortened.
    """

    rate_limit_per_s: float | None = None
    limit_malformed: bool = False
    leaving: bool = False
    malformed: tuple[fields.Field, ...] = ()
    cold_remaining_s: float | None = None
    cold_malformed: bool = False


_NO_NOTICE = ServerNotice()


def parse(head: Iterable[fields.Field], names: wire_names.WireNames) -> ServerNotice:
    """Returns the notice in the header section of an answer.

    Args:
        head: header fields, names in lower case.
        names: header field names.
    """
    limits: list[bytes] = []
    leaving: list[bytes] = []
    cold: list[bytes] = []
    for name, value in head:
        if name == names.rate_limit:
            limits.append(value)
        elif name == names.leaving:
            leaving.append(value)
        elif name == names.cold_remaining:
            cold.append(value)
    if not limits and not leaving and not cold:
        return _NO_NOTICE
    rate_limit_per_s = _parse_rate(limits)
    cold_remaining_s = _parse_number(cold)
    cold_malformed = bool(cold) and cold_remaining_s is None
    limit_malformed = bool(limits) and rate_limit_per_s is None
    malformed: list[fields.Field] = []
    if limit_malformed:
        malformed.append((names.rate_limit, limits[0][:_MAX_REPORTED_BYTES]))
    if leaving and leaving != [_LEAVING]:
        malformed.append((names.leaving, leaving[0][:_MAX_REPORTED_BYTES]))
    if cold_malformed:
        malformed.append((names.cold_remaining, cold[0][:_MAX_REPORTED_BYTES]))
    return ServerNotice(
        rate_limit_per_s,
        limit_malformed,
        leaving == [_LEAVING],
        tuple(malformed),
        cold_remaining_s,
        cold_malformed,
    )


def _parse_rate(values: list[bytes]) -> float | None:
    """Returns the only value as a number greater than 0, otherwise None."""
    return _parse_number(values) or None


def _parse_number(values: list[bytes]) -> float | None:
    """Returns the only value as a number, otherwise None."""
    if len(values) != 1 or not _DECIMAL.fullmatch(values[0].strip()):
        return None
    return float(values[0])
