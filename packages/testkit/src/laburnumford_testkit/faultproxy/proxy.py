"""Proxy between a caller and a target."""

import asyncio
import contextlib
import random
import socket
import struct
import time
from collections.abc import Callable

from laburnumford_testkit import listening
from laburnumford_testkit.faultproxy import _pipe
from laburnumford_testkit.faultproxy import faults as faults_module

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with timeout 0 sends RST instead of FIN
_CONNECT_TIMEOUT_S = 5.0
_DUPLICATE_CHUNKS = 1024  # bound of the bytes kept for a delayed second connection, in chunks


class FaultProxy:
    """Relays TCP connections to a target, under faults that can change at any time.

    Args:
        target: `ip:port` of the target.
        generator: source of jitter.
        host: IP to listen on.
        port: port to listen on; 0 picks a free one.
        identify: returns the name of the caller at an IP and port, or None if it is unknown;
            faults can then be set by caller.
    """

    def __init__(
        self,
        *,
        target: str,
        generator: random.Random,
        host: str = "127.0.0.1",
        port: int = 0,
        identify: Callable[[tuple[str, int]], str | None] | None = None,
    ) -> None:
        self.target = target
        self.address = ""
        self.connections = 0
        self.duplicates = 0
        self.cuts = 0
        self._generator = generator
        self._host = host
        self._port = port
        self._identify = identify
        self._faults = faults_module.Faults()
        self._faults_by_source: dict[str, faults_module.Faults] = {}
        self._changed = asyncio.Event()
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def faults(self) -> faults_module.Faults:
        """The faults in force."""
        return self._faults

    def set_faults(self, faults: faults_module.Faults, source: str | None = None) -> None:
        """Replaces the faults of open and of new connections.

        Args:
            faults: the faults in force from now on.
            source: name of a caller to which they apply instead of the general ones; None sets
                the general ones.
        """
        if source is None:
            self._faults = faults
        else:
            self._faults_by_source[source] = faults
        self._wake()

    def clear_sources(self) -> None:
        """Removes all faults that were set by caller."""
        self._faults_by_source.clear()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _faults_of(self, source: str | None) -> faults_module.Faults:
        return self._faults if source is None else self._faults_by_source.get(source, self._faults)

    async def start(self) -> None:
        """Starts to listen; `address` then holds `ip:port`."""
        bound = listening.bind(self._port, self._host)
        self.address = f"{self._host}:{bound.getsockname()[1]}"
        self._listener = await asyncio.start_server(self._accept, sock=bound, backlog=512)

    async def reset_connections(self) -> None:
        """Ends all open connections and goes on listening."""
        open_now = list(self._tasks)
        for task in open_now:
            task.cancel()
        await asyncio.gather(*open_now, return_exceptions=True)

    async def close(self) -> None:
        """Stops to listen and closes all connections."""
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def __aenter__(self) -> "FaultProxy":
        """Starts the proxy."""
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes the proxy."""
        await self.close()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        source = None
        if self._identify is not None:
            source = self._identify(writer.get_extra_info("peername"))
        if self._faults_of(source).refuse:
            _reset(writer)
            return
        target: asyncio.StreamWriter | None = None
        try:
            try:
                target_reader, target = await self._connect()
            except (OSError, TimeoutError):
                _reset(writer)
                return
            await self._relay(reader, writer, target_reader, target, source)
        except* _pipe.CutError as group:
            self.cuts += 1
            if any(
                isinstance(error, _pipe.CutError) and error.reset for error in group.exceptions
            ):
                _reset(writer)
                if target is not None:
                    _reset(target)
        finally:
            writer.close()
            if target is not None:
                target.close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.target.rpartition(":")
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            return await asyncio.open_connection(host, int(port))

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target_reader: asyncio.StreamReader,
        target: asyncio.StreamWriter,
        source: str | None,
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_DUPLICATE_CHUNKS)
        copy = None
        if self._faults_of(source).duplicate:

            def copy(data: bytes) -> None:
                with contextlib.suppress(asyncio.QueueFull):
                    delay_s = self._faults_of(source).duplicate_delay_s
                    chunks.put_nowait((time.monotonic() + delay_s, data))

        up = _pipe.Pipe(
            reader=reader,
            writer=target,
            faults=lambda: self._faults_of(source).to_target,
            changed=lambda: self._changed,
            generator=self._generator,
            copy=copy,
        )
        down = _pipe.Pipe(
            reader=target_reader,
            writer=writer,
            faults=lambda: self._faults_of(source).to_caller,
            changed=lambda: self._changed,
            generator=self._generator,
        )
        async with asyncio.TaskGroup() as group:
            watches = [group.create_task(pipe.watch()) for pipe in (up, down)]
            pumps = [group.create_task(up.read()), group.create_task(up.write())]
            pumps += [group.create_task(down.read()), group.create_task(down.write())]
            if copy is not None:
                watches.append(group.create_task(self._duplicate(chunks)))
            await asyncio.gather(*pumps)
            await self._hold_blackhole(source)
            for task in watches:
                task.cancel()

    async def _hold_blackhole(self, source: str | None) -> None:
        """Keeps the sockets open while a blackhole swallows their end."""
        while (
            self._faults_of(source).to_target.blackhole
            or self._faults_of(source).to_caller.blackhole
        ):
            await self._changed.wait()

    async def _duplicate(self, chunks: asyncio.Queue[tuple[float, bytes]]) -> None:
        """Sends the bytes of a connection to the target once more."""
        try:
            reader, writer = await self._connect()
        except (OSError, TimeoutError):
            return
        self.duplicates += 1
        dropping = asyncio.create_task(_drop(reader))
        try:
            while True:
                due, data = await chunks.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            dropping.cancel()
            writer.close()


async def _drop(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(ConnectionError):
        while await reader.read(65536):
            pass


def _reset(writer: asyncio.StreamWriter) -> None:
    raw: socket.socket = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
