"""Entry point of the package: versions and membership of one node."""

import asyncio
import logging
import random
import secrets
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from laburnumford_fleet import (
    directory,
    local_state,
    member_state,
    membership,
    meter,
    neighbour,
    overlay,
    platform,
    platform_mode,
    platform_reader,
    propagation,
    read_limit,
    readers,
    supervision,
    version_store,
)
from laburnumford_objects import node_settings, object_set

_log = logging.getLogger(__name__)

# Longest wait of `start` for a first version.
_START_TIMEOUT_S = 3.0
_TICK_INTERVAL_S = 1.0
# A tick that is more than this late counts as a pause of the process.
_MIN_PAUSE_S = 2.0
# A node reads the platform itself once half of its overlay neighbours are silent for this long.
_PLATFORM_FALLBACK_AFTER_S = 5.0
_RATE_POINT_INTERVAL_S = 5.0
_URGENT_REPORT_DELAY_S = 0.1
_URGENT_REPORT_INTERVAL_S = 1.0
# Failed attempts, about 1 s, after which the start no longer waits for a neighbour.
_MAX_START_ATTEMPTS = 3
# Bounds the lists of names in the status; its counts include all nodes.
_MAX_LISTED_NAMES = 50


class Fleet:
    """Maintains the version in force and the membership view of one node.

    Args:
        settings: settings of the node.
        generator: source of jitter and of random waits.
        on_apply: called with the object set and its version after each applied version.
    """

    def __init__(
        self,
        *,
        settings: node_settings.NodeSettings,
        generator: random.Random,
        on_apply: Callable[[object_set.ObjectSet, int], None] | None = None,
    ) -> None:
        self._settings = settings
        self._generator = generator
        self._on_apply = on_apply
        self._node = settings.backend_server
        self._meter = meter.Meter()
        self._store = version_store.VersionStore(workspace=settings.workspace)
        self._view = membership.Membership()
        self._directory = directory.Directory()
        self._overlay = overlay.Overlay(node=self._node)
        self._read_limit = read_limit.ReadLimit(generator=generator, now=time.monotonic())
        self._platform = platform.Platform(url=settings.platform_url, limit=self._read_limit)
        self._propagation = propagation.Propagation(
            address=settings.control_address,
            store=self._store,
            generator=generator,
            on_pulled=self._after_apply,
        )
        self._local = local_state.LocalState(
            node=self._node,
            # The seeded generator would give the same number after a restart.
            incarnation=secrets.randbits(64) or 1,
            store=self._store,
            view=self._view,
            counter=self._meter,
            on_higher_version=self._propagation.observe_higher_version,
            on_contact=self._on_contact,
        )
        self._platform_reader = platform_reader.PlatformReader(
            client=self._platform,
            workspace=settings.workspace,
            store=self._store,
            view=self._view,
            mode=self._mode,
            generator=generator,
            on_read=self._on_platform_read,
            on_applied=self._after_apply,
            on_list=self._on_list,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._confirmed = False
        self._listed_vm_count = 0
        self._reader_cache_key: tuple[int, int] | None = None
        self._is_reader = False
        self._overlay_revision = 0
        # The neighbours of a first version may not run, so the seeds are contacted besides them.
        self._use_seeds = True
        self._overlay_addresses: frozenset[str] = frozenset()
        self._state_changed = asyncio.Event()
        self._reports_changed = asyncio.Event()

    @property
    def version(self) -> int:
        """Number of the version in force, 0 before the first one."""
        return self._store.version

    @property
    def object_set(self) -> object_set.ObjectSet:
        """Objects of the version in force."""
        return self._store.object_set

    @property
    def confirmed(self) -> bool:
        """Whether a peer that has a version confirmed that it knows no higher one.

        A node without seeds that is the only one in its version needs no peer. Once True, the
        value stays True.
        """
        return self._confirmed

    @property
    def leaving(self) -> bool:
        """Whether this node leaves: by the version, by the platform's list or after `leave`."""
        state = self._view.state_of(self._node, now=time.monotonic())
        return self._local.leaving or state is member_state.MemberState.LEAVING

    @property
    def incarnation(self) -> int:
        """Random number that identifies this run of the node."""
        return self._local.incarnation

    async def start(self) -> None:
        """Listens for peers and waits at most 3 s for a first version.

        Raises:
            PeerError: the control address cannot be bound.
        """
        until = time.monotonic() + _START_TIMEOUT_S
        await self._propagation.start(self._local)
        self._set_neighbours()
        self._tasks = [
            asyncio.create_task(supervision.run(name, loop, self._generator), name=name)
            for name, loop in (
                ("fleet platform", self._platform_reader.run),
                ("fleet list", self._platform_reader.run_list),
                ("fleet tick", self._tick_loop),
                ("fleet reports", self._report_loop),
            )
        ]
        # Peers and platform are asked at the same time. Versions only rise, so the highest one is in
        # force in the end.
        while time.monotonic() < until and not self._start_complete():
            self._state_changed.clear()
            try:
                async with asyncio.timeout(min(0.05, max(0.0, until - time.monotonic()))):
                    await self._state_changed.wait()
            except TimeoutError:
                continue
        if not self.version:
            _log.warning("fleet: no version in force %.0f s after the start", _START_TIMEOUT_S)
        elif not self._confirmed:
            _log.warning("fleet: version %d is not confirmed by a peer", self.version)

    async def close(self) -> None:
        """Cancels all tasks and closes all connections."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self._propagation.close()
        await self._platform.close()

    def observe_peer_version(self, node: str, version: int) -> None:
        """Reports a version that a call or an answer of another node carried."""
        if version > self.version:
            self._propagation.observe_higher_version(node, version)

    def observe_call(
        self, server_name: str, *, answered: bool, draining: bool, started_at: float
    ) -> None:
        """Records the result of one of this node's own calls to a server.

        Args:
            server_name: server that was called.
            answered: whether it answered; a refusal is an answer.
            draining: whether it refused the call as draining.
            started_at: monotonic time in seconds when the call was sent.
        """
        self._view.observe_call(
            server_name,
            answered=answered,
            draining=draining,
            started_at=started_at,
            now=time.monotonic(),
        )

    def live(self, server_name: str) -> bool:
        """Returns whether a server takes new requests, as far as this node knows."""
        return self._view.live(server_name, now=time.monotonic())

    def leave(self) -> None:
        """Tells the neighbours at once that this node takes no new requests."""
        self._local.leaving = True
        self._propagation.wake(reports=True)

    def status(self) -> dict[str, Any]:
        """Returns the state of this node as a JSON-ready dictionary."""
        now = time.monotonic()
        bytes_per_s, messages_per_s = self._meter.rates(now=now)
        member_states = sorted(self._view.non_live_states(now=now).items())
        leaving = [
            name for name, state in member_states if state is member_state.MemberState.LEAVING
        ]
        silent = [
            name for name, state in member_states if state is member_state.MemberState.SILENT
        ]
        counts = self._local.sample.counts(nodes=self._node_count(), now=now)
        sampled_ms = [entry.age_ms for entry in self._local.sample.entries(now=now)]
        return {
            "node": self._node,
            "incarnation": f"{self._local.incarnation:016x}",
            "version": self.version,
            "digest": self._store.digest.hex(),
            "source": self._store.source,
            "age_s": _age_s(self._store.applied_at, now),
            "confirmed": self._confirmed,
            "reader": self._is_current_reader(),
            "nodes": self._node_count(),
            "neighbours": [
                {
                    "node": found.name,
                    "address": found.address,
                    "connected": found.connected,
                    "version": found.version,
                    "age_s": _age_s(found.last_received_at, now),
                }
                for found in self._propagation.neighbours
            ],
            "rejected": [
                {
                    "version": entry.version,
                    "node": entry.node,
                    "object": entry.object_name,
                    "reason": entry.reason,
                    "age_s": _age_s(entry.rejected_at, now),
                }
                for entry in self._store.rejected
            ],
            "nodes_by_version": {str(number): counts[number] for number in sorted(counts)},
            "nodes_by_version_age_s": max(sampled_ms, default=0) / 1000.0,
            "zones": self._zone_counts(leaving=leaving, silent=silent),
            "leaving": leaving[:_MAX_LISTED_NAMES],
            "leaving_count": len(leaving),
            "silent": silent[:_MAX_LISTED_NAMES],
            "silent_count": len(silent),
            "control": {
                "bytes_per_s": round(bytes_per_s, 1),
                "messages_per_s": round(messages_per_s, 2),
                "payload_bytes_sent": self._meter.payload_sent,
                "payload_bytes_received": self._meter.payload_received,
                "messages_sent": self._meter.messages_sent,
                "messages_received": self._meter.messages_received,
                "estimated_bytes": self._meter.estimated_bytes,
                "connects": self._meter.connects,
                "failed_connects": self._meter.failed_connects,
            },
            "platform": {
                "reads": self._read_limit.admitted_count,
                "limit_per_s": round(self._read_limit.rate_per_s, 3),
                "read_age_s": _age_s(self._platform_reader.read_at, now),
                "failed_age_s": _age_s(self._platform_reader.failed_at, now),
                "list_age_s": _age_s(self._platform_reader.list_read_at, now),
            },
        }

    def _zone_counts(
        self, *, leaving: Sequence[str], silent: Sequence[str]
    ) -> dict[str, dict[str, int]]:
        """Returns the number of published, leaving and silent nodes by availability zone."""
        zones_by_name = self._directory.zones_by_name
        counts = {
            zone: {"nodes": 0, "leaving": 0, "silent": 0}
            for zone in sorted(set(zones_by_name.values()))
        }
        named: dict[str, Iterable[str]] = {
            "nodes": zones_by_name.keys(),
            "leaving": leaving,
            "silent": silent,
        }
        for figure, names in named.items():
            for name in names:
                if name in zones_by_name:
                    counts[zones_by_name[name]][figure] += 1
        return counts

    def _start_complete(self) -> bool:
        """Returns whether peers and platform were asked and the highest version seen is in force."""
        peers = self._propagation.neighbours
        # Once one neighbour answers, a single failed attempt at each other one is enough.
        attempts = 1 if any(found.connected for found in peers) else _MAX_START_ATTEMPTS
        peers_asked = all(found.connected or found.failed_attempts >= attempts for found in peers)
        platform_asked = (
            self._platform_reader.read_at is not None
            or self._platform_reader.failed_at is not None
        )
        return self.version > 0 and peers_asked and platform_asked and not self._propagation.behind

    def _after_apply(self) -> None:
        change = self._directory.apply(self._store.object_set)
        self._view.apply_published(
            {name: server.draining for name, server in change.servers_by_name.items()},
            removed=change.removed,
        )
        self._local.observe_self()
        if change.overlay_changed:
            self._overlay.apply(
                zones_by_name={
                    name: server.zone for name, server in change.servers_by_name.items()
                },
                removed=change.removed,
            )
            self._overlay_revision += 1
            self._set_neighbours()
            # The deltas after a snapshot are read next. Without the size of the fleet, each of them
            # waits 10 s once the initial tokens of the read limit are used up.
            self._update_read_limit()
        self._propagation.wake()
        self._confirm()
        if self._on_apply is not None:
            try:
                self._on_apply(self._store.object_set, self._store.version)
            except Exception:
                # The version is in force; an error of the callback must not end this task.
                _log.exception("fleet: on_apply failed for version %d", self._store.version)
        self._state_changed.set()

    def _set_neighbours(self) -> None:
        """Sets the neighbours from the overlay, and adds the seeds while none of them answers."""
        servers = self._directory.servers_by_name
        addresses = {servers[name].control_address: name for name in self._overlay.neighbours()}
        self._overlay_addresses = frozenset(addresses)
        if self._use_seeds or not addresses:
            for address in self._settings.control_seeds:
                addresses.setdefault(address, "")
        addresses.pop(self._settings.control_address, None)
        self._propagation.set_neighbours(addresses)

    def _overlay_neighbours(self) -> list[neighbour.Neighbour]:
        return [
            found
            for found in self._propagation.neighbours
            if found.address in self._overlay_addresses
        ]

    def _update_seed_use(self, now: float) -> None:
        """Drops the seeds once an overlay neighbour answers; uses them again if all are silent."""
        overlay_neighbours = self._overlay_neighbours()
        if any(found.connected for found in overlay_neighbours):
            use_seeds = False
        elif all(_is_silent(found, now) for found in overlay_neighbours):
            use_seeds = True
        else:
            return
        if use_seeds != self._use_seeds:
            self._use_seeds = use_seeds
            self._set_neighbours()

    def _on_contact(self, node: str) -> None:
        if self._view.has_queued_reports:
            self._reports_changed.set()
        if node != self._node:
            self._confirm()
            self._state_changed.set()

    def _confirm(self) -> None:
        """Marks the version as confirmed if no peer that answered knows of a higher one."""
        if self._confirmed or not self.version:
            return
        alone = len(self._directory.servers_by_name) <= 1 and not self._settings.control_seeds
        answered = any(found.version > 0 for found in self._propagation.neighbours)
        self._confirmed = alone or (answered and not self._propagation.behind)

    def _on_platform_read(self) -> None:
        self._confirm()
        self._state_changed.set()

    def _on_list(self, count: int) -> None:
        self._listed_vm_count = count
        self._reports_changed.set()
        self._update_read_limit()

    def _node_count(self) -> int:
        return len(self._directory.servers_by_name) or self._listed_vm_count or 1

    def _update_read_limit(self) -> None:
        nodes = len(self._directory.servers_by_name) or self._listed_vm_count
        if nodes:
            zones = len(set(self._directory.zones_by_name.values())) or 1
            self._read_limit.set_fleet_size(
                nodes=nodes,
                readers=readers.count(nodes=nodes, zones=zones),
                is_reader=self._is_current_reader(),
                now=time.monotonic(),
            )

    def _is_current_reader(self) -> bool:
        """Returns whether this node is a reader in the current epoch, cached by epoch and overlay."""
        key = (readers.epoch(wall_s=time.time()), self._overlay_revision)
        if key != self._reader_cache_key:
            zones_by_name = self._directory.zones_by_name
            self._reader_cache_key = key
            self._is_reader = readers.is_reader(
                name=self._node,
                names=zones_by_name,
                zones=len(set(zones_by_name.values())),
                epoch_number=key[0],
            )
            self._update_read_limit()
        return self._is_reader

    def _mode(self) -> platform_mode.PlatformMode:
        if self._is_current_reader():
            return platform_mode.PlatformMode.WATCH
        if not self.version or not self._propagation.neighbours:
            return platform_mode.PlatformMode.POLL
        now = time.monotonic()
        overlay_neighbours = self._overlay_neighbours()
        silent = sum(_is_silent(found, now) for found in overlay_neighbours)
        # A partition may contain no reader. Most links of a node in a small partition lead out of
        # it, so a node with half of its neighbours silent reads the platform itself.
        if 2 * silent >= len(overlay_neighbours):
            return platform_mode.PlatformMode.POLL
        return platform_mode.PlatformMode.OFF

    async def _tick_loop(self) -> None:
        last_tick_at = time.monotonic()
        last_rate_point_at = last_tick_at
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            now = time.monotonic()
            if now - last_tick_at > _TICK_INTERVAL_S + _MIN_PAUSE_S:
                _log.warning(
                    "fleet: process was paused for %.1f s", now - last_tick_at - _TICK_INTERVAL_S
                )
                self._view.observe_pause(now=now)
                self._propagation.wake(exchange=True)
            last_tick_at = now
            if now - last_rate_point_at >= _RATE_POINT_INTERVAL_S:
                last_rate_point_at = now
                self._meter.add_rate_point(now=now)
            self._update_seed_use(now)
            if self._view.has_queued_reports and not self._view.has_urgent_reports:
                # One message a second bounds the traffic when a zone or a third of the fleet is lost.
                self._propagation.wake_one()

    async def _report_loop(self) -> None:
        """Sends reports of leaving nodes to all neighbours at once.

        A first report waits at most 0.1 s for others, so 8 hops across
        10,000 nodes stay within the 3 s that invariant P5 allows. Further reports
        wait for a second, which bounds the traffic when many nodes leave.
        """
        while True:
            self._reports_changed.clear()
            if self._view.has_urgent_reports:
                await asyncio.sleep(self._generator.uniform(0.5, 1.0) * _URGENT_REPORT_DELAY_S)
                self._propagation.wake(reports=True)
                await asyncio.sleep(_URGENT_REPORT_INTERVAL_S)
            else:
                await self._reports_changed.wait()


def _is_silent(found: neighbour.Neighbour, now: float) -> bool:
    return (
        found.silent_since is not None and now - found.silent_since >= _PLATFORM_FALLBACK_AFTER_S
    )


def _age_s(at: float | None, now: float) -> float | None:
    return None if at is None else round(max(0.0, now - at), 3)
