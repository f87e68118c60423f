"""One request on a connection and its answer."""

import asyncio

from laburnumford_testkit import content


class Exchange:
    """Collects the answer to one request, and verifies its bytes as they arrive.

    Args:
        method: method of the request.
        keep: whether the body is kept.
    """

    def __init__(self, *, method: str, keep: bool = False) -> None:
        self.method = method
        self.status = 0
        self.headers: dict[str, str] = {}
        self.trailers: dict[str, str] = {}
        self.body_bytes = 0
        self.body = b""
        self.whole = False
        self.continued = False
        self.framed = True
        self.matches = True
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._keep = keep
        self._verifier: content.Verifier | None = None

    @property
    def started(self) -> bool:
        """Whether the status of the final answer is known."""
        return self.status != 0

    def start(self, status: int) -> None:
        """Sets the status after the header section."""
        self.status = status
        if "x-call-id" in self.headers:
            length = self.headers.get("content-length", "")
            self._verifier = content.Verifier(
                seed=self.headers["x-call-id"], length=int(length) if length.isdigit() else None
            )

    def feed(self, data: bytes) -> None:
        """Adds bytes of the body."""
        self.body_bytes += len(data)
        if self._verifier is not None:
            self._verifier.feed(data)
            self.matches = self._verifier.matches
        if self._keep:
            self.body += data

    def end(self) -> None:
        """Marks the answer as whole."""
        self.whole = True
        if not self.ended.done():
            self.ended.set_result(None)

    def break_off(self, error: Exception) -> None:
        """Ends the wait for an answer that will not become whole."""
        if not self.ended.done():
            self.ended.set_exception(error)
            self.ended.exception()  # marks it as retrieved when nobody waits any more
