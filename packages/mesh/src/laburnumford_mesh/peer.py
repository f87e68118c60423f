"""The stream to one other node and the calls that wait on it."""

import asyncio
import math
from collections.abc import Callable
from typing import Any, cast

from laburnumford_mesh import clock, errors, frames, link

_CONNECT_TIMEOUT_S = 0.6
"""A VM in another zone answers within 3 ms; a lost opening packet is sent again after 1 s."""

CHECK_INTERVAL_S = 0.2
"""Seconds between two looks at all streams."""

_LATE_CHECK_S = 2 * CHECK_INTERVAL_S
"""A check that comes so late says that this process stood still, and nothing of the others:
what they sent meanwhile has not been read yet."""

_SILENCE_S = 0.35
"""A stream without any byte for this long after a ping is replaced. Streams may go silent
without a reset while new ones work."""

_SUSPECT_S = 0.15
"""Without an answer to a ping for this long, new calls go to other nodes."""

_DOWN_RETRY_S = 10.0
"""A node that cannot be reached is tried for this long after the last call to it."""

_IDLE_S = 15.0
"""Streams that carried no call for this long are closed."""

_RETRY_CONNECT_S = 0.1
"""Seconds between two tries to connect."""

Result = frames.Answer | frames.Refusal | frames.Unknown
_Reply = Result | frames.Acceptance


class _Waiting:
    """One call without an answer."""

    __slots__ = ("frame", "future", "sent_to")

    def __init__(
        self, frame: frames.Request | frames.Offer, future: asyncio.Future[_Reply]
    ) -> None:
        self.frame = frame
        self.future = future
        self.sent_to: int | None = None
        """Incarnation of the node that the call was sent to, None before that."""


class Peer:
    """Calls one other node over a stream that is replaced when it breaks.

    A call is sent again on a new stream as long as the same incarnation of the node answers
    there: that node tells repeated calls by their number and runs each of them once.

    Args:
        address: ``ip:port`` of the node.
        incarnation: number of this node's own start.
        on_values: called with published values that the node sent.
        on_goodbye: called when the node says that it stops.
        on_suspect: called with the node's address when it seems to be out of reach.
    """

    def __init__(
        self,
        *,
        address: str,
        incarnation: int,
        on_values: Callable[[str, frames.Values], None],
        on_goodbye: Callable[[str], None],
        on_suspect: Callable[[str], None],
    ) -> None:
        self.address = address
        self._incarnation = incarnation
        self._on_values = on_values
        self._on_goodbye = on_goodbye
        self._on_suspect = on_suspect
        self._link: link.Link | None = None
        self._waiting_by_id: dict[int, _Waiting] = {}
        self._task: asyncio.Task[None] | None = None
        self._used_s = clock.now()
        self._pinged_s = 0.0
        self._checked_s = clock.now()
        self._pull_revision: int | None = None
        self._closed = False
        self.unreachable = False
        """Whether the last try to connect failed."""

    def quiet_s(self) -> float:
        """Returns the time since the node was heard on the stream."""
        return math.inf if self._link is None else clock.now() - self._link.heard_s

    async def call(self, request: frames.Request, timeout_s: float) -> Result:
        """Sends a request and returns what came of it.

        Raises:
            RefusedError: the request was never sent.
            UnknownOutcomeError: the request was sent and no answer came in time.
        """
        return cast(Result, await self._exchange(request, timeout_s))

    async def offer(
        self, offer: frames.Offer, timeout_s: float
    ) -> frames.Acceptance | frames.Refusal:
        """Asks whether a request would be taken.

        Raises:
            RefusedError: the node cannot be reached.
            UnknownOutcomeError: no answer came in time.
        """
        return cast(frames.Acceptance | frames.Refusal, await self._exchange(offer, timeout_s))

    async def _exchange(self, frame: frames.Request | frames.Offer, timeout_s: float) -> _Reply:
        if self.unreachable:
            self._used_s = clock.now()
            self._ensure_connected()
            raise errors.RefusedError("peer-unreachable")
        future: asyncio.Future[_Reply] = asyncio.get_running_loop().create_future()
        waiting = _Waiting(frame, future)
        self._waiting_by_id[frame.call_id] = waiting
        self._used_s = clock.now()
        self._transmit(waiting)
        self._ensure_connected()
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            self._withdraw(waiting)
            if waiting.sent_to is None:
                raise errors.RefusedError("peer-unreachable") from error
            raise errors.UnknownOutcomeError("peer-timeout") from error
        except asyncio.CancelledError:
            self._withdraw(waiting)
            raise
        finally:
            self._waiting_by_id.pop(frame.call_id, None)

    def pull(self, revision: int) -> None:
        """Asks the node for published values after a revision."""
        self._used_s = clock.now()
        if self._link is not None and self._link.peer_incarnation is not None:
            self._link.send(frames.Pull(revision))
            return
        self._pull_revision = revision
        self._ensure_connected()

    def drop_stream(self) -> None:
        """Ends the stream at once; calls that wait are sent again on a new one."""
        if self._link is not None:
            self._link.abort()

    async def close(self) -> None:
        """Ends the stream."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._link is not None:
            self._link.close()

    def check(self) -> None:
        """Replaces a silent stream and closes an unused one; called every `CHECK_INTERVAL_S`.

        One loop checks all peers: a timer for each of them costs a large fleet more
        processor time than its calls do.
        """
        now = clock.now()
        late = now - self._checked_s > _LATE_CHECK_S
        self._checked_s = now
        current = self._link
        if current is None:
            if self._waiting_by_id:
                self._ensure_connected()
            return
        if not self._waiting_by_id:
            if now - self._used_s > _IDLE_S:
                self._link = None
                current.close()
            return
        if late or self._pinged_s <= current.heard_s:
            if now - current.heard_s > CHECK_INTERVAL_S / 2:
                self._pinged_s = now
                current.send(frames.Ping())
            return
        # The ping waits behind the bodies that were sent before it.
        unanswered_s = now - max(self._pinged_s, current.sent_until_s)
        if unanswered_s > _SUSPECT_S:
            self._on_suspect(current.peer_ip)
        if unanswered_s > _SILENCE_S:
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
        """Tries to connect for a while after the last use."""
        while not self._closed and clock.now() - self._used_s < _DOWN_RETRY_S:
            if await self._connect():
                return
            await asyncio.sleep(_RETRY_CONNECT_S)
        # The next call or beacon tries again.
        self.unreachable = False
        self._pull_revision = None

    async def _connect(self) -> bool:
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        hello: asyncio.Future[None] = loop.create_future()

        def take(found: link.Link, frame: Any) -> None:
            if isinstance(frame, frames.Hello) and found.peer_incarnation is None:
                found.peer_incarnation = frame.incarnation
                if frame.stopping:
                    self._on_goodbye(found.peer_ip)
                if not hello.done():
                    hello.set_result(None)
                return
            self._take(found, frame)

        connected: link.Link | None = None
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, connected = await loop.create_connection(
                    lambda: link.Link(
                        greeting=frames.Hello(self._incarnation, False),
                        on_frame=take,
                        on_lost=self._lose,
                    ),
                    host,
                    int(port),
                )
                await hello
        except (OSError, TimeoutError):
            if connected is not None:
                connected.abort()
            self.unreachable = True
            self._give_back_unsent()
            return False
        except asyncio.CancelledError:
            if connected is not None:
                connected.abort()
            raise
        self.unreachable = False
        self._link = connected
        self._resume(connected)
        return True

    def _resume(self, connected: link.Link) -> None:
        """Sends the waiting calls on a new stream."""
        incarnation = connected.peer_incarnation
        for waiting in list(self._waiting_by_id.values()):
            if waiting.sent_to not in (None, incarnation):
                # The node that had the call is gone; its work may have been done.
                self._resolve(waiting, errors.UnknownOutcomeError("peer-restarted"))
            else:
                self._transmit(waiting)
        if self._pull_revision is not None:
            connected.send(frames.Pull(self._pull_revision))
            self._pull_revision = None

    def _give_back_unsent(self) -> None:
        for waiting in list(self._waiting_by_id.values()):
            if waiting.sent_to is None:
                self._resolve(waiting, errors.RefusedError("peer-unreachable"))

    def _transmit(self, waiting: _Waiting) -> None:
        if self._link is None or self._link.peer_incarnation is None:
            return
        if self._link.send(waiting.frame):
            waiting.sent_to = self._link.peer_incarnation

    def _withdraw(self, waiting: _Waiting) -> None:
        if waiting.sent_to is not None and self._link is not None:
            self._link.send(frames.Cancel(waiting.frame.call_id))

    def _lose(self, ended: link.Link) -> None:
        if ended is self._link:
            self._link = None
            self._ensure_connected()

    def _take(self, found: link.Link, frame: Any) -> None:
        if isinstance(frame, _Reply):
            waiting = self._waiting_by_id.get(frame.call_id)
            if waiting is not None and not waiting.future.done():
                waiting.future.set_result(frame)
        elif isinstance(frame, frames.Values):
            self._on_values(found.peer_ip, frame)
        elif isinstance(frame, frames.Goodbye):
            self._on_goodbye(found.peer_ip)

    @staticmethod
    def _resolve(waiting: _Waiting, error: errors.AttemptError) -> None:
        if not waiting.future.done():
            waiting.future.set_exception(error)
