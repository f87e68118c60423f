"""Propagation of versions and reports between nodes."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import grpc
import grpc.aio

from laburnumford_fleet import (
    channel,
    errors,
    local_state,
    messages,
    neighbour,
    platform,
    supervision,
    version_store,
)
from laburnumford_objects import head as heads

_log = logging.getLogger(__name__)

_EXCHANGE_INTERVAL_S = 10.0
_CLOSE_GRACE_S = 0.2
# Doubles with each failed attempt, up to channel.FETCH_TIMEOUT_S.
_FIRST_FETCH_TIMEOUT_S = 1.5
_MAX_PULL_FAILURES = 3
_MIN_EXCHANGE_WITH_ALL_INTERVAL_S = 10.0
_HINT_WAIT_BASE_S = 0.1
_HINT_WAIT_CAP_S = 10.0
# After a failed fetch the next source is tried soon, as a version must reach all nodes within 7 s.
_PULL_BACKOFF_BASE_S = 0.1
_PULL_BACKOFF_CAP_S = 2.0
# Bounds the control calls that run at this node at the same time. A neighbour has at most one
# announcement, one exchange and one fetch in flight.
_MAX_CONCURRENT_CALLS = 64


class Propagation:
    """Serves control calls and runs one task per neighbour.

    Args:
        address: control address to listen on.
        store: version in force.
        generator: source of the jitter.
        on_pulled: called after a version of a peer was applied.
    """

    def __init__(
        self,
        *,
        address: str,
        store: version_store.VersionStore,
        generator: random.Random,
        on_pulled: Callable[[], None],
    ) -> None:
        self._address = address
        self._store = store
        self._generator = generator
        self._on_pulled = on_pulled
        self._local: local_state.LocalState | None = None
        self._server: grpc.aio.Server | None = None
        self._neighbours: dict[str, neighbour.Neighbour] = {}
        self._higher_version_by_node: dict[str, int] = {}
        self._failures_by_node: dict[str, int] = {}
        self._higher_version_seen = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self._round_robin_index = 0
        self._exchanged_with_all_at = float("-inf")
        self._next_hint_at = float("-inf")
        self._hint_wait_s = _HINT_WAIT_BASE_S
        self.port = 0

    @property
    def neighbours(self) -> tuple[neighbour.Neighbour, ...]:
        """Neighbours, sorted by address."""
        return tuple(self._neighbours[address] for address in sorted(self._neighbours))

    @property
    def behind(self) -> bool:
        """Whether a connected neighbour is known to hold a higher version."""
        return self._source() is not None

    async def start(self, local: local_state.LocalState) -> None:
        """Listens on the control address and starts the tasks.

        Raises:
            PeerError: the address cannot be bound.
        """
        self._local = local
        server = grpc.aio.server(
            options=(*channel.OPTIONS, ("grpc.so_reuseport", 0)),
            maximum_concurrent_rpcs=_MAX_CONCURRENT_CALLS,
        )
        methods: dict[str, Callable[[bytes], Awaitable[bytes]]] = {
            "Announce": self._answer_announce,
            "Exchange": self._answer_exchange,
            "Fetch": self._answer_fetch,
        }
        handlers = {
            name: grpc.unary_unary_rpc_method_handler(self._handler(name, answer))
            for name, answer in methods.items()
        }
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(channel.SERVICE, handlers),)
        )
        try:
            self.port = server.add_insecure_port(self._address)
        except RuntimeError as error:
            raise errors.PeerError(f"control address {self._address}: {error}") from error
        await server.start()
        self._server = server
        self._tasks = [
            asyncio.create_task(supervision.run(name, loop, self._generator), name=name)
            for name, loop in (
                ("fleet exchange", self._exchange_loop),
                ("fleet pull", self._pull_loop),
            )
        ]

    async def close(self) -> None:
        """Cancels all tasks and stops listening."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        await asyncio.gather(*(found.close() for found in self._neighbours.values()))
        self._neighbours.clear()
        if self._closing_tasks:
            await asyncio.wait(self._closing_tasks)
        if self._server is not None:
            await self._server.stop(_CLOSE_GRACE_S)

    def set_neighbours(self, names_by_address: Mapping[str, str]) -> None:
        """Starts the tasks of new neighbours and ends those of neighbours that are not given.

        Args:
            names_by_address: names of the servers by control address, empty for a seed.
        """
        if self._local is None:
            return
        for address in self._neighbours.keys() - names_by_address.keys():
            ending = asyncio.create_task(self._neighbours.pop(address).close())
            self._closing_tasks.add(ending)
            ending.add_done_callback(self._closing_tasks.discard)
        for address, name in names_by_address.items():
            if address not in self._neighbours:
                added = neighbour.Neighbour(
                    address=address,
                    name=name,
                    local=self._local,
                    generator=self._generator,
                    on_lost=self.exchange_with_all,
                )
                self._neighbours[address] = added
                added.start()

    def wake(self, *, exchange: bool = False, reports: bool = False) -> None:
        """Sends a new version, an exchange or queued reports to all neighbours at once."""
        for found in self._neighbours.values():
            found.wake(exchange=exchange, reports=reports)

    def wake_one(self, *, exchange: bool = False) -> None:
        """Sends queued reports or an exchange to one connected neighbour, in round-robin order."""
        connected = [found for found in self.neighbours if found.connected]
        if connected:
            self._round_robin_index += 1
            connected[self._round_robin_index % len(connected)].wake(
                exchange=exchange, reports=not exchange
            )

    def observe_higher_version(self, node: str, version: int) -> None:
        """Records that a node holds a higher version than this node.

        A node that is not a neighbour, such as the sender of a call, gives only
        a hint, on which this node exchanges with one neighbour. The wait before
        the next such exchange doubles until a version is applied, so that a
        version that cannot be applied here does not cause an exchange for each
        call that carries it.
        """
        if any(found.name == node for found in self._neighbours.values()):
            self._higher_version_by_node[node] = version
            self._higher_version_seen.set()
            return
        now = time.monotonic()
        if now >= self._next_hint_at:
            self._hint_wait_s = min(_HINT_WAIT_CAP_S, self._hint_wait_s * 2.0)
            self._next_hint_at = now + self._hint_wait_s
            self.wake_one(exchange=True)

    def exchange_with_all(self) -> None:
        """Exchanges with all neighbours, at most once per interval.

        After the loss of one neighbour, this shows within seconds whether the
        node has lost contact with all of them.
        """
        now = time.monotonic()
        if now - self._exchanged_with_all_at >= _MIN_EXCHANGE_WITH_ALL_INTERVAL_S:
            self._exchanged_with_all_at = now
            self.wake(exchange=True)

    def observe_contact(self, node: str, version: int) -> None:
        """Records a message of a node with its version, if the node is a neighbour."""
        for found in self._neighbours.values():
            if found.name == node:
                found.observe_message(version)

    def _handler(
        self, name: str, answer: Callable[[bytes], Awaitable[bytes]]
    ) -> Callable[[bytes, Any], Awaitable[bytes]]:
        async def handle(request: bytes, context: Any) -> bytes:
            assert self._local is not None
            self._local.counter.count_received(len(request))
            try:
                data = await answer(request)
            except errors.FleetError as error:
                _log.warning("fleet: rejected call %s from %s: %s", name, context.peer(), error)
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error)[:200])
                raise
            self._local.counter.count_sent(len(data))
            return data

        return handle

    async def _answer_announce(self, request: bytes) -> bytes:
        assert self._local is not None
        message = messages.decode(messages.Announce, request)
        self._local.observe(message)
        self.observe_contact(message.node, message.version)
        return messages.encode(messages.Acknowledge(self._local.incarnation, self._store.version))

    async def _answer_exchange(self, request: bytes) -> bytes:
        assert self._local is not None
        message = messages.decode(messages.Exchange, request)
        self._local.observe(message)
        self.observe_contact(message.node, message.version)
        answer = self._local.exchange_message()
        self._local.view.observe_sent(answer.reports)
        return messages.encode(answer)

    async def _answer_fetch(self, request: bytes) -> bytes:
        message = messages.decode(messages.Fetch, request)
        return messages.encode(await self._store.changes(message))

    async def _exchange_loop(self) -> None:
        order: list[str] = []
        while True:
            await asyncio.sleep(_EXCHANGE_INTERVAL_S * self._generator.uniform(0.8, 1.2))
            if not order:
                order = sorted(self._neighbours)
                self._generator.shuffle(order)
            while order:
                found = self._neighbours.get(order.pop())
                if found is not None and found.connected:
                    found.wake(exchange=True)
                    break

    async def _pull_loop(self) -> None:
        attempt = 0
        while True:
            await self._higher_version_seen.wait()
            self._higher_version_seen.clear()
            while (source := self._source()) is not None:
                try:
                    await self._pull(source, attempt)
                    attempt = 0
                    self._hint_wait_s = _HINT_WAIT_BASE_S
                    self._failures_by_node.clear()
                except errors.FleetError as error:
                    _log.info("fleet: pull from %s failed: %s", source.name, error)
                    failures = self._failures_by_node.get(source.name, 0) + 1
                    self._failures_by_node[source.name] = failures
                    if failures >= _MAX_PULL_FAILURES:
                        # The source is used again once it announces or exchanges again.
                        self._higher_version_by_node.pop(source.name, None)
                        del self._failures_by_node[source.name]
                    attempt += 1
                    await asyncio.sleep(
                        platform.backoff_s(
                            attempt=attempt,
                            generator=self._generator,
                            base_s=_PULL_BACKOFF_BASE_S,
                            cap_s=_PULL_BACKOFF_CAP_S,
                        )
                    )

    def _source(self) -> neighbour.Neighbour | None:
        """Returns the connected neighbour to pull from: fewest failures, highest version."""
        for node, version in tuple(self._higher_version_by_node.items()):
            if version <= self._store.version:
                del self._higher_version_by_node[node]
        usable = [
            found
            for found in self._neighbours.values()
            if found.connected and found.name in self._higher_version_by_node
        ]
        return max(
            usable,
            key=lambda found: (
                -self._failures_by_node.get(found.name, 0),
                self._higher_version_by_node[found.name],
            ),
            default=None,
        )

    async def _pull(self, source: neighbour.Neighbour, attempt: int) -> None:
        """Applies the changes of a source; if its deltas cannot be applied, pulls its snapshot."""
        request = messages.Fetch(self._store.version, self._store.digest)
        # The first source may be unreachable. The next one must be asked well within the 7 s in
        # which a version reaches all nodes.
        timeout_s = min(channel.FETCH_TIMEOUT_S, _FIRST_FETCH_TIMEOUT_S * 2.0**attempt)
        answer = await source.fetch(request, timeout_s=timeout_s)
        if answer.parts == 0:
            if answer.version <= self._store.version:
                # The source does not hold the version that it announced, or the version came from
                # another source in the meantime.
                self._higher_version_by_node.pop(source.name, None)
                return
            if request.since != self._store.version:
                return
            try:
                if self._store.apply_deltas(answer.deltas, self._head(answer), node=source.name):
                    self._on_pulled()
                return
            except errors.VersionError as error:
                _log.warning(
                    "fleet: deltas cannot be applied, fetching the snapshot from %s: %s",
                    source.name,
                    error,
                )
            answer = await source.fetch(self._part_request(0, 0))
        await self._pull_snapshot(source, answer)

    async def _pull_snapshot(self, source: neighbour.Neighbour, first: messages.Changes) -> None:
        parts = [first.data]
        while len(parts) < first.parts:
            answer = await source.fetch(self._part_request(first.version, len(parts)))
            if (answer.version, answer.digest) != (first.version, first.digest):
                raise errors.MessageError(
                    f"snapshot part {len(parts)}: found version {answer.version}, "
                    f"allowed {first.version}"
                )
            parts.append(answer.data)
        if first.parts == 0 or first.version <= self._store.version:
            raise errors.MessageError(
                f"snapshot of {source.name}: found version {first.version} in {first.parts} "
                f"parts, allowed above {self._store.version}"
            )
        if self._store.apply_snapshot(parts, self._head(first), node=source.name):
            self._on_pulled()

    def _part_request(self, version: int, part: int) -> messages.Fetch:
        return messages.Fetch(self._store.version, self._store.digest, True, version, part)

    def _head(self, answer: messages.Changes) -> heads.Head:
        """Returns a head with the version, digest and part count of a peer's answer."""
        return heads.Head(
            workspace=self._store.object_set.workspace,
            version=answer.version,
            digest=answer.digest.hex(),
            snapshot_version=answer.version,
            snapshot_parts=max(1, answer.parts),
        )
