"""Place of a request in the order of the answers of its connection."""

import asyncio
import dataclasses

from laburnumford_mesh.http import answer as answers


@dataclasses.dataclass(slots=True)
class PendingAnswer:
    """Holds an answer until all earlier answers of the connection are written.

    Attributes:
        keep_alive: whether the caller asks for a persistent connection.
        is_head: whether the request method is HEAD.
        request_bytes: bytes that are reserved for the request.
        answer_bytes: bytes that are reserved for the answer.
        task: task that runs the handler.
        answer: the answer, None while the handler runs.
    """

    keep_alive: bool
    is_head: bool
    request_bytes: int = 0
    answer_bytes: int = 0
    task: asyncio.Task[None] | None = None
    answer: answers.Answer | None = None
