"""Bounded waits for conditions."""

import asyncio

_POLL_S = 0.005


async def until(condition, within_s=5.0):
    """Waits until a condition holds; raises TimeoutError if it does not in time."""
    async with asyncio.timeout(within_s):
        while not condition():
            await asyncio.sleep(_POLL_S)
