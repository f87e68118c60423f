"""Memory that is reserved for bodies whose offers were accepted."""

import asyncio
import collections
from typing import NamedTuple

from laburnumford_mesh.http import buffer_budget

_LIFETIME_S = 2.0
"""Seconds until the reservation of an accepted offer expires. The sender answers an acceptance at
once, but 64 KB on a link of 5 Mbit/s that other bodies use take some tenths of a second."""


class _Key(NamedTuple):
    """Identifies reservations that can stand for each other.

    Attributes:
        incarnation: incarnation of the node that made the offer.
        size: size of the body in bytes.
    """

    incarnation: int
    size: int


class OfferedBodies:
    """Reserves memory for offered bodies until they arrive or the acceptance expires.

    Args:
        budget: budget of the process.
    """

    def __init__(self, *, budget: buffer_budget.BufferBudget) -> None:
        self._budget = budget
        self._expiries_by_key: dict[_Key, collections.deque[asyncio.TimerHandle]] = {}

    def add(self, incarnation: int, size: int) -> bool:
        """Reserves memory for a body; returns False if it does not fit.

        Args:
            incarnation: incarnation of the node that made the offer.
            size: size of the body in bytes.
        """
        if not self._budget.reserve(size):
            return False
        key = _Key(incarnation, size)
        expiry = asyncio.get_running_loop().call_later(_LIFETIME_S, self.cancel, *key)
        self._expiries_by_key.setdefault(key, collections.deque()).append(expiry)
        return True

    def cancel(self, incarnation: int, size: int) -> None:
        """Releases the oldest reservation for a body of that size, if there is one."""
        if self.use(incarnation, size):
            self._budget.release(size)

    def use(self, incarnation: int, size: int) -> bool:
        """Hands the oldest reservation over to the body; returns whether there was one."""
        key = _Key(incarnation, size)
        expiries = self._expiries_by_key.get(key)
        if expiries is None:
            return False
        expiries.popleft().cancel()
        if not expiries:
            del self._expiries_by_key[key]
        return True

    def close(self) -> None:
        """Releases all reservations."""
        for key in list(self._expiries_by_key):
            while key in self._expiries_by_key:
                self.cancel(*key)
