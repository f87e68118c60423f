"""One direction of a proxied connection."""

import asyncio
import random
import time
from collections.abc import Callable

from laburnumford_testkit.faultproxy import faults as faults_module

_MAX_CHUNK_BYTES = 65536
_MAX_QUEUED_CHUNKS = 64  # of at most 64 KiB each, so at most 4 MiB per direction
_THROTTLE_STEP_S = 0.01  # longest step in which bytes are written under a bandwidth limit


class ConnectionTerminatedError(Exception):
    """A fault, or the reset of one of its sides, ends a proxied connection.

    Args:
        reset: whether both sides are reset; otherwise they are closed normally.
    """

    def __init__(self, *, reset: bool) -> None:
        super().__init__("reset" if reset else "truncated")
        self.reset = reset


class Pipe:
    """Copies bytes from a reader to a writer under faults.

    Args:
        reader: side from which bytes are read.
        writer: side to which bytes are written.
        faults: returns the faults in force.
        changed: returns the event that is set at the next change of the faults.
        generator: random generator for jitter.
        on_chunk: called with each chunk when it is read; None for no call.

    Attributes:
        delivered_bytes: bytes written so far.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        faults: Callable[[], faults_module.DirectionFaults],
        changed: Callable[[], asyncio.Event],
        generator: random.Random,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> None:
        self.delivered_bytes = 0
        self._reader = reader
        self._writer = writer
        self._faults = faults
        self._changed = changed
        self._generator = generator
        self._on_chunk = on_chunk
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_MAX_QUEUED_CHUNKS)
        self._lost_bytes = False

    async def read(self) -> None:
        """Reads and queues chunks, each with the time at which it is due, until the reader ends."""
        last_due = 0.0
        data = b"start"
        while data:
            try:
                data = await self._reader.read(_MAX_CHUNK_BYTES)
            except ConnectionError:
                raise ConnectionTerminatedError(reset=True) from None
            if data and self._on_chunk is not None:
                self._on_chunk(data)
            faults = self._faults()
            delay_s = faults.delay_s + self._generator.random() * faults.jitter_s
            last_due = max(last_due, time.monotonic() + delay_s)
            await self._queue.put((last_due, data))

    async def write(self) -> None:
        """Writes the queued chunks and then the end of the stream, unless a blackhole drops it."""
        while True:
            due, data = await self._queue.get()
            delay_s = due - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            while self._faults().pause:
                await self._changed().wait()
            if not data:
                if self._faults().blackhole:
                    # A blackhole also drops the end of the stream.
                    self._lost_bytes = True
                    return
                try:
                    self._writer.write_eof()
                except OSError as error:
                    # The receiving side has reset the connection in the meantime.
                    raise ConnectionTerminatedError(reset=True) from error
                return
            await self._deliver(data)

    async def reset_after_blackhole(self) -> None:
        """Resets the connection when a blackhole in which it lost bytes has ended."""
        while not (self._lost_bytes and not self._faults().blackhole):
            await self._changed().wait()
        raise ConnectionTerminatedError(reset=True)

    async def _deliver(self, data: bytes) -> None:
        position = 0
        while position < len(data):
            faults = self._faults()
            if faults.blackhole:
                self._lost_bytes = True
                return
            take = len(data) - position
            if faults.bytes_per_s is not None:
                take = min(take, max(1, int(faults.bytes_per_s * _THROTTLE_STEP_S)))
                await asyncio.sleep(take / faults.bytes_per_s)
            for limit in (faults.reset_after, faults.truncate_after):
                if limit is not None:
                    take = min(take, max(0, limit - self.delivered_bytes))
            self._writer.write(data[position : position + take])
            try:
                await self._writer.drain()
            except ConnectionError:
                raise ConnectionTerminatedError(reset=True) from None
            position += take
            self.delivered_bytes += take
            if faults.reset_after is not None and self.delivered_bytes >= faults.reset_after:
                raise ConnectionTerminatedError(reset=True)
            if faults.truncate_after is not None and self.delivered_bytes >= faults.truncate_after:
                raise ConnectionTerminatedError(reset=False)
