"""Requests of other nodes whose bodies arrive in chunks."""

from collections.abc import Callable

import msgspec

from laburnumford_mesh import clock, frames, incoming_body, link, offered_bodies
from laburnumford_mesh.http import buffer_budget

_STALL_TIMEOUT_S = 3.0
"""Seconds without a chunk after which a body is given up. The stream to a node that has failed is
replaced after 0.5 s, and 32 KB take 1 s on a link of 5 Mbit/s that twenty bodies share."""

MEMORY_REASON = "memory-full"
STALL_REASON = "body-stalled"

Key = tuple[int, int]
"""Incarnation of the sending node and id of the call."""


class _IncomingRequest:
    """A request without its complete body.

    Attributes:
        request: the request with an empty body.
        body: what has arrived of the body.
        announced_s: time of `clock.now` when the request was announced.
    """

    __slots__ = ("announced_s", "body", "request")

    def __init__(self, request: frames.Request, body: incoming_body.IncomingBody) -> None:
        self.request = request
        self.body = body
        self.announced_s = clock.now()


class IncomingRequests:
    """Reserves memory for announced bodies, receives them and passes on complete requests.

    Args:
        budget: limit on the bodies that the process holds.
        offered: memory that accepted offers have reserved.
        on_complete: called with a complete request, whose body stays reserved.
        on_refused: called with a request that never runs and the reason.
    """

    def __init__(
        self,
        *,
        budget: buffer_budget.BufferBudget,
        offered: offered_bodies.OfferedBodies,
        on_complete: Callable[[Key, frames.Request], None],
        on_refused: Callable[[Key, frames.Request, str], None],
    ) -> None:
        self._budget = budget
        self._offered = offered
        self._on_complete = on_complete
        self._on_refused = on_refused
        self._incoming_by_key: dict[Key, _IncomingRequest] = {}

    def announce(self, key: Key, source: link.Link, frame: frames.LargeRequest) -> None:
        """Grants the body of a request if there is memory for it, and refuses it otherwise.

        The body of a request that is announced again, on a new stream, is received from its start.
        """
        incoming = self._incoming_by_key.get(key)
        if incoming is None:
            if not self._reserve(key, frame):
                self._on_refused(key, frame.request, MEMORY_REASON)
                return
            body = incoming_body.IncomingBody(source, frame.body_bytes)
            incoming = _IncomingRequest(frame.request, body)
            self._incoming_by_key[key] = incoming
        incoming.body.grant(source, frame.request.call_id)

    def add(self, key: Key, source: link.Link, chunk: frames.BodyChunk) -> None:
        """Adds a chunk, and passes the request on if its body is complete."""
        incoming = self._incoming_by_key.get(key)
        if incoming is None:
            return
        incoming.body.add(source, chunk)
        if not incoming.body.complete:
            return
        del self._incoming_by_key[key]
        elapsed_s = clock.now() - incoming.announced_s
        request = msgspec.structs.replace(
            incoming.request,
            body=incoming.body.content(),
            remaining_s=incoming.request.remaining_s - elapsed_s,
            soft_remaining_s=incoming.request.soft_remaining_s - elapsed_s,
        )
        self._on_complete(key, request)

    def cancel(self, key: Key) -> None:
        """Drops what has arrived of the body of a call."""
        incoming = self._incoming_by_key.pop(key, None)
        if incoming is not None:
            self._budget.release(incoming.body.size)

    def handle_lost(self, ended: link.Link) -> None:
        """Drops the bodies that arrived on a stream that has closed."""
        for key, incoming in list(self._incoming_by_key.items()):
            if incoming.body.source is ended:
                self.cancel(key)

    def sweep(self) -> None:
        """Refuses requests whose bodies have stalled or whose time is over."""
        now = clock.now()
        for key, incoming in list(self._incoming_by_key.items()):
            stalled = now - incoming.body.last_progress_s > _STALL_TIMEOUT_S
            if stalled or now - incoming.announced_s > incoming.request.remaining_s:
                self.cancel(key)
                self._on_refused(key, incoming.request, STALL_REASON)

    def _reserve(self, key: Key, frame: frames.LargeRequest) -> bool:
        if frame.request.offer_accepted and self._offered.use(key[0], frame.body_bytes):
            return True
        return self._budget.reserve(frame.body_bytes)
