"""Cluster of Fleet objects on loopback, with a publisher, for the tests."""

import asyncio
import functools
import random
import socket
import time

from laburnumford_fleet import fleet
from laburnumford_fleet.bench import sets
from laburnumford_objects import bundle, published


def free_ports(count: int) -> list[int]:
    """Returns free ports, which differ as all of them are bound at the same time."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for found in sockets:
            found.bind(("127.0.0.1", 0))
        return [found.getsockname()[1] for found in sockets]
    finally:
        for found in sockets:
            found.close()


async def wait_until(condition, timeout_s: float = 10.0) -> float:
    """Waits until a condition holds and returns the seconds it took."""
    started = time.monotonic()
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
    return time.monotonic() - started


class Cluster:
    """Runs nodes in three zones that share a fake of the platform."""

    def __init__(self, fake_platform, nodes: int) -> None:
        self.fake_platform = fake_platform
        self.ports = free_ports(nodes)
        self.fleets: dict[int, fleet.Fleet] = {}
        self.published: published.PublishedVersion | None = None
        self.values: dict[str, bytes] = {}
        self.applied: dict[int, list[int]] = {}

    def make_next_version(self, timeout_ms: int = 1000) -> dict[str, bytes]:
        """Returns the values of the next version, without publishing them."""
        version = self.published.version + 1 if self.published else 1
        objects = sets.small(self.ports, timeout_ms=timeout_ms + version)
        values = bundle.bundle(self.published, objects, version)
        self.values |= values
        self.published = bundle.read(self.values, sets.WORKSPACE)
        return values

    async def publish(self) -> int:
        """Publishes the next version and returns its number."""
        await self.fake_platform.publish(self.make_next_version())
        assert self.published is not None
        return self.published.version

    async def start(self, *indexes: int, seeds: tuple[int, ...] = (0, 1)) -> None:
        """Starts nodes at the same time."""
        for index in indexes:
            settings = sets.settings(
                index=index,
                port=self.ports[index],
                platform_url=self.fake_platform.url,
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
        """Closes nodes and removes them from the cluster."""
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
