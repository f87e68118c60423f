"""Tasks that must run as long as the node."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

_LOG = logging.getLogger("laburnumford.mesh")
_RESTART_DELAY_S = 0.1
"""Bounds the processor time and the log lines of a loop that fails at once each time."""


async def keep_running(run: Callable[[], Awaitable[None]], *, name: str) -> None:
    """Runs a loop until it returns or is cancelled; logs an error that ends it and starts it again.

    Args:
        run: the loop.
        name: name of the loop in the log.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            _LOG.exception("%s failed; it starts again in %g s", name, _RESTART_DELAY_S)
        await asyncio.sleep(_RESTART_DELAY_S)
