"""A request as it arrives at a backend server stand-in."""

import asyncio
import hashlib

from laburnumford_testkit import content


class Request:
    """Collects the parts of one request.

    The body is digested as it arrives and kept only for admin requests, so
    that bodies of hundreds of MB need no memory.
    """

    def __init__(self) -> None:
        self.method = ""
        self.target = ""
        self.headers: dict[str, str] = {}
        self.keep_alive = True
        self.body_bytes = 0
        self.kept_body = b""
        self.complete = False
        self._digest = hashlib.blake2b(digest_size=content.DIGEST_BYTES)
        self._waiter: asyncio.Future[None] | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def is_admin(self) -> bool:
        """Whether a test, not a caller, sent the request."""
        return self.target.startswith("/admin/")

    @property
    def body_digest(self) -> str:
        """Digest of the body so far."""
        return self._digest.hexdigest()

    def number(self, name: str, default: float) -> float:
        """Returns the value of a numeric header, or `default` if it is absent or no number."""
        try:
            return float(self.headers.get(name, default))
        except ValueError:
            return default

    def feed_body(self, data: bytes) -> None:
        """Adds bytes of the body."""
        self.body_bytes += len(data)
        if self.is_admin:
            self.kept_body += data
        else:
            self._digest.update(data)

    def end(self) -> None:
        """Marks the request as complete."""
        self.complete = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait_complete(self) -> None:
        """Waits until the body is complete; ends by cancellation if the connection is lost."""
        if not self.complete:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
