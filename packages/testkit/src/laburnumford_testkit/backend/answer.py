"""Answers of a fake backend server."""

import dataclasses
import hashlib
import http
from collections.abc import Iterator

from laburnumford_testkit import content

_BODYLESS_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """An answer whose body is derived from `seed`, or given as `body`.

    Attributes:
        status: HTTP status.
        headers: header fields besides those for framing and for closing.
        seed: id from which the body is derived, if `body` is None.
        length: length in bytes of a derived body.
        body: the body itself; None derives it from `seed`.
        chunked: whether the body is sent in the chunked transfer coding.
        trailers: whether a trailer section holds the digest of the body; needs `chunked`.
        is_head: whether the answer is to a HEAD request and so has no body.
        close: whether the answer announces that the connection closes.
    """

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    seed: str = ""
    length: int = 0
    body: bytes | None = None
    chunked: bool = False
    trailers: bool = False
    is_head: bool = False
    close: bool = False

    @property
    def has_body(self) -> bool:
        """Whether a body follows the header section."""
        return not self.is_head and self.status not in _BODYLESS_STATUSES and self.status >= 200

    @property
    def body_length(self) -> int:
        """Length of the body in bytes, also if it is not sent because the request was HEAD."""
        return self.length if self.body is None else len(self.body)

    def parts(self) -> Iterator[bytes]:
        """Yields the answer in parts; the first has the header section and the first block."""
        first = self._header_section()
        if not self.has_body:
            yield first
            return
        digest = hashlib.blake2b(digest_size=content.DIGEST_BYTES)
        for block in self._blocks():
            if self.trailers:
                digest.update(block)
            if self.chunked:
                yield b"%s%x\r\n%s\r\n" % (first, len(block), block)
            else:
                yield first + block
            first = b""
        if self.chunked:
            trailer = f"x-answer-digest: {digest.hexdigest()}\r\n" if self.trailers else ""
            yield first + f"0\r\n{trailer}\r\n".encode()
        elif first:
            yield first

    def _header_section(self) -> bytes:
        reason = http.HTTPStatus(self.status).phrase
        lines = [f"HTTP/1.1 {self.status} {reason}"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        if self.chunked and self.status not in _BODYLESS_STATUSES:
            lines.append("transfer-encoding: chunked")
            if self.trailers:
                lines.append("trailer: x-answer-digest")
        elif self.status not in _BODYLESS_STATUSES:
            lines.append(f"content-length: {self.body_length}")
        if self.close:
            lines.append("connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _blocks(self) -> Iterator[bytes]:
        if self.body is not None:
            if self.body:
                yield self.body
            return
        full, rest = divmod(self.length, content.BLOCK_BYTES)
        for index in range(full):
            yield content.block(self.seed, index)
        if rest:
            yield content.block(self.seed, full, rest)
