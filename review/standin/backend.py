"""Stand-in of a backend server, as PROTOCOL.md describes it."""

import asyncio
import collections
import contextlib
import hashlib
import json
import random
import time
from collections.abc import Callable

from standin import http, record, store

_HEALTH_S = 0.006
_IDLE_S = 10.0
HEARTBEAT_S = 1.5
"""Interval of the entry's renewals; it ends after three without one."""


def content(request_id: str, size: int) -> bytes:
    """Returns the body of the answer to a request."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


def seal(server_id: str, request_id: str) -> str:
    """Returns the signature of an answer."""
    return hashlib.sha256(f"{server_id} {request_id}".encode()).hexdigest()[:24]


class Backend:
    """A sound backend server with slots and a queue, which registers itself in the store.

    Args:
        server_id: id of this start of the server.
        service: name of its service.
        address: ``ip:port`` to listen on.
        zone: its availability zone.
        slots: requests that it runs at a time.
        work_s: returns the work of a request in seconds, given its target.
        answer_bytes: size of an answer's body.
        log: record of the runs.
        registry: store for the entry.
    """

    def __init__(
        self,
        *,
        server_id: str,
        service: str,
        address: str,
        zone: str,
        slots: int,
        work_s: Callable[[str], float],
        answer_bytes: int,
        log: record.Record,
        registry: store.Store,
    ) -> None:
        self.server_id = server_id
        self.service = service
        self.address = address
        self._zone = zone
        self._slots = slots
        self._work_s = work_s
        self._answer_bytes = answer_bytes
        self._log = log
        self._store = registry
        self._running = 0
        self._queue: collections.deque[asyncio.Future[None]] = collections.deque()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task[None] | None = None
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._state = "ready"

    async def start(self) -> None:
        """Starts to listen and registers."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port), limit=1 << 20)
        await self._write_entry()
        self._beats = asyncio.create_task(self._beat())

    async def drain(self) -> None:
        """Reports in the store that the server drains; returns once that is acknowledged."""
        self._state = "draining"
        await self._write_entry()

    def stop(self) -> None:
        """Ends the server and its connections."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))
            if self._store.holds(f"servers/{self.server_id}"):
                # Only the sequence differs, so the entry does not change.
                self._sequence += 1
                self._store.renew(f"servers/{self.server_id}", 3 * HEARTBEAT_S)
            else:
                await self._write_entry()

    async def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": self._state,
            "coldRemainingS": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        key = f"servers/{self.server_id}"
        await self._store.put(key, json.dumps(entry).encode(), 3 * HEARTBEAT_S)
        self._log.write("entry", server=self.server_id, state=self._state)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*http.ENDS), contextlib.closing(writer):
            while True:
                async with asyncio.timeout(_IDLE_S):
                    request = await http.read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        self._writers.discard(writer)

    async def _answer(self, request: http.Message) -> bytes:
        method, target, _ = request.first
        own = {"X-Instance": self.server_id}
        if target == "/health":
            await asyncio.sleep(_HEALTH_S)
            status = 200 if self._state == "ready" else 503
            return http.encode(f"HTTP/1.1 {status} X", own | self._load())
        request_id = request.fields.get("x-request-id", "")
        own |= {"X-Request-Id": request_id}
        if not request_id:
            return http.encode("HTTP/1.1 400 Bad Request", own | {"X-Not-Run": "1"})
        if request.fields.get("x-target-instance", self.server_id) != self.server_id:
            return http.encode("HTTP/1.1 421 Misdirected Request", own)
        if self._running >= self._slots and len(self._queue) >= 2 * self._slots:
            return http.encode("HTTP/1.1 503 X", own | self._load() | {"X-Not-Run": "1"})
        await self._take_slot()
        try:
            self._log.write(
                "run",
                id=request_id,
                server=self.server_id,
                service=self.service,
                method=method,
                target=target,
                caller=request.fields.get("x-caller", ""),
                bytes=len(request.body),
            )
            await asyncio.sleep(self._work_s(target))
        finally:
            self._release_slot()
        self._log.write("ran", id=request_id, server=self.server_id)
        own |= {"X-Server-Seal": seal(self.server_id, request_id)}
        body = content(request_id, self._answer_bytes)
        return http.encode("HTTP/1.1 200 OK", own | self._load(), body)

    def _load(self) -> dict[str, str]:
        load = f"{self._running},{len(self._queue)},{self._slots},100"
        return {"X-Server-Load": load, "Keep-Alive": f"timeout={_IDLE_S:.0f}"}

    async def _take_slot(self) -> None:
        if self._running >= self._slots:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._queue.append(turn)
            await turn
        else:
            self._running += 1

    def _release_slot(self) -> None:
        while self._queue:
            turn = self._queue.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._running -= 1
