"""Accepts streams of other nodes and serves their calls, pulls and pings."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

from laburnumford_mesh import clock, frames, link
from laburnumford_policy.placement import report_targets

_CALL_RETENTION_S = 4.0
"""Seconds for which a call is retained after its deadline and its end. A sender repeats it only
before its deadline, but bytes of a broken stream may arrive a little later."""

_SWEEP_INTERVAL_S = 0.5
"""Seconds between two checks for expired calls."""

_MAX_RETAINED_BODY_BYTES = 16 * 1024 * 1024
"""Above this total answers are dropped before they expire. Their calls are retained, so that none
runs twice."""

_MAX_PENDING_CONNECTIONS = 512
"""Backlog of the listening socket; all nodes of a fleet may reconnect at the same moment."""

Runner = Callable[[frames.Request | frames.Offer], Awaitable[Any]]
"""Runs a request, or decides on an offer, and returns the frame that answers it."""


class _ServedCall:
    """A call of another node, in flight or answered.

    Attributes:
        answer: frame that answers the call; None before the end or after it was dropped.
        body_bytes: size of the body of the retained answer.
        expires_s: time of `clock.now` after which the call is dropped.
        task: task that runs the call, None after its end.
    """

    __slots__ = ("answer", "body_bytes", "expires_s", "task")

    def __init__(self, expires_s: float) -> None:
        self.task: asyncio.Task[None] | None = None
        self.answer: Any = None
        self.expires_s = expires_s
        self.body_bytes = 0


class PeerListener:
    """Serves the calls of other nodes and runs each call once, even if it is sent several times.

    Args:
        address: ``ip:port``.
        incarnation: random number of this start of the node.
        run: runs a request or decides on an offer.
        answer_pull: returns the answer to a pull.
    """

    def __init__(
        self,
        *,
        address: str,
        incarnation: int,
        run: Runner,
        answer_pull: Callable[[frames.Pull], frames.PullResponse],
    ) -> None:
        self._address = address
        self._incarnation = incarnation
        self._run = run
        self._answer_pull = answer_pull
        self._server: asyncio.Server | None = None
        self._links: set[link.Link] = set()
        self._link_by_incarnation: dict[int, link.Link] = {}
        self._served_by_key: dict[tuple[int, int], _ServedCall] = {}
        self._report_targets = report_targets.ReportTargets()
        self._retained_body_bytes = 0
        self._last_sweep_s = 0.0
        self._in_flight_count = 0
        self.stopping = False

    @property
    def in_flight_count(self) -> int:
        """Number of calls without an answer."""
        return self._in_flight_count

    @property
    def port(self) -> int:
        """The port that the listener is bound to."""
        if self._server is None:
            raise RuntimeError(f"the peer listener on {self._address} is not started")
        return int(self._server.sockets[0].getsockname()[1])

    def report_targets(self) -> list[str]:
        """Returns the IP addresses of the recent callers, which get load updates."""
        return self._report_targets.targets(clock.now())

    async def start(self) -> None:
        """Starts to listen for other nodes."""
        host, _, port = self._address.rpartition(":")
        listening = socket.create_server((host, int(port)), backlog=_MAX_PENDING_CONNECTIONS)
        listening.setblocking(False)
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, sock=listening, backlog=_MAX_PENDING_CONNECTIONS
        )

    def send_go_away(self, server_id: str) -> None:
        """Tells all connected nodes that this one takes no more requests."""
        self.stopping = True
        for each in self._links:
            each.send(frames.GoAway(server_id))

    async def close(self) -> None:
        """Stops listening, closes all streams and cancels the calls in flight."""
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
            hello=frames.Hello(self._incarnation, self.stopping),
            on_frame=self._handle_frame,
            on_lost=self._handle_lost,
        )
        self._links.add(accepted)
        return accepted

    def _handle_lost(self, ended: link.Link) -> None:
        self._links.discard(ended)
        incarnation = ended.peer_incarnation
        if incarnation is not None and self._link_by_incarnation.get(incarnation) is ended:
            del self._link_by_incarnation[incarnation]

    def _handle_frame(self, source_link: link.Link, frame: Any) -> None:
        if isinstance(frame, frames.Hello):
            source_link.peer_incarnation = frame.incarnation
            self._link_by_incarnation[frame.incarnation] = source_link
        elif isinstance(frame, frames.Ping):
            source_link.send(frames.Pong())
        elif isinstance(frame, frames.Pull):
            source_link.send(self._answer_pull(frame))
        elif source_link.peer_incarnation is None:
            source_link.abort()
        elif isinstance(frame, frames.Offer):
            self._serve((source_link.peer_incarnation, frame.call_id), frame)
        elif isinstance(frame, frames.Request):
            self._report_targets.observe_call(source_link.peer_ip, source_link.last_received_s)
            self._serve((source_link.peer_incarnation, frame.call_id), frame)
        elif isinstance(frame, frames.Cancel):
            served = self._served_by_key.get((source_link.peer_incarnation, frame.call_id))
            if served is not None and served.task is not None:
                served.task.cancel()

    def _serve(self, key: tuple[int, int], request: frames.Request | frames.Offer) -> None:
        self._expire_calls()
        served = self._served_by_key.get(key)
        if served is not None:
            if served.answer is not None:
                self._send(key, served.answer)
            return
        served = _ServedCall(clock.now() + request.remaining_s + _CALL_RETENTION_S)
        self._served_by_key[key] = served
        self._in_flight_count += 1
        served.task = asyncio.get_running_loop().create_task(self._run_call(key, served, request))

    async def _run_call(
        self, key: tuple[int, int], served: _ServedCall, request: frames.Request | frames.Offer
    ) -> None:
        try:
            served.answer = await self._run(request)
            self._send(key, served.answer)
        finally:
            self._in_flight_count -= 1
            served.task = None
            served.expires_s = max(served.expires_s, clock.now() + _CALL_RETENTION_S)
            served.body_bytes = len(getattr(served.answer, "body", b""))
            self._retained_body_bytes += served.body_bytes

    def _send(self, key: tuple[int, int], answer: Any) -> None:
        target_link = self._link_by_incarnation.get(key[0])
        if target_link is not None:
            target_link.send(answer)

    def _expire_calls(self) -> None:
        now = clock.now()
        if now - self._last_sweep_s < _SWEEP_INTERVAL_S:
            return
        self._last_sweep_s = now
        for key, served in list(self._served_by_key.items()):
            if served.task is not None:
                continue
            if now > served.expires_s or self._retained_body_bytes > _MAX_RETAINED_BODY_BYTES:
                self._retained_body_bytes -= served.body_bytes
                served.body_bytes = 0
                served.answer = None
            if now > served.expires_s:
                del self._served_by_key[key]
