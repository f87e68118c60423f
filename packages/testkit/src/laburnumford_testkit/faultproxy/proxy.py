"""TCP proxy between callers and a target."""

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
_MAX_DUPLICATE_CHUNKS = 1024  # kept for a delayed second connection; further ones are dropped


class FaultProxy:
    """Relays TCP connections to a target and injects faults, which can change at any time.

    Args:
        target: `ip:port` of the target.
        generator: random generator for jitter.
        host: IP to listen on.
        port: port to listen on; 0 picks a free one.
        identify_source: returns the name of the caller at an IP and port, or None if it is
            unknown. Allows faults that apply to one caller only.

    Attributes:
        address: `ip:port` on which the proxy listens; empty before `start`.
        accepted_connections: number of connections accepted so far.
        duplicate_connections: number of second connections opened by the fault `duplicate`.
        terminated_connections: number of connections that ended early, by a fault or by the
            reset of one of their sides.
    """

    def __init__(
        self,
        *,
        target: str,
        generator: random.Random,
        host: str = "127.0.0.1",
        port: int = 0,
        identify_source: Callable[[tuple[str, int]], str | None] | None = None,
    ) -> None:
        self.target = target
        self.address = ""
        self.accepted_connections = 0
        self.duplicate_connections = 0
        self.terminated_connections = 0
        self._generator = generator
        self._host = host
        self._port = port
        self._identify_source = identify_source
        self._faults = faults_module.Faults()
        self._faults_by_source: dict[str, faults_module.Faults] = {}
        self._changed = asyncio.Event()
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def faults(self) -> faults_module.Faults:
        """The faults for callers without faults of their own."""
        return self._faults

    def set_faults(self, faults: faults_module.Faults, source: str | None = None) -> None:
        """Replaces the faults of open and new connections.

        Args:
            faults: the faults in force from now on.
            source: name of the caller to which they apply; None sets the faults for all callers
                without faults of their own.
        """
        if source is None:
            self._faults = faults
        else:
            self._faults_by_source[source] = faults
        self._notify_changed()

    def clear_source_faults(self) -> None:
        """Removes all faults that were set for single callers."""
        self._faults_by_source.clear()
        self._notify_changed()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _faults_of(self, source: str | None) -> faults_module.Faults:
        return self._faults if source is None else self._faults_by_source.get(source, self._faults)

    async def start(self) -> None:
        """Starts to listen and sets `address`."""
        bound = listening.bind(self._port, self._host)
        self.address = f"{self._host}:{bound.getsockname()[1]}"
        self._listener = await asyncio.start_server(self._accept, sock=bound, backlog=512)

    async def reset_connections(self) -> None:
        """Closes all open connections; the proxy still accepts new ones."""
        open_tasks = list(self._tasks)
        for task in open_tasks:
            task.cancel()
        await asyncio.gather(*open_tasks, return_exceptions=True)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
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
        self.accepted_connections += 1
        source = None
        if self._identify_source is not None:
            source = self._identify_source(writer.get_extra_info("peername"))
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
        except* _pipe.ConnectionTerminatedError as group:
            self.terminated_connections += 1
            if any(
                isinstance(error, _pipe.ConnectionTerminatedError) and error.reset
                for error in group.exceptions
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
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_MAX_DUPLICATE_CHUNKS)
        on_chunk = None
        if self._faults_of(source).duplicate:

            def on_chunk(data: bytes) -> None:
                with contextlib.suppress(asyncio.QueueFull):
                    delay_s = self._faults_of(source).duplicate_delay_s
                    chunks.put_nowait((time.monotonic() + delay_s, data))

        to_target_pipe = _pipe.Pipe(
            reader=reader,
            writer=target,
            faults=lambda: self._faults_of(source).to_target,
            changed=lambda: self._changed,
            generator=self._generator,
            on_chunk=on_chunk,
        )
        to_caller_pipe = _pipe.Pipe(
            reader=target_reader,
            writer=writer,
            faults=lambda: self._faults_of(source).to_caller,
            changed=lambda: self._changed,
            generator=self._generator,
        )
        async with asyncio.TaskGroup() as group:
            background_tasks = [
                group.create_task(pipe.reset_after_blackhole())
                for pipe in (to_target_pipe, to_caller_pipe)
            ]
            copy_tasks = [
                group.create_task(to_target_pipe.read()),
                group.create_task(to_target_pipe.write()),
            ]
            copy_tasks += [
                group.create_task(to_caller_pipe.read()),
                group.create_task(to_caller_pipe.write()),
            ]
            if on_chunk is not None:
                background_tasks.append(group.create_task(self._duplicate(chunks)))
            await asyncio.gather(*copy_tasks)
            await self._wait_blackhole_end(source)
            for task in background_tasks:
                task.cancel()

    async def _wait_blackhole_end(self, source: str | None) -> None:
        """Keeps the sockets open while a blackhole drops the end of their streams."""
        while (
            self._faults_of(source).to_target.blackhole
            or self._faults_of(source).to_caller.blackhole
        ):
            await self._changed.wait()

    async def _duplicate(self, chunks: asyncio.Queue[tuple[float, bytes]]) -> None:
        """Sends queued bytes to the target on a second connection and discards its answers."""
        try:
            reader, writer = await self._connect()
        except (OSError, TimeoutError):
            return
        self.duplicate_connections += 1
        discarding = asyncio.create_task(_discard(reader))
        try:
            while True:
                due, data = await chunks.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            discarding.cancel()
            writer.close()


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(ConnectionError):
        while await reader.read(65536):
            pass


def _reset(writer: asyncio.StreamWriter) -> None:
    raw_socket: socket.socket = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
