"""One request on a connection and its answer."""

import asyncio

from laburnumford_testkit import content


class Exchange:
    """Collects the answer to one request and verifies its body as it arrives.

    Args:
        method: method of the request.
        keep_body: whether the body is kept in `body`.

    Attributes:
        status: status of the final answer, 0 until it is known.
        complete: whether the answer has ended without an error.
        received_continue: whether a 100 Continue has arrived.
        self_delimited: whether the answer itself tells where its body ends, instead of the end
            of the connection.
        body_matches: whether the body so far equals the content of the `x-call-id` of the
            answer; stays true if the answer has none.
        ended: done when the answer is complete or has failed.
    """

    def __init__(self, *, method: str, keep_body: bool = False) -> None:
        self.method = method
        self.status = 0
        self.headers: dict[str, str] = {}
        self.trailers: dict[str, str] = {}
        self.body_bytes = 0
        self.body = b""
        self.complete = False
        self.received_continue = False
        self.self_delimited = True
        self.body_matches = True
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._keep_body = keep_body
        self._verifier: content.Verifier | None = None

    @property
    def started(self) -> bool:
        """Whether the status of the final answer is known."""
        return self.status != 0

    def start(self, status: int) -> None:
        """Sets the status when the header section is complete, and begins to verify the body."""
        self.status = status
        if "x-call-id" in self.headers:
            length = self.headers.get("content-length", "")
            self._verifier = content.Verifier(
                seed=self.headers["x-call-id"], length=int(length) if length.isdigit() else None
            )

    def feed(self, data: bytes) -> None:
        """Adds bytes to the body."""
        self.body_bytes += len(data)
        if self._verifier is not None:
            self._verifier.feed(data)
            self.body_matches = self._verifier.matches
        if self._keep_body:
            self.body += data

    def end(self) -> None:
        """Marks the answer as complete."""
        self.complete = True
        if not self.ended.done():
            self.ended.set_result(None)

    def fail(self, error: Exception) -> None:
        """Ends the wait for the answer with an error, because it will not become complete."""
        if not self.ended.done():
            self.ended.set_exception(error)
            self.ended.exception()  # avoids a warning if no task awaits it
