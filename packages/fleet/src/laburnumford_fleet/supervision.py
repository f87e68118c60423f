"""Restart of background loops after unexpected errors."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

_log = logging.getLogger(__name__)

_RESTART_DELAY_S = 1.0


async def run(name: str, loop: Callable[[], Awaitable[None]], generator: random.Random) -> None:
    """Runs an endless loop and restarts it after an unexpected error.

    The error is logged. Without the restart, one error in a loop would end the
    propagation of versions.

    Args:
        name: name of the loop for the log.
        loop: the loop; it ends only by cancellation.
        generator: source of the jitter before a restart.
    """
    while True:
        try:
            await loop()
        except Exception:
            _log.exception("fleet: task %r failed and will be restarted", name)
        await asyncio.sleep(_RESTART_DELAY_S * generator.uniform(0.5, 1.5))
