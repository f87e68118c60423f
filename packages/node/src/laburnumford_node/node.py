"""Assembly, start and shutdown of one node."""

import asyncio
import dataclasses
import gc
import logging
import random
import secrets
import time
from collections.abc import Mapping
from typing import Any

from laburnumford_fleet import fleet as fleets
from laburnumford_node import (
    adjacent,
    dispatch,
    edge,
    exposure,
    metrics,
    own_policies,
    pages,
    peer,
    peer_client,
    prober,
    problem,
    service_state,
    stall_clock,
    ticket_handler,
    tracing,
    view,
)
from laburnumford_node.http import buffer_limit, pool, server, server_connection
from laburnumford_objects import node_settings, object_set
from laburnumford_policy.admission import admission
from laburnumford_policy.once import ticket_store
from laburnumford_policy.retry import cause

_LOG = logging.getLogger("laburnumford.node")
_HOUSEKEEPING_INTERVAL_S = 0.5
_DRAIN_NOTICE_S = 1.0
"""Time for which the listeners stay open after the node has begun to drain. Peers learn of the drain
from refusals, and requests in transit are refused instead of reset."""


class Node:
    """Creates, starts and stops the components of a node.

    Args:
        settings: settings of the node.
    """

    def __init__(self, settings: node_settings.NodeSettings) -> None:
        self._settings = settings
        self._clock = time.monotonic
        self._generator = random.Random(settings.seed)
        self._view_builder = view.ViewBuilder()
        self._view: view.View | None = None
        self._drain_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._policy_finder = own_policies.OwnPolicyFinder(server_name=settings.backend_server)
        self._policies: own_policies.OwnPolicies | None = None
        self._metrics = metrics.Metrics()
        self._stall_clock = stall_clock.StallClock(clock=self._clock)
        self._fleet = fleets.Fleet(
            settings=settings, generator=self._generator, on_apply=self._apply_version
        )
        self._tracer = tracing.Tracer(
            node=settings.backend_server,
            path=settings.trace.path,
            sample_ratio=settings.trace.sample_ratio,
            # Nodes with the same seed must not give different calls the same trace id.
            generator=random.Random(secrets.randbits(64)),
        )
        self._build_request_path()
        self._pages = pages.Pages(
            address=settings.operator_address,
            status=self.status,
            explain=self.explain,
            counters=self._metrics,
        )

    def _build_request_path(self) -> None:
        settings = self._settings
        limits = settings.limits
        clock = self._clock
        self._buffers = buffer_limit.BufferLimit(
            call_limit_bytes=limits.buffer_bytes, process_limit_bytes=limits.buffer_total_bytes
        )
        self._backend_connections = pool.Pool(
            clock=clock,
            connect_timeout_s=limits.connect_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            buffers=self._buffers,
        )
        self._peer_connections = pool.Pool(
            clock=clock,
            connect_timeout_s=limits.connect_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            on_connect=peer_client.send_hello,
            buffers=self._buffers,
        )
        # The published number of slots replaces this initial one when a version is in force.
        self._adjacent = adjacent.AdjacentServer(
            address=settings.backend_address,
            admission=admission.Admission(slots=1, limiter_name=settings.limiter),
            connections=self._backend_connections,
            clock=clock,
        )
        self._prober = prober.Prober(
            server=self._adjacent,
            address=settings.backend_address,
            path=settings.health_path,
            connections=self._backend_connections,
            generator=self._generator,
            clock=clock,
        )
        peers = peer_client.PeerClient(connections=self._peer_connections, clock=clock)
        self._service_states = service_state.ServiceStates(
            chooser_name=settings.chooser,
            zone_name=settings.zone,
            server_name=settings.backend_server,
            current_view=self._current_view,
            usable=self._fleet.live,
            generator=self._generator,
            clock=clock,
        )
        dispatcher = dispatch.Dispatcher(
            server_name=settings.backend_server,
            server=self._adjacent,
            peers=peers,
            states=self._service_states,
            current_view=self._current_view,
            on_peer_version=self._observe_peer_version,
            on_peer_result=self._observe_peer_result,
            counters=self._metrics,
            clock=clock,
        )
        incarnation = self._fleet.incarnation
        self._tickets = ticket_handler.TicketHandler(
            node=settings.backend_server,
            incarnation=incarnation,
            store=ticket_store.TicketStore(node=settings.backend_server, incarnation=incarnation),
            dispatch=dispatcher.dispatch,
            peers=peers,
            current_view=self._current_view,
            clock=clock,
        )
        self._edge = edge.EdgeListener(
            dispatcher=dispatcher,
            tickets=self._tickets,
            current_view=lambda: self._view,
            tracer=self._tracer,
            counters=self._metrics,
            stalls=self._stall_clock,
            clock=clock,
        )
        self._peer = peer.PeerListener(
            node=settings.backend_server,
            incarnation=f"{incarnation:016x}",
            server=self._adjacent,
            owner_handler=self._edge.handle_as_owner,
            version=lambda: self._fleet.version,
            on_peer_version=self._observe_peer_version,
            tracer=self._tracer,
            clock=clock,
        )
        self._edge_server = self._create_server(settings.edge_address, self._edge.handle)
        self._peer_server = self._create_server(settings.peer_address, self._peer.handle)

    def _create_server(self, address: str, handler: server_connection.Handler) -> server.Server:
        limits = self._settings.limits
        return server.Server(
            address=address,
            handler=handler,
            on_bad_message=problem.answer_bad_message,
            max_connections=limits.edge_connections,
            max_header_bytes=limits.header_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
            clock=self._clock,
            buffers=self._buffers,
        )

    async def run(self) -> None:
        """Runs the node until `request_drain` is called, then drains it."""
        await self.start()
        _LOG.info("node: ready")
        await self._drain_requested.wait()
        await self.drain()

    async def start(self) -> None:
        """Waits for the version in force, then opens the listeners for requests."""
        for text in exposure.warnings(self._settings):
            _LOG.warning("node: %s", text)
        await self._pages.start()
        await self._fleet.start()
        self._stall_clock.begin()
        await self._peer_server.start()
        await self._edge_server.start()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_housekeeping()),
            loop.create_task(self._prober.run()),
            loop.create_task(self._stall_clock.run()),
        ]
        # The objects created so far live as long as the process; later collections skip them.
        gc.collect()
        gc.freeze()

    def request_drain(self) -> None:
        """Makes `run` drain the node; can be used as a signal handler of the event loop."""
        self._drain_requested.set()

    async def drain(self) -> None:
        """Refuses new requests, waits for those in flight up to the grace period, and closes."""
        _LOG.info("node: draining")
        self._edge.draining = True
        self._tickets.draining = True
        self._adjacent.drain()
        self._fleet.leave()
        published = self._policies
        grace_s = self._settings.grace_s if published is None else published.grace_s
        await asyncio.sleep(min(_DRAIN_NOTICE_S, grace_s))
        reset_counts = await asyncio.gather(
            self._edge_server.drain(grace_s), self._peer_server.drain(grace_s)
        )
        if sum(reset_counts):
            _LOG.error(
                "node: reset %d connections in use after a grace period of %g s",
                sum(reset_counts),
                grace_s,
            )
        await self.close()
        _LOG.info("node: stopped")

    async def close(self) -> None:
        """Closes all components without waiting for requests in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._edge_server.close()
        await self._peer_server.close()
        self._backend_connections.close()
        self._peer_connections.close()
        await self._fleet.close()
        await self._pages.close()
        self._tracer.close()

    def status(self) -> dict[str, Any]:
        """Returns the status document of the operators' pages."""
        load = self._adjacent.report()
        return {
            "node": self._settings.name,
            "backend_server": self._settings.backend_server,
            "workspace": self._settings.workspace,
            "zone": self._settings.zone,
            "chooser": self._settings.chooser,
            "draining": self._edge.draining,
            "server": {
                **dataclasses.asdict(load),
                "draining": self._adjacent.draining,
                "calls": self._adjacent.calls_count,
                "last_answer_age_s": self._last_answer_age_s(),
            },
            "measuring": self._prober.status(),
            "stalls": self._stall_clock.stalls_count,
            "buffers": {
                "held_bytes": self._buffers.held_bytes,
                "pauses": self._buffers.pauses_count,
            },
            "connections": {
                "edge": self._edge_server.connection_count,
                "peer": self._peer_server.connection_count,
                "refused": self._edge_server.refused_connections,
                "stale_requests": self._peer.stale_requests_count,
            },
            "calls": self._metrics.snapshot(),
            "retry_budgets": {
                service: {
                    "admitted": _by_cause(state.retry_budget.admitted_by_cause),
                    "denied": _by_cause(state.retry_budget.denied_by_cause),
                }
                for service, state in sorted(self._service_states.states_by_service().items())
            },
            "fleet": self._fleet.status(),
        }

    def explain(self, service: str) -> list[dict[str, Any]] | None:
        """Returns one row per backend server of a service, or None if the service is unknown."""
        if self._view is None or self._view.servers_of(service) is None:
            return None
        rows = self._service_states.state(service).chooser.explain(self._clock())
        return [dataclasses.asdict(row) for row in rows]

    def _last_answer_age_s(self) -> float | None:
        """Returns the seconds since the last answer of the adjacent server, None without requests."""
        if not self._adjacent.calls_count:
            return None
        return round(self._clock() - self._adjacent.last_answer_s, 3)

    def _current_view(self) -> view.View:
        if self._view is None:
            raise RuntimeError("no version is in force")
        return self._view

    def _apply_version(self, objects: object_set.ObjectSet, version: int) -> None:
        self._view = self._view_builder.build(objects, version)
        self._policies = self._policy_finder.find(objects)
        adjacent_server = self._view.servers_by_name.get(self._settings.backend_server)
        if adjacent_server is not None:
            self._adjacent.apply_limits(
                slots=adjacent_server.slots, queue_limit=self._policies.queue_limit or 0
            )
        self._prober.apply(self._policies.measuring)
        self._service_states.apply()
        _LOG.info("node: version %d in force", version)

    def _observe_peer_version(self, value: bytes) -> None:
        if value.isdigit() and len(value) <= 18:
            self._fleet.observe_peer_version("", int(value))

    def _observe_peer_result(
        self, name: str, answered: bool, draining: bool, started_s: float
    ) -> None:
        self._fleet.observe_call(name, answered=answered, draining=draining, started_at=started_s)

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL_S)
            self._backend_connections.sweep()
            self._peer_connections.sweep()
            if self._view is not None:
                self._service_states.apply()
                self._adjacent.leaving = self._fleet.leaving


def _by_cause(counts: Mapping[cause.Cause, int]) -> dict[str, int]:
    return {each.value: count for each, count in counts.items()}
