"""Takes calls and questions of other nodes."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from laburnumford_mesh import clock, frames, link
from laburnumford_policy.placement import report_targets

_KEEP_S = 4.0
"""A call is remembered this long past its deadline and its end. A sender repeats it only
before its deadline, and bytes of a broken stream may arrive a little later."""

_SWEEP_INTERVAL_S = 0.5
"""Seconds between two looks at the remembered calls."""

_MAX_KEPT_BYTES = 16 * 1024 * 1024
"""Answers above this total are forgotten first; the calls are still remembered."""
_BACKLOG = 512
"""Connections; all nodes of a fleet may come back in the same moment."""

Runner = Callable[[frames.Request | frames.Offer], Awaitable[Any]]
"""Runs a request, or considers the offer of one, and returns the frame that answers it."""


class _Served:
    """One call of another node, running or answered."""

    __slots__ = ("answer", "expires_s", "size", "task")

    def __init__(self, expires_s: float) -> None:
        self.task: asyncio.Task[None] | None = None
        self.answer: Any = None
        self.expires_s = expires_s
        self.size = 0


class PeerListener:
    """Runs each call of another node once, however often it is sent.

    Args:
        address: ``ip:port``.
        incarnation: number of this start of the node.
        run: runs a request or considers the offer of one.
        values_since: answers a pull.
    """

    def __init__(
        self,
        *,
        address: str,
        incarnation: int,
        run: Runner,
        values_since: Callable[[int], frames.Values],
    ) -> None:
        self._address = address
        self._incarnation = incarnation
        self._run = run
        self._values_since = values_since
        self._server: asyncio.Server | None = None
        self._links: set[link.Link] = set()
        self._link_by_origin: dict[int, link.Link] = {}
        self._served_by_key: dict[tuple[int, int], _Served] = {}
        self._report_targets = report_targets.ReportTargets()
        self._kept_bytes = 0
        self._swept_s = 0.0
        self._running = 0
        self.stopping = False

    @property
    def in_work(self) -> int:
        """Calls that have no answer yet."""
        return self._running

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        if self._server is None:
            raise RuntimeError("the listener is not started")
        return int(self._server.sockets[0].getsockname()[1])

    def report_targets(self) -> list[str]:
        """Returns the addresses of the nodes that want to know of the server's load."""
        return self._report_targets.targets(clock.now())

    async def start(self) -> None:
        """Starts to listen."""
        host, _, port = self._address.rpartition(":")
        listening = socket.create_server((host, int(port)), backlog=_BACKLOG)
        listening.setblocking(False)
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, sock=listening, backlog=_BACKLOG
        )

    def say_goodbye(self, server_id: str) -> None:
        """Tells all nodes with a stream that this one takes no more requests."""
        self.stopping = True
        for each in self._links:
            each.send(frames.Goodbye(server_id))

    async def close(self) -> None:
        """Ends everything."""
        if self._server is not None:
            self._server.close()
        for each in list(self._links):
            each.close()
        tasks = [s.task for s in self._served_by_key.values() if s.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self) -> link.Link:
        accepted = link.Link(
            greeting=frames.Hello(self._incarnation, self.stopping),
            on_frame=self._take,
            on_lost=self._lose,
        )
        self._links.add(accepted)
        return accepted

    def _lose(self, ended: link.Link) -> None:
        self._links.discard(ended)
        origin = ended.peer_incarnation
        if origin is not None and self._link_by_origin.get(origin) is ended:
            del self._link_by_origin[origin]

    def _take(self, found: link.Link, frame: Any) -> None:
        if isinstance(frame, frames.Hello):
            found.peer_incarnation = frame.incarnation
            self._link_by_origin[frame.incarnation] = found
        elif isinstance(frame, frames.Ping):
            found.send(frames.Pong())
        elif isinstance(frame, frames.Pull):
            found.send(self._values_since(frame.revision))
        elif found.peer_incarnation is None:
            found.abort()
        elif isinstance(frame, frames.Offer):
            self._serve((found.peer_incarnation, frame.call_id), frame)
        elif isinstance(frame, frames.Request):
            self._report_targets.observe_call(found.peer_ip, found.heard_s)
            self._serve((found.peer_incarnation, frame.call_id), frame)
        elif isinstance(frame, frames.Cancel):
            served = self._served_by_key.get((found.peer_incarnation, frame.call_id))
            if served is not None and served.task is not None:
                served.task.cancel()

    def _serve(self, key: tuple[int, int], request: frames.Request | frames.Offer) -> None:
        self._forget_old()
        served = self._served_by_key.get(key)
        if served is not None:
            if served.answer is not None:
                self._send(key, served.answer)
            return
        served = _Served(clock.now() + request.left_s + _KEEP_S)
        self._served_by_key[key] = served
        self._running += 1
        served.task = asyncio.get_running_loop().create_task(self._answer(key, served, request))

    async def _answer(
        self, key: tuple[int, int], served: _Served, request: frames.Request | frames.Offer
    ) -> None:
        try:
            served.answer = await self._run(request)
            self._send(key, served.answer)
        finally:
            self._running -= 1
            served.task = None
            served.expires_s = max(served.expires_s, clock.now() + _KEEP_S)
            served.size = len(getattr(served.answer, "body", b""))
            self._kept_bytes += served.size

    def _send(self, key: tuple[int, int], answer: Any) -> None:
        found = self._link_by_origin.get(key[0])
        if found is not None:
            found.send(answer)

    def _forget_old(self) -> None:
        now = clock.now()
        if now - self._swept_s < _SWEEP_INTERVAL_S:
            return
        self._swept_s = now
        for key, served in list(self._served_by_key.items()):
            if served.task is not None:
                continue
            if now > served.expires_s or self._kept_bytes > _MAX_KEPT_BYTES:
                self._kept_bytes -= served.size
                served.size = 0
                served.answer = None
            if now > served.expires_s:
                del self._served_by_key[key]
