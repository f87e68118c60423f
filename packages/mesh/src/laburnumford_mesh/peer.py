"""Calls to one other node over a stream that is reconnected when it breaks."""

import asyncio
import math
from collections.abc import Callable
from typing import Any, cast

import msgspec

from laburnumford_mesh import clock, errors, frames, incoming_answers, link, round_trip
from laburnumford_mesh.http import buffer_budget
from laburnumford_node.http import errors as http_errors

_CONNECT_TIMEOUT_S = 0.6
"""Seconds; a VM in another zone answers within 3 ms, and a lost SYN is sent again after 1 s."""

CHECK_INTERVAL_S = 0.2
"""Seconds between two checks of all streams."""

_MAX_CHECK_GAP_S = 2 * CHECK_INTERVAL_S
"""Seconds. After a longer gap this process itself was paused, and the check cannot tell whether
peers are silent: what they sent in the meantime has not been read yet."""

_PING_TIMEOUT_S = 0.35
"""Seconds without any byte after a ping until the stream is replaced. A stream may stop delivering
without a reset while new streams work."""

_SUSPECT_TIMEOUT_S = 0.15
"""Seconds without an answer to a ping until new calls go to other nodes."""

_RECONNECT_WINDOW_S = 10.0
"""Seconds after the last call or pull for which connecting to an unreachable node is retried."""

_IDLE_TIMEOUT_S = 15.0
"""Seconds without a call or pull after which a stream is closed."""

_RECONNECT_INTERVAL_S = 0.1
"""Seconds between two attempts to connect."""

Result = frames.Answer | frames.Refusal | frames.UnknownOutcome
_Reply = Result | frames.Acceptance


class _PendingCall:
    """A call without an answer."""

    __slots__ = ("announced", "frame", "future", "sent_to_incarnation")

    def __init__(
        self, frame: frames.Request | frames.Offer, future: asyncio.Future[_Reply]
    ) -> None:
        self.frame = frame
        self.future = future
        self.announced = False
        """Whether the call was announced and its body is sent in chunks."""
        self.sent_to_incarnation: int | None = None
        """Incarnation of the node that the complete call was sent to, None if it is unsent."""

    @property
    def has_large_body(self) -> bool:
        """Whether the body of the call is sent in chunks."""
        return (
            isinstance(self.frame, frames.Request)
            and len(self.frame.body) > buffer_budget.SMALL_BODY_BYTES
        )


class Peer:
    """Calls one other node over a stream that is replaced when it breaks.

    A pending call is sent again on a new stream if the same incarnation of the node answers there.
    The node recognizes a repeated call by its id and runs it once.

    Args:
        address: ``ip:port`` of the node.
        incarnation: random number of this start of the own node.
        budget: limit on the bodies that the process holds.
        on_pull_response: called with the IP address of the node and its answer to a pull.
        on_go_away: called with the IP address of the node when it announces its stop.
        on_suspect: called with the IP address of the node when it does not answer a ping in time.
        on_round_trip: called with the IP address of the node and the measured round trip to it in
            seconds.
    """

    def __init__(
        self,
        *,
        address: str,
        incarnation: int,
        budget: buffer_budget.BufferBudget,
        on_pull_response: Callable[[str, frames.PullResponse], None],
        on_go_away: Callable[[str], None],
        on_suspect: Callable[[str], None],
        on_round_trip: Callable[[str, float], None] | None = None,
    ) -> None:
        self.address = address
        self._incarnation = incarnation
        self._budget = budget
        self._answers = incoming_answers.IncomingAnswers(budget=budget)
        self._on_pull_response = on_pull_response
        self._on_go_away = on_go_away
        self._on_suspect = on_suspect
        self._on_round_trip = on_round_trip
        self._round_trip = round_trip.RoundTrip()
        self._link: link.Link | None = None
        self._pending_by_id: dict[int, _PendingCall] = {}
        self._task: asyncio.Task[None] | None = None
        self._last_used_s = clock.now()
        self._last_ping_s = 0.0
        self._last_check_s = clock.now()
        self._pending_pull: frames.Pull | None = None
        self._closed = False
        self.unreachable = False
        """Whether the last attempt to connect failed."""

    def since_received_s(self) -> float:
        """Returns the seconds since the last bytes on the stream, infinity without a stream."""
        return math.inf if self._link is None else clock.now() - self._link.last_received_s

    async def call(self, request: frames.Request, timeout_s: float) -> Result:
        """Sends a request and returns its result.

        Raises:
            RefusedError: the request was never sent.
            UnknownOutcomeError: the request was sent and no answer came in time.
        """
        return cast(Result, await self._exchange(request, timeout_s))

    async def offer(
        self, offer: frames.Offer, timeout_s: float
    ) -> frames.Acceptance | frames.Refusal:
        """Asks whether the node would accept a request.

        Raises:
            RefusedError: the node cannot be reached.
            UnknownOutcomeError: no answer came in time.
        """
        return cast(frames.Acceptance | frames.Refusal, await self._exchange(offer, timeout_s))

    async def _exchange(self, frame: frames.Request | frames.Offer, timeout_s: float) -> _Reply:
        if self.unreachable:
            self._last_used_s = clock.now()
            self._ensure_connected()
            raise errors.RefusedError("peer-unreachable")
        future: asyncio.Future[_Reply] = asyncio.get_running_loop().create_future()
        pending = _PendingCall(frame, future)
        self._pending_by_id[frame.call_id] = pending
        self._last_used_s = clock.now()
        self._send(pending)
        self._ensure_connected()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            self._send_cancel(pending)
            if pending.sent_to_incarnation is None:
                raise errors.RefusedError(_unsent_reason(pending)) from error
            raise errors.UnknownOutcomeError("peer-timeout") from error
        except asyncio.CancelledError:
            self._send_cancel(pending)
            raise
        finally:
            self._pending_by_id.pop(frame.call_id, None)
            self._answers.drop(frame.call_id)
            if pending.announced and self._link is not None:
                self._link.bodies.remove(frame.call_id)

    def pull(self, wanted: frames.Pull) -> None:
        """Asks the node for published values."""
        self._last_used_s = clock.now()
        if self._link is not None and self._link.peer_incarnation is not None:
            self._link.send(wanted)
            return
        self._pending_pull = wanted
        self._ensure_connected()

    def drop_stream(self) -> None:
        """Aborts the stream; pending calls are sent again on a new one."""
        if self._link is not None:
            self._link.abort()

    async def close(self) -> None:
        """Stops connecting and closes the stream."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._link is not None:
            self._link.close()

    def check(self) -> None:
        """Replaces a silent stream and closes an idle one; called every `CHECK_INTERVAL_S`.

        One loop checks all peers: in a large fleet a timer for each peer costs more processor
        time than the calls.
        """
        now = clock.now()
        late = now - self._last_check_s > _MAX_CHECK_GAP_S
        self._last_check_s = now
        self._answers.retry()
        current = self._link
        if current is None:
            if self._pending_by_id:
                self._ensure_connected()
            return
        if not self._pending_by_id:
            if now - self._last_used_s > _IDLE_TIMEOUT_S:
                self._link = None
                current.close()
            return
        if late or self._last_ping_s <= current.last_received_s:
            if now - current.last_received_s > CHECK_INTERVAL_S / 2:
                self._last_ping_s = now
                self._send_ping(current)
            elif self._round_trip.is_due(now):
                self._send_ping(current)
            return
        # The ping is queued behind the bodies that were sent before it.
        unanswered_s = now - max(self._last_ping_s, current.estimated_delivery_s)
        if unanswered_s > _SUSPECT_TIMEOUT_S:
            self._on_suspect(current.peer_ip)
        if unanswered_s > _PING_TIMEOUT_S:
            self._link = None
            current.abort()
            self._ensure_connected()

    # internals

    def _ensure_connected(self) -> None:
        if self._closed or self._link is not None:
            return
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._keep_connecting())

    async def _keep_connecting(self) -> None:
        """Tries to connect until `_RECONNECT_WINDOW_S` after the last use."""
        while not self._closed and clock.now() - self._last_used_s < _RECONNECT_WINDOW_S:
            if await self._connect():
                return
            await asyncio.sleep(_RECONNECT_INTERVAL_S)
        # The next call or pull tries again.
        self.unreachable = False
        self._pending_pull = None

    async def _connect(self) -> bool:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        hello_received: asyncio.Future[None] = loop.create_future()

        def handle_frame(source_link: link.Link, frame: Any) -> None:
            if isinstance(frame, frames.Hello) and source_link.peer_incarnation is None:
                source_link.observe_hello(frame)
                if frame.stopping:
                    self._on_go_away(source_link.peer_ip)
                if not hello_received.done():
                    hello_received.set_result(None)
                return
            self._handle_frame(source_link, frame)

        def handle_lost(ended: link.Link) -> None:
            if not hello_received.done():
                hello_received.set_result(None)
            self._handle_lost(ended)

        connected: link.Link | None = None
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, connected = await loop.create_connection(
                    lambda: link.Link(
                        hello=frames.Hello(self._incarnation, False, takes_chunks=True),
                        on_frame=handle_frame,
                        on_lost=handle_lost,
                        budget=self._budget,
                    ),
                    host,
                    int(port),
                )
                await hello_received
            if connected.lost:
                raise ConnectionResetError(f"{self.address} closed the stream before its hello")
        except http_errors.CONNECT_FAILURES:
            if connected is not None:
                connected.abort()
            self.unreachable = True
            self._refuse_unsent()
            return False
        except asyncio.CancelledError:
            if connected is not None:
                connected.abort()
            raise
        self.unreachable = False
        self._link = connected
        self._round_trip.reset()
        self._send_ping(connected)
        self._send_pending(connected)
        return True

    def _send_pending(self, connected: link.Link) -> None:
        """Sends the pending calls on a new stream."""
        incarnation = connected.peer_incarnation
        for pending in list(self._pending_by_id.values()):
            if pending.sent_to_incarnation not in (None, incarnation):
                # The incarnation that got the call has ended and may have run it.
                self._fail(pending, errors.UnknownOutcomeError("peer-restarted"))
            else:
                self._send(pending)
        if self._pending_pull is not None:
            connected.send(self._pending_pull)
            self._pending_pull = None

    def _refuse_unsent(self) -> None:
        for pending in list(self._pending_by_id.values()):
            if pending.sent_to_incarnation is None:
                self._fail(pending, errors.RefusedError(_unsent_reason(pending)))

    def _send(self, pending: _PendingCall) -> None:
        if self._link is None or self._link.peer_incarnation is None:
            return
        if pending.has_large_body and self._link.peer_takes_chunks:
            self._announce(self._link, pending)
        elif self._link.send(pending.frame):
            pending.sent_to_incarnation = self._link.peer_incarnation

    @staticmethod
    def _announce(target: link.Link, pending: _PendingCall) -> None:
        request = cast(frames.Request, pending.frame)
        head = msgspec.structs.replace(request, body=b"")
        if target.send(frames.LargeRequest(head, len(request.body))):
            pending.announced = True

    @staticmethod
    def _send_body(target: link.Link, pending: _PendingCall) -> None:
        """Sends the body of an announced call.

        The other node runs the call only with its complete body, so until the last chunk is
        written it is certain that the call has not run.
        """

        def mark_sent() -> None:
            pending.sent_to_incarnation = target.peer_incarnation

        request = cast(frames.Request, pending.frame)
        target.send_body(request.call_id, request.body, mark_sent)

    def _send_ping(self, target: link.Link) -> None:
        if target.send(frames.Ping()):
            self._round_trip.observe_ping(clock.now())

    def _observe_pong(self, ip: str) -> None:
        seconds = self._round_trip.observe_pong(clock.now())
        if seconds is not None and self._on_round_trip is not None:
            self._on_round_trip(ip, seconds)

    def _send_cancel(self, pending: _PendingCall) -> None:
        sent = pending.announced or pending.sent_to_incarnation is not None
        if sent and self._link is not None:
            self._link.send(frames.Cancel(pending.frame.call_id))

    def _handle_lost(self, ended: link.Link) -> None:
        if ended is self._link:
            self._link = None
            self._ensure_connected()

    def _handle_frame(self, source_link: link.Link, frame: Any) -> None:
        if isinstance(frame, _Reply):
            self._finish(source_link, frame)
        elif isinstance(frame, frames.LargeAnswer):
            self._handle_large_answer(source_link, frame)
        elif isinstance(frame, frames.BodyChunk):
            answer = self._answers.add(source_link, frame)
            if answer is not None:
                source_link.send(frames.BodyReceived(frame.call_id))
                self._finish(source_link, answer)
        elif isinstance(frame, frames.BodyGrant):
            pending = self._pending_by_id.get(frame.call_id)
            if pending is not None and pending.has_large_body:
                self._send_body(source_link, pending)
        elif isinstance(frame, frames.PullResponse):
            self._on_pull_response(source_link.peer_ip, frame)
        elif isinstance(frame, frames.GoAway):
            self._on_go_away(source_link.peer_ip)
        elif isinstance(frame, frames.Pong) and source_link is self._link:
            self._observe_pong(source_link.peer_ip)

    def _handle_large_answer(self, source_link: link.Link, frame: frames.LargeAnswer) -> None:
        call_id = frame.answer.call_id
        source_link.bodies.remove(call_id)
        if call_id in self._pending_by_id:
            self._answers.announce(source_link, frame)
        else:
            source_link.send(frames.BodyReceived(call_id))

    def _finish(self, source_link: link.Link, reply: _Reply) -> None:
        """Ends a call; the rest of its body is not needed, since the other node has decided."""
        source_link.bodies.remove(reply.call_id)
        pending = self._pending_by_id.get(reply.call_id)
        if pending is not None and not pending.future.done():
            pending.future.set_result(reply)

    @staticmethod
    def _fail(pending: _PendingCall, error: errors.AttemptError) -> None:
        if not pending.future.done():
            pending.future.set_exception(error)


def _unsent_reason(pending: _PendingCall) -> str:
    """Returns the reason for the refusal of a call that was not sent completely."""
    return "body-unsent" if pending.announced else "peer-unreachable"
