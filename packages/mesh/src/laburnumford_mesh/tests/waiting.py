"""Waits for conditions with a time limit."""

import asyncio

_POLL_INTERVAL_S = 0.005


async def until(condition, within_s=5.0):
    """Waits until a condition holds; raises TimeoutError after `within_s` seconds."""
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(_POLL_INTERVAL_S)
