"""Base class of incoming and outgoing connections."""

import asyncio
from typing import cast

from laburnumford_node.http import _read_buffer, errors, fields

_WRITE_HIGH_WATER_BYTES = 32 * 1024
_MAX_FIELDS = 256


class Connection(asyncio.BufferedProtocol):
    """Holds the transport of one connection and controls its flow."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        self._write_paused = False
        self._lost = False
        self._fields: list[fields.Field] = []
        self._trailers: list[fields.Field] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the high-water mark of its send buffer."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Returns the shared read buffer."""
        return _read_buffer.READ_BUFFER

    def eof_received(self) -> bool:
        """Closes the connection: a peer that closed its sending side is treated as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Makes `drain` wait."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Lets `drain` return."""
        self._write_paused = False
        self._wake_drain()

    def pause_reading(self) -> None:
        """Stops reading from the socket."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resumes reading from the socket."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    async def drain(self) -> None:
        """Waits until the send buffer is below its high-water mark, or the connection is lost."""
        if not self._write_paused or self._lost:
            return
        self._drain_waiter = asyncio.get_running_loop().create_future()
        try:
            await self._drain_waiter
        finally:
            self._drain_waiter = None

    def _collect_field(self, name: bytes, value: bytes, *, trailer: bool, status: int) -> None:
        """Adds a field of the message being parsed.

        Raises:
            BadMessageError: there are too many fields; has `status`.
        """
        if len(self._fields) + len(self._trailers) >= _MAX_FIELDS:
            raise errors.BadMessageError(status, f"more than {_MAX_FIELDS} header fields")
        collected = self._trailers if trailer else self._fields
        collected.append((name.lower(), value))

    def _wake_drain(self) -> None:
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)
