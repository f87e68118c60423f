"""One connection to a fake backend server."""

import asyncio
import collections
import contextlib
import socket
import struct
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

import httptools

from laburnumford_testkit import content, errors
from laburnumford_testkit.backend import answer as answer_module
from laburnumford_testkit.backend import fault as fault_module
from laburnumford_testkit.backend import request as request_module

if TYPE_CHECKING:
    from laburnumford_testkit.backend import server as server_module

_REFUSED_HEADERS = (("laburnumford-outcome", "refused"), ("laburnumford-reason", "overloaded"))
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with timeout 0 sends RST instead of FIN

MEASURING_PATHS = frozenset({"/health", "/load"})

FaultKind = fault_module.FaultKind


class _AnswerAbortedError(Exception):
    """A fault has ended the answer early."""


class Connection(asyncio.Protocol):
    """Parses requests and answers them in order of arrival, in one task.

    Args:
        server: the state shared by all connections.
    """

    def __init__(self, *, server: "server_module.Server") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request = request_module.Request()
        self._requests: collections.deque[request_module.Request] = collections.deque()
        self._request_arrived: asyncio.Future[None] | None = None
        self._writable: asyncio.Future[None] | None = None
        self._task: asyncio.Task[None] | None = None

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the task that answers requests; closes a connection above the limit instead."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        server = self._server
        if len(server.connections) >= server.max_connections:
            server.refused_connections += 1
            transport.close()
            return
        server.connections.add(self)
        server.peak_connections = max(server.peak_connections, len(server.connections))
        self._task = asyncio.get_running_loop().create_task(self._serve(transport))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the task, and with it the running request."""
        del exc
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses data; answers an invalid request with 400 and closes the connection."""
        assert self._transport is not None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            answer = answer_module.Answer(status=400, close=True)
            self._transport.writelines(list(answer.parts()))
            self._transport.close()

    def pause_writing(self) -> None:
        """Makes the answer wait until the write buffer has drained."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Lets the answer continue."""
        if self._writable is not None:
            if not self._writable.done():
                self._writable.set_result(None)
            self._writable = None

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Creates the request that the next callbacks fill."""
        self._request = request_module.Request()

    def on_url(self, url: bytes) -> None:
        """Appends to the target, which may arrive in parts."""
        self._request.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field."""
        self._request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Passes the request to the task; its body may still be on the way."""
        request = self._request
        request.method = self._parser.get_method().decode("latin-1")
        request.keep_alive = self._parser.should_keep_alive()
        self._requests.append(request)
        if self._request_arrived is not None and not self._request_arrived.done():
            self._request_arrived.set_result(None)

    def on_body(self, data: bytes) -> None:
        """Adds bytes to the body."""
        self._request.feed_body(data)

    def on_message_complete(self) -> None:
        """Marks the request as complete."""
        self._request.end()

    # Task that answers the requests

    async def _serve(self, transport: asyncio.Transport) -> None:
        while not transport.is_closing():
            if not self._requests:
                self._request_arrived = asyncio.get_running_loop().create_future()
                await self._request_arrived
                self._request_arrived = None
            request = self._requests.popleft()
            try:
                await self._answer_request(transport, request)
            except _AnswerAbortedError:
                return
            if not request.keep_alive:
                transport.close()
                return
            if not request.complete and "expect" in request.headers:
                # After a refusal, a client that asked for 100 Continue may send the body or not.
                transport.close()
                return
            await request.wait_complete()

    async def _answer_request(
        self, transport: asyncio.Transport, request: request_module.Request
    ) -> None:
        server = self._server
        if request.is_admin:
            await request.wait_complete()
            await self._write(transport, server.admin_answer(request), fault_module.Fault())
            return
        if request.path in MEASURING_PATHS:
            await request.wait_complete()
            answer = server.measuring_answer(request)
            size = len(request.target) + sum(len(part) for part in answer.parts())
            server.record_measuring_request(time.monotonic(), size)
            await self._write(transport, answer, fault_module.Fault())
            return
        fault = server.draw_fault()
        if fault.kind is FaultKind.REFUSE or not await server.slots.acquire():
            server.refused_requests += 1
            await self._write(transport, self._refusal(request), fault_module.Fault())
            return
        try:
            await self._run(transport, request, fault)
        finally:
            server.slots.release()

    async def _run(
        self,
        transport: asyncio.Transport,
        request: request_module.Request,
        fault: fault_module.Fault,
    ) -> None:
        log = self._server.log
        run_id = log.start(
            call_id=request.headers.get("x-call-id", ""),
            key=request.headers.get("idempotency-key", ""),
            method=request.method,
            path=request.target,
            now=time.monotonic(),
        )
        status: int | None = None
        complete = False
        cancelled = False
        try:
            if "expect" in request.headers and not request.complete:
                transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            await request.wait_complete()
            await self._process(request, fault)
            nested_status = await self._call_nested(request)
            answer = self._answer(request, fault, nested_status)
            if fault.kind is FaultKind.CLOSE:
                transport.close()
                raise _AnswerAbortedError
            status = answer.status
            await self._write(transport, answer, fault)
            complete = True
        except asyncio.CancelledError:
            cancelled = True
            raise
        finally:
            log.end(
                run_id,
                ended=time.monotonic(),
                status=status,
                cancelled=cancelled,
                body_bytes=request.body_bytes,
                answer_whole=complete,
            )

    async def _process(self, request: request_module.Request, fault: fault_module.Fault) -> None:
        seconds = self._server.draw_service_time_s(request, time.monotonic())
        if fault.kind is FaultKind.SLOW:
            seconds *= fault.factor
        elif fault.kind is FaultKind.LATE:
            seconds += fault.delay_s
        elif fault.kind is FaultKind.STALL:
            await self._server.fault_changed.wait()
        if seconds > 0:
            await asyncio.sleep(seconds)

    async def _call_nested(self, request: request_module.Request) -> int:
        """Returns the status of the nested call, or 200 if the request asks for none."""
        if "x-nested-path" not in request.headers:
            return 200
        if self._server.nested_caller is None:
            return 501
        try:
            return await self._server.nested_caller.call(request)
        except errors.TestkitError:
            return 400

    def _answer(
        self, request: request_module.Request, fault: fault_module.Fault, nested_status: int
    ) -> answer_module.Answer:
        server = self._server
        call_id = request.headers.get("x-call-id", "")
        headers = [
            ("content-type", "application/octet-stream"),
            ("x-call-id", call_id),
            ("x-server", server.name),
        ]
        if request.body_bytes:
            headers.append(("x-body-bytes", str(request.body_bytes)))
            headers.append(("x-body-digest", request.body_digest))
        if server.draining:
            headers.append(("laburnumford-draining", "1"))
        failed = fault.kind is FaultKind.ERROR
        trailers = request.headers.get("x-answer-trailers", "") == "1"
        return answer_module.Answer(
            status=500
            if failed
            else int(request.numeric_header("x-answer-status", nested_status)),
            headers=tuple(headers),
            seed=call_id,
            length=int(request.numeric_header("x-answer-bytes", server.answer_bytes)),
            chunked=trailers or request.headers.get("x-answer-framing", "") == "chunked",
            trailers=trailers,
            is_head=request.method == "HEAD",
            close=not request.keep_alive,
        )

    def _refusal(self, request: request_module.Request) -> answer_module.Answer:
        headers = [*_REFUSED_HEADERS, ("x-server", self._server.name)]
        if self._server.draining:
            headers.append(("laburnumford-draining", "1"))
        return answer_module.Answer(
            status=503,
            headers=tuple(headers),
            body=b"refused\n",
            is_head=request.method == "HEAD",
            close=not request.keep_alive or ("expect" in request.headers and not request.complete),
        )

    async def _write(
        self,
        transport: asyncio.Transport,
        answer: answer_module.Answer,
        fault: fault_module.Fault,
    ) -> None:
        for part in _parts_until_fault(answer, fault):
            transport.write(part)
            if self._writable is not None:
                await self._writable
        if fault.kind is FaultKind.EXTRA:
            transport.write(content.content("extra", fault.bytes))
        elif fault.kind is FaultKind.TRUNCATE:
            transport.close()
            raise _AnswerAbortedError
        elif fault.kind is FaultKind.RESET:
            self._reset(transport)
            raise _AnswerAbortedError

    def _reset(self, transport: asyncio.Transport) -> None:
        raw_socket: socket.socket = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        transport.abort()


def _parts_until_fault(answer: answer_module.Answer, fault: fault_module.Fault) -> Iterator[bytes]:
    """Yields the parts of the answer up to the byte at which the fault ends it."""
    if fault.kind is FaultKind.TRUNCATE:
        remaining = sum(len(part) for part in answer.parts()) - max(1, answer.body_length // 2)
    elif fault.kind is FaultKind.RESET:
        remaining = fault.bytes
    else:
        yield from answer.parts()
        return
    for part in answer.parts():
        yield part[:remaining]
        remaining -= len(part)
        if remaining <= 0:
            return
