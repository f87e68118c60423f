"""Checks of the framing of received requests."""

from collections.abc import Mapping, Sequence

from laburnumford_node.http import errors, fields

_VERSIONS = frozenset({"1.0", "1.1"})


def check(
    version: str,
    method: bytes,
    received: Sequence[fields.Field],
    value_by_name: Mapping[bytes, bytes],
) -> None:
    """Refuses requests whose end or meaning is ambiguous.

    The parser has refused duplicate lengths and a length beside a transfer coding.

    Raises:
        BadMessageError: carries the status for the caller.
    """
    if version not in _VERSIONS:
        raise errors.BadMessageError(505, f"HTTP/{version} is not supported; allowed: 1.0, 1.1")
    if method == b"CONNECT" or b"upgrade" in value_by_name:
        raise errors.BadMessageError(501, "Upgrade and CONNECT are not supported")
    hosts = sum(name == b"host" for name, _ in received)
    if hosts > 1 or (hosts == 0 and version == "1.1"):
        raise errors.BadMessageError(400, f"found {hosts} Host fields; allowed: 1")
    codings = [value for name, value in received if name == b"transfer-encoding"]
    if not codings:
        return
    if version != "1.1":
        raise errors.BadMessageError(400, "Transfer-Encoding needs HTTP/1.1")
    if len(codings) > 1 or codings[0].strip().lower() != b"chunked":
        raise errors.BadMessageError(
            501, f"transfer coding {codings!r} is not supported; allowed: chunked"
        )
