"""Accepts streams of other nodes and serves their calls, pulls and pings."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from laburnumford_mesh import clock, frames, incoming_requests, link, offered_bodies
from laburnumford_mesh.http import buffer_budget
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

_MEMORY_RETRY_AFTER_S = 0.5
"""Seconds until a sender may offer the body again. A body of 30 MB takes 2.4 s on the fastest
links of 100 Mbit/s, so that with a few bodies in transit one of them ends about this often."""

Key = incoming_requests.Key

Runner = Callable[[frames.Request | frames.Offer], Awaitable[Any]]
"""Runs a request, or decides on an offer, and returns the frame that answers it."""


class _ServedCall:
    """A call of another node, in flight or answered.

    Attributes:
        answer: frame that answers the call; None before the end or after it was dropped.
        body_bytes: size of the body of the retained answer.
        is_received: whether the sender has the answer, which is then not retained.
        expires_s: time of `clock.now` after which the call is dropped.
        task: task that runs the call, None after its end.
    """

    __slots__ = ("answer", "body_bytes", "expires_s", "is_received", "task")

    def __init__(self, expires_s: float) -> None:
        self.task: asyncio.Task[None] | None = None
        self.answer: Any = None
        self.expires_s = expires_s
        self.body_bytes = 0
        self.is_received = False

    @property
    def has_large_answer(self) -> bool:
        """Whether the body of the answer is sent in chunks and its receipt is confirmed."""
        return self.body_bytes > buffer_budget.SMALL_BODY_BYTES


class PeerListener:
    """Serves the calls of other nodes and runs each call once, even if it is sent several times.

    Args:
        address: ``ip:port``.
        incarnation: random number of this start of the node.
        run: runs a request or decides on an offer.
        answer_pull: returns the answer to a pull.
        refuse: returns the refusal of a call, given its id, the reason and the time in seconds
            after which the sender may try again.
        budget: limit on the bodies that the process holds.
    """

    def __init__(
        self,
        *,
        address: str,
        incarnation: int,
        run: Runner,
        answer_pull: Callable[[frames.Pull], frames.PullResponse],
        refuse: Callable[[int, str, float], frames.Refusal],
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self._address = address
        self._incarnation = incarnation
        self._run = run
        self._answer_pull = answer_pull
        self._refuse = refuse
        self._budget = budget
        self._offered = offered_bodies.OfferedBodies(budget=budget)
        self._incoming = incoming_requests.IncomingRequests(
            budget=budget,
            offered=self._offered,
            on_complete=self._serve_complete,
            on_refused=self._refuse_incoming,
        )
        self._server: asyncio.Server | None = None
        self._links: set[link.Link] = set()
        self._link_by_incarnation: dict[int, link.Link] = {}
        self._served_by_key: dict[Key, _ServedCall] = {}
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
        self._offered.close()

    def sweep(self) -> None:
        """Drops expired calls, their answers and bodies that have stalled."""
        self._incoming.sweep()
        self._expire_calls()

    def _accept(self) -> link.Link:
        accepted = link.Link(
            hello=frames.Hello(self._incarnation, self.stopping, takes_chunks=True),
            on_frame=self._handle_frame,
            on_lost=self._handle_lost,
            budget=self._budget,
        )
        self._links.add(accepted)
        return accepted

    def _handle_lost(self, ended: link.Link) -> None:
        self._links.discard(ended)
        self._incoming.handle_lost(ended)
        incarnation = ended.peer_incarnation
        if incarnation is not None and self._link_by_incarnation.get(incarnation) is ended:
            del self._link_by_incarnation[incarnation]

    def _handle_frame(self, source_link: link.Link, frame: Any) -> None:
        if isinstance(frame, frames.Hello):
            source_link.observe_hello(frame)
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
        else:
            self._handle_body_frame(source_link, source_link.peer_incarnation, frame)

    def _handle_body_frame(self, source_link: link.Link, incarnation: int, frame: Any) -> None:
        if isinstance(frame, frames.LargeRequest):
            self._report_targets.observe_call(source_link.peer_ip, source_link.last_received_s)
            self._announce((incarnation, frame.request.call_id), source_link, frame)
        elif isinstance(frame, frames.BodyChunk):
            self._incoming.add((incarnation, frame.call_id), source_link, frame)
        elif isinstance(frame, frames.BodyGrant):
            served = self._served_by_key.get((incarnation, frame.call_id))
            if served is not None and served.has_large_answer:
                source_link.send_body(frame.call_id, served.answer.body)
        elif isinstance(frame, frames.BodyReceived):
            self._drop_received((incarnation, frame.call_id))
        elif isinstance(frame, frames.Cancel):
            self._cancel((incarnation, frame.call_id), source_link)

    def _cancel(self, key: Key, source_link: link.Link) -> None:
        self._incoming.cancel(key)
        source_link.bodies.remove(key[1])
        served = self._served_by_key.get(key)
        if served is None:
            return
        if served.task is not None:
            served.task.cancel()
        self._drop_received(key)

    def _drop_received(self, key: Key) -> None:
        """Drops the answer of a call that its sender has or no longer needs."""
        served = self._served_by_key.get(key)
        if served is not None:
            served.is_received = True
            self._drop_answer(served)

    def _announce(self, key: Key, source_link: link.Link, frame: frames.LargeRequest) -> None:
        """Receives the body of an announced call, or repeats the answer of a known one."""
        served = self._served_by_key.get(key)
        if served is None:
            self._incoming.announce(key, source_link, frame)
        elif served.answer is not None:
            self._send(key, served.answer)

    def _serve_complete(self, key: Key, request: frames.Request) -> None:
        self._run_once(key, request, reserved=True)

    def _refuse_incoming(
        self, key: Key, request: frames.Request | frames.Offer, reason: str
    ) -> None:
        """Refuses a call that has not started; it is retained, so that it never runs."""
        refused = _ServedCall(clock.now() + request.remaining_s + _CALL_RETENTION_S)
        refused.answer = self._refuse(request.call_id, reason, _MEMORY_RETRY_AFTER_S)
        self._served_by_key[key] = refused
        self._send(key, refused.answer)

    def _serve(self, key: Key, request: frames.Request | frames.Offer) -> None:
        self._run_once(key, request, reserved=False)

    def _run_once(
        self, key: Key, request: frames.Request | frames.Offer, *, reserved: bool
    ) -> None:
        self._expire_calls()
        served = self._served_by_key.get(key)
        if served is not None:
            if reserved:
                self._release(key, request, None)
            if served.answer is not None:
                self._send(key, served.answer)
            return
        if not reserved and not self._reserve(key, request):
            self._refuse_incoming(key, request, incoming_requests.MEMORY_REASON)
            return
        served = _ServedCall(clock.now() + request.remaining_s + _CALL_RETENTION_S)
        self._served_by_key[key] = served
        self._in_flight_count += 1
        served.task = asyncio.get_running_loop().create_task(self._run_call(key, served, request))
        # A task that is cancelled before it starts does not run its clean-up.
        served.task.add_done_callback(lambda _: self._end_call(key, served, request))

    async def _run_call(
        self, key: Key, served: _ServedCall, request: frames.Request | frames.Offer
    ) -> None:
        served.answer = await self._run(request)
        self._send(key, served.answer)

    def _end_call(
        self, key: Key, served: _ServedCall, request: frames.Request | frames.Offer
    ) -> None:
        self._release(key, request, served.answer)
        self._in_flight_count -= 1
        served.task = None
        served.expires_s = max(served.expires_s, clock.now() + _CALL_RETENTION_S)
        self._retain(served)

    def _retain(self, served: _ServedCall) -> None:
        """Counts the body of an answer, which is held until it is received or expires."""
        if served.is_received:
            served.answer = None
            return
        served.body_bytes = len(getattr(served.answer, "body", b""))
        self._budget.take(served.body_bytes)
        if not served.has_large_answer:
            self._retained_body_bytes += served.body_bytes

    def _drop_answer(self, served: _ServedCall) -> None:
        if served.task is not None:
            return
        self._budget.release(served.body_bytes)
        if not served.has_large_answer:
            self._retained_body_bytes -= served.body_bytes
        served.body_bytes = 0
        served.answer = None

    def _reserve(self, key: Key, request: frames.Request | frames.Offer) -> bool:
        """Reserves memory for the body of a request or offer; returns False if it does not fit."""
        incarnation, _ = key
        if isinstance(request, frames.Offer):
            return not request.body_bytes or self._offered.add(incarnation, request.body_bytes)
        size = len(request.body)
        if request.offer_accepted and self._offered.use(incarnation, size):
            return True
        return self._budget.reserve(size)

    def _release(self, key: Key, request: frames.Request | frames.Offer, answer: Any) -> None:
        """Releases the memory of a request that has ended or an offer that is not accepted."""
        if isinstance(request, frames.Request):
            self._budget.release(len(request.body))
        elif not isinstance(answer, frames.Acceptance):
            self._offered.cancel(key[0], request.body_bytes)

    def _send(self, key: Key, answer: Any) -> None:
        target_link = self._link_by_incarnation.get(key[0])
        if target_link is None:
            return
        size = len(getattr(answer, "body", b""))
        if size > buffer_budget.SMALL_BODY_BYTES and target_link.peer_takes_chunks:
            head = msgspec.structs.replace(answer, body=b"")
            target_link.send(frames.LargeAnswer(head, size))
        else:
            target_link.send(answer)

    def _expire_calls(self) -> None:
        now = clock.now()
        if now - self._last_sweep_s < _SWEEP_INTERVAL_S:
            return
        self._last_sweep_s = now
        for key, served in list(self._served_by_key.items()):
            if served.task is not None:
                continue
            crowded = self._retained_body_bytes > _MAX_RETAINED_BODY_BYTES
            if now > served.expires_s or (crowded and not served.has_large_answer):
                self._drop_answer(served)
            if now > served.expires_s:
                del self._served_by_key[key]
