"""Caller that sends the request of each call to two nodes."""

import random
from typing import Any

from laburnumford_testkit.caller import call as call_module
from laburnumford_testkit.caller import caller
from laburnumford_testkit.caller import record as record_module


class DoublingCaller(caller.Caller):
    """Sends the request of each call to two nodes at the same time, with the same ticket.

    Args:
        addresses: `ip:port` of the nodes, at least two.
        generator: random generator that chooses the second node.
        parameters: further parameters of `Caller`.
    """

    def __init__(
        self, *, addresses: tuple[str, ...], generator: random.Random, **parameters: Any
    ) -> None:
        super().__init__(**parameters)
        self._addresses = addresses
        self._generator = generator

    async def call(
        self, call: call_module.Call, address: str, due: float | None = None
    ) -> record_module.Record:
        """Makes a call through `address` and another node; returns the last record."""
        others = [other for other in self._addresses if other != address]
        second = self._generator.choice(others)
        return (await self.call_through_two_nodes(call, address, second, due))[-1]
