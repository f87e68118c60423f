"""Both ends of calls between nodes."""

import asyncio
import itertools
from typing import Any

from laburnumford_mesh import frames, peer, peer_listener
from laburnumford_mesh.http import buffer_budget

LOAD = frames.LoadReport("a", 1, 0, 0, 4, 1.0, 0.0, 0.0)
CALL_IDS = itertools.count(1)


class Receiver:
    """A peer listener that records the calls that it runs.

    Attributes:
        runs: ids of the calls and offers that it got.
        bodies: bodies of the calls.
        answer_body: body of its answers.
        offer_answer: makes the answer to an offer from the id of the offer and a load report.
        gate: calls are answered only while this is set.
        budget: limit on the bodies that it holds.
    """

    def __init__(self):
        self.runs = []
        self.bodies = []
        self.answer_body = b"x"
        self.gate = asyncio.Event()
        self.gate.set()
        self.port = 0
        self.listener: Any = None
        self.offer_answer: Any = None
        self.budget = buffer_budget.BufferBudget(max_bytes=20_000_000)

    async def start(self, incarnation=7, port=0):
        """Starts to listen."""
        self.listener = peer_listener.PeerListener(
            address=f"127.0.0.1:{port}",
            incarnation=incarnation,
            run=self.run,
            answer_pull=lambda pull: frames.PullResponse(pull.revision, 0.0, False, b""),
            refuse=lambda call_id, reason, wait_s: frames.Refusal(call_id, reason, wait_s, LOAD),
            budget=self.budget,
        )
        await self.listener.start()
        self.port = self.listener.port

    async def run(self, request):
        """Counts the run and answers it once the gate is open."""
        self.runs.append(request.call_id)
        if isinstance(request, frames.Offer):
            return self.offer_answer(request.call_id, LOAD)
        self.bodies.append(request.body)
        await self.gate.wait()
        return frames.Answer(request.call_id, 200, b"OK", [], self.answer_body, 0.0, LOAD)


class Sender:
    """A peer and the loop that calls its `check`."""

    def __init__(self, port, check_interval_s=peer.CHECK_INTERVAL_S):
        self.suspected: list[str] = []
        self.round_trips: list[tuple[str, float]] = []
        self.budget = buffer_budget.BufferBudget(max_bytes=20_000_000)
        self._check_interval_s = check_interval_s
        self.peer = peer.Peer(
            address=f"127.0.0.1:{port}",
            incarnation=1,
            budget=self.budget,
            on_pull_response=lambda *_: None,
            on_go_away=lambda _: None,
            on_suspect=self.suspected.append,
            on_round_trip=lambda ip, seconds: self.round_trips.append((ip, seconds)),
        )
        self._task = asyncio.create_task(self._check())

    async def _check(self):
        while True:
            await asyncio.sleep(self._check_interval_s)
            self.peer.check()

    def call(self, timeout_s=5.0, **changes):
        """Starts a call and returns its task."""
        values: dict[str, Any] = {
            "call_id": next(CALL_IDS),
            "server_id": "a",
            "method": b"GET",
            "target": b"/",
            "fields": [],
            "body": b"",
            "remaining_s": timeout_s,
            "soft_remaining_s": timeout_s,
            "idempotent": False,
            "priority": 0,
            "request_class": "k",
            "expects_slowdown": False,
            "offer_accepted": False,
        }
        frame = frames.Request(**(values | changes))
        return asyncio.create_task(self.peer.call(frame, timeout_s))

    async def close(self):
        """Stops the checks and closes the stream."""
        self._task.cancel()
        await self.peer.close()
