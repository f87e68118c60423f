"""Answers of another node whose bodies arrive in chunks."""

import msgspec

from laburnumford_mesh import frames, incoming_body, link
from laburnumford_mesh.http import buffer_budget


class _IncomingAnswer:
    """An answer without its complete body.

    Attributes:
        answer: the answer with an empty body.
        body: what has arrived of the body.
        reserved: whether memory for the body is reserved.
    """

    __slots__ = ("answer", "body", "reserved")

    def __init__(self, answer: frames.Answer, body: incoming_body.IncomingBody) -> None:
        self.answer = answer
        self.body = body
        self.reserved = False


class IncomingAnswers:
    """Receives the bodies of answers; those that do not fit into the memory wait at the sender.

    Args:
        budget: limit on the bodies that the process holds.
    """

    def __init__(self, *, budget: buffer_budget.BufferBudget) -> None:
        self._budget = budget
        self._incoming_by_id: dict[int, _IncomingAnswer] = {}

    def announce(self, source: link.Link, frame: frames.LargeAnswer) -> None:
        """Grants the body of an answer if there is memory for it.

        The body of an answer that is announced again, on a new stream, is received from its start.
        """
        call_id = frame.answer.call_id
        incoming = self._incoming_by_id.get(call_id)
        if incoming is None:
            body = incoming_body.IncomingBody(source, frame.body_bytes)
            incoming = _IncomingAnswer(frame.answer, body)
            self._incoming_by_id[call_id] = incoming
        incoming.body.source = source
        self._grant(call_id, incoming)

    def retry(self) -> None:
        """Grants the bodies for which there is memory now."""
        for call_id, incoming in self._incoming_by_id.items():
            if not incoming.reserved:
                self._grant(call_id, incoming)

    def add(self, source: link.Link, chunk: frames.BodyChunk) -> frames.Answer | None:
        """Adds a chunk; returns the answer if its body is complete."""
        incoming = self._incoming_by_id.get(chunk.call_id)
        if incoming is None:
            return None
        incoming.body.add(source, chunk)
        if not incoming.body.complete:
            return None
        return msgspec.structs.replace(incoming.answer, body=incoming.body.content())

    def drop(self, call_id: int) -> None:
        """Releases the memory for the answer of a call."""
        incoming = self._incoming_by_id.pop(call_id, None)
        if incoming is not None and incoming.reserved:
            self._budget.release(incoming.body.size)

    def _grant(self, call_id: int, incoming: _IncomingAnswer) -> None:
        size = incoming.body.size
        if not incoming.reserved:
            if not self._budget.has_space(size, answer=True):
                return
            self._budget.take(size)
            incoming.reserved = True
        incoming.body.grant(incoming.body.source, call_id)
