"""A request as a fake backend server receives it."""

import asyncio
import hashlib

from laburnumford_testkit import content


class Request:
    """Collects the parts of one request.

    Only the bodies of admin requests are kept in memory. Any other body is hashed as it arrives,
    so that memory use does not grow with its size, which may be hundreds of MB.
    """

    def __init__(self) -> None:
        self.method = ""
        self.target = ""
        self.headers: dict[str, str] = {}
        self.keep_alive = True
        self.body_bytes = 0
        self.admin_body = b""
        self.complete = False
        self._digest = hashlib.blake2b(digest_size=content.DIGEST_BYTES)
        self._waiter: asyncio.Future[None] | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def is_admin(self) -> bool:
        """Whether the request is for the admin interface, which only tests use."""
        return self.target.startswith("/admin/")

    @property
    def body_digest(self) -> str:
        """Digest of the body bytes received so far; bodies of admin requests are left out."""
        return self._digest.hexdigest()

    def numeric_header(self, name: str, default: float) -> float:
        """Returns the value of a header as a number; `default` if it is absent or not a number."""
        try:
            return float(self.headers.get(name, default))
        except ValueError:
            return default

    def feed_body(self, data: bytes) -> None:
        """Adds bytes to the body."""
        self.body_bytes += len(data)
        if self.is_admin:
            self.admin_body += data
        else:
            self._digest.update(data)

    def end(self) -> None:
        """Marks the request as complete and ends `wait_complete`."""
        self.complete = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def wait_complete(self) -> None:
        """Waits until the body is complete; the loss of the connection cancels the wait."""
        if not self.complete:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
