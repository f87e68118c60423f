"""Pause of a connection while the memory for bodies is full."""

import asyncio
from collections.abc import Callable

from laburnumford_mesh import clock
from laburnumford_mesh.http import buffer_budget

_LONGEST_PAUSE_S = 1.0
"""Seconds; a server cuts off an answer that stays unread for some seconds."""

_CHECK_INTERVAL_S = 0.05
"""Seconds; 1 MB leaves a node on a link of 100 Mbit/s in 0.08 s."""


class SpaceWait:
    """Stops reading an answer that does not fit, until there is space or the pause is too long.

    Args:
        budget: limit on the bodies that the process holds.
        on_timeout: called when there was no space for `_LONGEST_PAUSE_S`.
    """

    def __init__(
        self, *, budget: buffer_budget.BufferBudget, on_timeout: Callable[[], None]
    ) -> None:
        self._budget = budget
        self._on_timeout = on_timeout
        self._transport: asyncio.Transport | None = None
        self._body_bytes = 0
        self._ends_s = 0.0
        self._check_timer: asyncio.TimerHandle | None = None

    def start(self, transport: asyncio.Transport, body_bytes: int) -> None:
        """Stops reading, unless it is stopped already.

        Args:
            transport: connection to the server.
            body_bytes: size of the body as far as it is known.
        """
        self._body_bytes = body_bytes
        if self._check_timer is not None:
            return
        self._transport = transport
        if not transport.is_closing():
            transport.pause_reading()
        self._ends_s = clock.now() + _LONGEST_PAUSE_S
        self._schedule_check()

    def stop(self) -> None:
        """Reads again."""
        if self._check_timer is None:
            return
        self._check_timer.cancel()
        self._check_timer = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _schedule_check(self) -> None:
        self._check_timer = asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        if self._budget.has_space(0, body_bytes=self._body_bytes, answer=True):
            self.stop()
        elif clock.now() > self._ends_s:
            self.stop()
            self._on_timeout()
        else:
            self._schedule_check()
