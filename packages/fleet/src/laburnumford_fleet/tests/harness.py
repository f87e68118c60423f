"""Several Fleet objects on loopback, with a publisher."""

import asyncio
import functools
import random
import socket
import time

from laburnumford_fleet import fleet
from laburnumford_fleet.bench import sets
from laburnumford_objects import bundle, published


def free_ports(count: int) -> list[int]:
    """Returns free ports; all are bound at the same time, so they differ."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for found in sockets:
            found.bind(("127.0.0.1", 0))
        return [found.getsockname()[1] for found in sockets]
    finally:
        for found in sockets:
            found.close()


async def until(condition, timeout_s: float = 10.0) -> float:
    """Waits until a condition holds and returns the seconds it took."""
    started = time.monotonic()
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
    return time.monotonic() - started


class Cluster:
    """Nodes in three zones that share a stand-in for the platform."""

    def __init__(self, stand_in, nodes: int) -> None:
        self.stand_in = stand_in
        self.ports = free_ports(nodes)
        self.fleets: dict[int, fleet.Fleet] = {}
        self.published: published.PublishedVersion | None = None
        self.values: dict[str, bytes] = {}
        self.applied: dict[int, list[int]] = {}

    def make(self, timeout_ms: int = 1000) -> dict[str, bytes]:
        """Returns the values of the next version, without publishing them."""
        version = self.published.version + 1 if self.published else 1
        objects = sets.small(self.ports, timeout_ms=timeout_ms + version)
        values = bundle.bundle(self.published, objects, version)
        self.values |= values
        self.published = bundle.read(self.values, sets.WORKSPACE)
        return values

    async def publish(self) -> int:
        """Publishes the next version and returns its number."""
        await self.stand_in.publish(self.make())
        assert self.published is not None
        return self.published.version

    async def start(self, *indexes: int, seeds: tuple[int, ...] = (0, 1)) -> None:
        """Starts nodes at the same time."""
        for index in indexes:
            settings = sets.settings(
                index=index,
                port=self.ports[index],
                platform_url=self.stand_in.url,
                seeds=[self.ports[seed] for seed in seeds],
            )
            self.applied[index] = []
            self.fleets[index] = fleet.Fleet(
                settings=settings,
                generator=random.Random(index),
                on_apply=functools.partial(self._observe, index),
            )
        await asyncio.gather(*(self.fleets[index].start() for index in indexes))

    def _observe(self, index: int, _: object, version: int) -> None:
        self.applied[index].append(version)

    async def stop(self, *indexes: int) -> None:
        """Closes nodes."""
        await asyncio.gather(*(self.fleets.pop(index).close() for index in indexes))

    def versions(self) -> set[int]:
        """Returns the versions in force at the running nodes."""
        return {found.version for found in self.fleets.values()}

    def connected(self) -> bool:
        """Returns whether all neighbours of all nodes are connected."""
        return all(
            entry["connected"]
            for found in self.fleets.values()
            for entry in found.status()["neighbours"]
        )
