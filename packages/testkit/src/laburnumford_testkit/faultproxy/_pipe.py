"""One direction of a proxied connection."""

import asyncio
import random
import time
from collections.abc import Callable

from laburnumford_testkit.faultproxy import faults as faults_module

_CHUNK_BYTES = 65536
_QUEUED_CHUNKS = 64  # with chunks of 64 KiB, 4 MiB in flight per direction
_STEP_S = 0.01  # longest delivery at once under a bandwidth limit


class CutError(Exception):
    """A fault ends the connection."""

    def __init__(self, *, reset: bool) -> None:
        super().__init__("reset" if reset else "truncated")
        self.reset = reset


class Pipe:
    """Copies bytes from a reader to a writer under faults.

    Args:
        reader: source.
        writer: sink.
        faults: returns the faults in force.
        changed: returns the event that is set at the next change of the faults.
        generator: source of jitter.
        copy: gets each chunk when it is read, or None.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        faults: Callable[[], faults_module.DirectionFaults],
        changed: Callable[[], asyncio.Event],
        generator: random.Random,
        copy: Callable[[bytes], None] | None = None,
    ) -> None:
        self.delivered = 0
        self._reader = reader
        self._writer = writer
        self._faults = faults
        self._changed = changed
        self._generator = generator
        self._copy = copy
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_QUEUED_CHUNKS)
        self._lost_bytes = False

    async def read(self) -> None:
        """Reads until the source ends."""
        last_due = 0.0
        data = b"start"
        while data:
            try:
                data = await self._reader.read(_CHUNK_BYTES)
            except ConnectionError:
                raise CutError(reset=True) from None
            if data and self._copy is not None:
                self._copy(data)
            faults = self._faults()
            delay_s = faults.delay_s + self._generator.random() * faults.jitter_s
            last_due = max(last_due, time.monotonic() + delay_s)
            await self._queue.put((last_due, data))

    async def write(self) -> None:
        """Delivers until the source has ended; then ends the sink in order."""
        while True:
            due, data = await self._queue.get()
            delay_s = due - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            while self._faults().pause:
                await self._changed().wait()
            if not data:
                if self._faults().blackhole:
                    # The end of the stream is lost as well.
                    self._lost_bytes = True
                    return
                try:
                    self._writer.write_eof()
                except OSError as error:
                    # The receiver has reset the connection in the meantime.
                    raise CutError(reset=True) from error
                return
            await self._deliver(data)

    async def watch(self) -> None:
        """Waits until the connection has lost bytes and the blackhole has ended."""
        while not (self._lost_bytes and not self._faults().blackhole):
            await self._changed().wait()
        raise CutError(reset=True)

    async def _deliver(self, data: bytes) -> None:
        position = 0
        while position < len(data):
            faults = self._faults()
            if faults.blackhole:
                self._lost_bytes = True
                return
            take = len(data) - position
            if faults.bytes_per_s is not None:
                take = min(take, max(1, int(faults.bytes_per_s * _STEP_S)))
                await asyncio.sleep(take / faults.bytes_per_s)
            for limit in (faults.reset_after, faults.truncate_after):
                if limit is not None:
                    take = min(take, max(0, limit - self.delivered))
            self._writer.write(data[position : position + take])
            try:
                await self._writer.drain()
            except ConnectionError:
                raise CutError(reset=True) from None
            position += take
            self.delivered += take
            if faults.reset_after is not None and self.delivered >= faults.reset_after:
                raise CutError(reset=True)
            if faults.truncate_after is not None and self.delivered >= faults.truncate_after:
                raise CutError(reset=False)
