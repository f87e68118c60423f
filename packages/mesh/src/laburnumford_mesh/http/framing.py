"""Validation of the framing of received requests."""

from collections.abc import Mapping, Sequence

from laburnumford_node.http import errors, fields

_VERSIONS = frozenset({"1.0", "1.1"})


def check(
    version: str,
    method: bytes,
    received: Sequence[fields.Field],
    value_by_name: Mapping[bytes, bytes],
) -> None:
    """Rejects requests whose length or meaning is ambiguous.

    The parser has already rejected duplicate Content-Length fields and Content-Length together
    with Transfer-Encoding.

    Raises:
        BadMessageError: the request is rejected; the error holds the status code of the answer.
    """
    if version not in _VERSIONS:
        raise errors.BadMessageError(505, f"HTTP/{version} is not supported; allowed: 1.0, 1.1")
    if method == b"CONNECT" or b"upgrade" in value_by_name:
        raise errors.BadMessageError(
            501, f"CONNECT and Upgrade are not supported; found method {method!r}"
        )
    hosts = sum(name == b"host" for name, _ in received)
    if hosts > 1 or (hosts == 0 and version == "1.1"):
        raise errors.BadMessageError(400, f"found {hosts} Host fields; allowed: 1")
    codings = [value for name, value in received if name == b"transfer-encoding"]
    if not codings:
        return
    if version != "1.1":
        raise errors.BadMessageError(
            400, f"Transfer-Encoding is not allowed in HTTP/{version}; allowed: 1.1"
        )
    if len(codings) > 1 or codings[0].strip().lower() != b"chunked":
        raise errors.BadMessageError(
            501, f"transfer coding {codings!r} is not supported; allowed: chunked"
        )
