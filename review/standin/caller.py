"""Stand-in of the callers on one machine, as PROTOCOL.md describes them."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

from standin import backend, http, record


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of request.

    Attributes:
        name: name of the kind.
        method: request method.
        host: value of the Host field.
        path: path of the requests.
        idempotent: whether a request may run more than once.
        timeout_ms: time that a caller waits in all.
        body_bytes: size of the request's body.
    """

    name: str
    method: str
    host: str
    path: str
    idempotent: bool
    timeout_ms: int
    body_bytes: int = 0


class _Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.request_count = 0


class Callers:
    """Sends requests to the node of one machine over connections that are kept open.

    Args:
        name: name of the machine.
        address: ``ip:port`` of the node for callers.
        log: record of requests and answers.
    """

    _numbers = itertools.count(1)

    def __init__(self, *, name: str, address: str, log: record.Record) -> None:
        self._name = name
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._log = log
        self._idle: list[_Connection] = []

    async def load(self, kind: Kind, per_s: float, until_s: float, gate: asyncio.Event) -> None:
        """Sends requests at random times until a time of the record, while the gate is open."""
        async with asyncio.TaskGroup() as group:
            while (now := self._log.now()) < until_s:
                await asyncio.sleep(min(random.expovariate(per_s), max(until_s - now, 0.0)))
                if gate.is_set() and self._log.now() < until_s:
                    group.create_task(self.request(kind))

    async def request(self, kind: Kind) -> int:
        """Sends a request, and once more if the answer allows that; returns the last status."""
        began_s = self._log.now()
        status, retry_after_s = await self.attempt(kind, kind.timeout_ms)
        may_retry = status in (408, 421, 429, 503) or (kind.idempotent and status in (0, 502, 504))
        left_s = kind.timeout_ms / 1000 - (self._log.now() - began_s)
        if not may_retry or left_s < 0.1:
            return status
        await asyncio.sleep(min(retry_after_s, left_s / 3))
        left_s = kind.timeout_ms / 1000 - (self._log.now() - began_s)
        status, _ = await self.attempt(kind, int(left_s * 1000), fresh=True)
        return status

    async def attempt(
        self, kind: Kind, timeout_ms: int, *, fresh: bool = False
    ) -> tuple[int, float]:
        """Sends one request; returns its status, 0 without an answer, and Retry-After."""
        request_id = f"{self._name}-{next(self._numbers):06d}"
        status, retry_after_s, sound, closes = 0, 0.0, False, True
        connection: _Connection | None = None
        sent = False
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(timeout_ms / 1000 + 0.5):
                connection = await self._connect(fresh=fresh)
                fields = {
                    "Host": kind.host,
                    "X-Request-Id": request_id,
                    "X-Request-Deadline": str(timeout_ms),
                }
                body = backend.content(request_id, kind.body_bytes)
                self._log.write(
                    "sent",
                    id=request_id,
                    kind=kind.name,
                    machine=self._name,
                    ms=timeout_ms,
                    kept=connection.request_count > 0,
                )
                sent = True
                connection.request_count += 1
                first_line = f"{kind.method} {kind.path} HTTP/1.1"
                connection.writer.write(http.encode(first_line, fields, body))
                await connection.writer.drain()
                answer = await http.read_message(connection.reader)
                status = int(answer.first[1])
                retry_after_s = float(answer.fields.get("retry-after", "0"))
                closes = answer.closes
                sound = status >= 300 or (
                    "x-server-seal" in answer.fields
                    and answer.fields.get("x-request-id") == request_id
                    and answer.body == backend.content(request_id, len(answer.body))
                )
        if connection is not None:
            if closes:
                connection.writer.close()
            else:
                self._idle.append(connection)
        event = "answered" if status else ("closed" if sent else "unconnected")
        self._log.write(
            event, id=request_id, kind=kind.name, machine=self._name, status=status, sound=sound
        )
        return status, retry_after_s

    async def _connect(self, *, fresh: bool) -> _Connection:
        while self._idle and not fresh:
            connection = self._idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.writer.close()
        async with asyncio.timeout(1.0):
            return _Connection(*await asyncio.open_connection(self._host, self._port))

    def close(self) -> None:
        """Closes all connections."""
        while self._idle:
            self._idle.pop().writer.close()
