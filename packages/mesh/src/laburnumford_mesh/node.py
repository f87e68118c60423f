"""Assembles, starts and stops the parts of a mesh node."""

import asyncio
import gc
import hashlib
import logging
import random
import secrets
import zlib
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from laburnumford_mesh import (
    clock,
    directory,
    dispatcher,
    edge,
    errors,
    event_log,
    frames,
    gossip,
    local_server,
    memory_watch,
    metrics,
    overflow_report,
    peer_listener,
    peers,
    record,
    server_entry,
    services,
    settings,
    store,
    store_sync,
    supervision,
    wire_names,
)
from laburnumford_mesh import limits as limits_module
from laburnumford_mesh.http import answer as answers
from laburnumford_mesh.http import buffer_budget, edge_connection, edge_server, request
from laburnumford_policy.placement import spread, stop_window

_LOG = logging.getLogger("laburnumford.mesh")
_GOSSIP_INTERVAL_S = 0.2
"""Seconds; with a fanout of three, all nodes learn within about 1 s that the store does not answer."""

_GOSSIP_FANOUT = 3
"""Peers that get each periodic digest, whatever the size of the fleet."""

_CHANGE_FANOUT = 4
"""Peers that get a digest as soon as a change arrives. Each of them sends it to as many, so that n
nodes know of the change after about log4(n) steps."""

_SWEEP_INTERVAL_S = 0.025
"""Seconds between two checks whether waiting requests can start because a slowdown has ended."""

_MIN_REPORT_INTERVAL_S = 0.03
"""Seconds between two load updates; a fifth of the 150 ms between changes of a server's speed."""

_MIN_DRAIN_S = 2.3
"""Seconds for which a stopping node keeps serving at least. Callers leave only after two failed
readiness checks, which are one second apart."""

_RELAY_DRAIN_S = 1.5
"""Seconds for which a stopping node keeps relaying requests of peers to the adjacent server. In a
rolling restart of the nodes that server is healthy, and without it the others carry its load."""

_GO_AWAY_BLOCK_S = 8.0
"""Seconds; longer than the grace period. The first digest of the restarted node ends the block."""

_SUSPECT_BLOCK_S = 0.3
"""Seconds; by then the stream has been replaced or answers again."""

_OPERATOR_BUFFER_BYTES = 2 * 1024 * 1024
"""Held for operators, whose listeners answer when the memory for callers is used up. A metrics page
has about 50 kB."""

_MAX_RECORDS_BYTES = 64 * 1024 * 1024
"""Bytes of the published values that another node sends: 10,000 entries of 500 bytes take 5 MB."""

_CALLER_DESCRIPTOR_SHARE = 0.85
"""Share of the descriptors in use above which callers are not accepted. The rest is left for
operators and for connections that the node opens."""

_NODE_ERROR_REASON = "node-error"
"""The node failed with an unexpected error, which its log has."""

_NO_VALUES_REASON = "no-configuration"
"""The node has started and has no published values yet."""

_COMPRESSION_LEVEL = 6
"""Level of zlib; shrinks configurations, which are JSON, to a tenth."""


class Node:
    """Runs one node, which is adjacent to a backend server.

    Args:
        own_settings: settings of this node.
        names: header field names shared with callers and servers.
        source: store with the published values.
        decode: decoder of published values.
        log: structured log.
        load_settings: reads the current settings.
    """

    def __init__(
        self,
        *,
        own_settings: settings.MeshSettings,
        names: wire_names.WireNames,
        source: store.Store,
        decode: directory.Decoder,
        log: event_log.EventLog,
        load_settings: Callable[[], settings.MeshSettings],
    ) -> None:
        self._settings = own_settings
        self._load_settings = load_settings
        self._source = source
        self._generator = random.Random(secrets.randbits(64))
        self._incarnation = secrets.randbits(62)
        self._stop = asyncio.Event()
        self._stop_requested_s = 0.0
        self._tasks: list[asyncio.Task[None]] = []
        self._metrics = metrics.Metrics()
        self._log = log
        self._budget = buffer_budget.of_process(own_settings.memory_bytes)
        self._memory_watch = memory_watch.MemoryWatch(budget=self._budget, log=self._log)
        self._directory = directory.Directory(
            decode=decode, log=self._log, on_change=self._apply_directory
        )
        self._sync = store_sync.StoreSync(
            source=source,
            rank=lambda: self._rank,
            on_records=self._apply_records,
            log=self._log,
            generator=self._generator,
        )
        self._services = services.Services(
            zone=own_settings.zone,
            server_address=own_settings.server_address,
            retry_budget=own_settings.retry_budget,
            generator=self._generator,
            link_mbps=own_settings.link_mbps,
        )
        self._overflow_report = overflow_report.OverflowReport(
            learned=self._services, log=self._log
        )
        self._local = local_server.LocalServer(
            address=own_settings.server_address,
            names=names,
            log=self._log,
            limits=own_settings.read_limits,
            budget=self._budget,
            on_load_change=self._send_reports,
            share_counters=self._metrics if own_settings.fair_share else None,
            cold_start_bound=own_settings.cold_start,
        )
        self._peers = peers.Peers(
            own_ip=own_settings.ip,
            own_zone=own_settings.zone,
            port=own_settings.peer_port,
            incarnation=self._incarnation,
            generator=self._generator,
            budget=self._budget,
            on_pull_response=self._handle_pull_response,
            on_go_away=self._handle_go_away,
            on_suspect=self._handle_suspect,
            on_round_trip=self._services.observe_round_trip,
        )
        dispatch = dispatcher.Dispatcher(
            local=self._local,
            server_address=own_settings.server_address,
            peers=self._peers,
            services=self._services,
            names=names,
            log=self._log,
            counters=self._metrics,
            own_ip=own_settings.ip,
        )
        self._edge = edge.Edge(
            own_service=lambda: self._settings.service,
            current_configuration=lambda: self._directory.configuration,
            values_age_s=self._sync.age_s,
            dispatcher=dispatch,
            names=names,
            log=self._log,
            counters=self._metrics,
            generator=self._generator,
        )
        self._listener = peer_listener.PeerListener(
            address=f"{own_settings.ip}:{own_settings.peer_port}",
            incarnation=self._incarnation,
            run=self._run_for_peer,
            answer_pull=self._answer_pull,
            refuse=self._local.refusal,
            budget=self._budget,
        )
        self._gossip = gossip.Gossip(on_frame=self._handle_datagram)
        self._operator_budget = buffer_budget.BufferBudget(max_bytes=_OPERATOR_BUFFER_BYTES)
        self._edge_server = self._make_server(
            own_settings.edge_address,
            self._edge.handle,
            max_connections=own_settings.max_connections,
            budget=self._budget,
            descriptor_share=_CALLER_DESCRIPTOR_SHARE,
        )
        self._ready_server = self._make_server(own_settings.ready_address, self._answer_ready)
        self._metrics_server = self._make_server(
            own_settings.metrics_address, self._answer_metrics
        )
        self._incarnation_by_ip: dict[str, int] = {}
        self._last_report_s = 0.0
        self._rank = 0

    def server_count(self, service: str) -> int:
        """Returns the number of servers of a service that may get requests."""
        return sum(entry.service == service for entry in self._directory.usable_servers())

    def request_stop(self) -> None:
        """Makes `run` drain and return; may be called as a signal handler of the event loop."""
        if not self._stop.is_set():
            self._stop_requested_s = clock.now()
        self._stop.set()

    def request_reload(self) -> None:
        """Reads the settings again; may be called as a signal handler of the event loop."""
        try:
            loaded = self._load_settings()
        except errors.MeshError as error:
            self._log.write("settings_rejected", error=str(error))
            return
        self._log.write("reload", changed=loaded != self._settings, service=loaded.service)
        self._settings = loaded

    async def run(self) -> None:
        """Serves until a stop is requested, then drains and closes the node."""
        await self._start()
        await self._stop.wait()
        await self._drain()

    async def _start(self) -> None:
        own = self._settings
        self._log.write("start", incarnation=self._incarnation, service=own.service)
        await self._listener.start()
        await self._gossip.start(f"{own.ip}:{own.peer_port}")
        await self._metrics_server.start()
        await self._ready_server.start()
        await self._edge_server.start()
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(supervision.keep_running(run, name=name))
            for name, run in (
                ("reading of the store", self._sync.run),
                ("gossip", self._gossip_loop),
                ("sweep", self._sweep),
                ("check of the peers", self._peers.run),
            )
        ]
        gc.collect()
        gc.freeze()

    async def _drain(self) -> None:
        """Lets callers leave, waits for requests in flight and closes all parts."""
        started_s = self._stop_requested_s
        window = stop_window.StopWindow(started_s=started_s, grace_s=self._settings.grace_s)
        self._edge.begin_stop(window)
        self._local.begin_stop(window)
        self._log.write("stopping", in_work=self._edge_server.in_flight_count)
        while (now := clock.now()) < window.closes_s:
            self._edge_server.begin_drain()
            if now - started_s >= _RELAY_DRAIN_S and not self._local.shutting_down:
                self._local.shutting_down = True
                self._listener.send_go_away(self._local.server_id)
            idle = self._edge_server.is_idle() and not self._listener.in_flight_count
            if idle and now - started_s >= _MIN_DRAIN_S:
                break
            await asyncio.sleep(0.05)
        self._log.write(
            "stop", in_work=self._edge_server.in_flight_count, took_s=clock.now() - started_s
        )
        # Nothing is awaited between the check whether the node is idle and the end of reading, so
        # that no request is read which nobody answers.
        self._edge_server.close_connections()
        await self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (self._edge_server, self._ready_server, self._metrics_server):
            await server.close()
        await self._peers.close()
        self._gossip.close()
        self._local.close()
        self._source.close()

    # listeners

    def _make_server(
        self,
        address: str,
        handler: edge_connection.Handler,
        *,
        max_connections: int | None = None,
        budget: buffer_budget.BufferBudget | None = None,
        descriptor_share: float = 1.0,
    ) -> edge_server.EdgeServer:
        """Returns a listener; without limits of its own, one for operators."""
        own = self._settings
        descriptors = own.max_descriptors
        return edge_server.EdgeServer(
            address=address,
            handler=handler,
            limits=self._limits,
            max_connections=max_connections or own.max_operator_connections,
            max_descriptors=None if descriptors is None else int(descriptors * descriptor_share),
            budget=budget or self._operator_budget,
            log=self._log,
        )

    def _limits(self) -> limits_module.Limits:
        current = self._directory.configuration
        return limits_module.Limits() if current is None else current.limits

    async def _answer_ready(self, received: request.Request) -> answers.Answer:  # noqa: ARG002
        ready = self._directory.configuration is not None and not self._stop.is_set()
        return answers.Answer(
            status=200 if ready else 503,
            reason=b"OK" if ready else b"Service Unavailable",
            fields=(),
            body=b"",
        )

    async def _answer_metrics(self, received: request.Request) -> answers.Answer:  # noqa: ARG002
        current = self._directory.configuration
        text = self._metrics.render(
            {
                "zones_evacuated": len(self._directory.evacuated_zones),
                "version": 0 if current is None else current.version,
                "values_age_seconds": min(self._sync.age_s(), 1e6),
                "store_era": self._sync.era,
                "store_reads_total": self._sync.read_count,
                "value_pulls_total": self._sync.pull_count,
                "requests_in_work": self._edge_server.in_flight_count,
                "caller_connections": self._edge_server.connection_count,
                "server_cold": float(self._local.cold),
                "caller_connections_refused_total": self._edge_server.refused_count,
                "slow_readers_closed_total": self._edge_server.closed_reader_count,
                "answers_dropped_total": self._edge_server.dropped_answer_count,
                "server_running": self._local.running,
                "server_waiting": self._local.waiting,
                "server_runs_total": self._local.run_count,
                "server_probes_total": self._local.probe_count,
                "server_fields_malformed_total": self._local.malformed_field_count,
                "server_connections_opened_total": self._local.opened_connection_count,
                "reader": float(self._rank == 0),
                **self._overflow_report.gauges(),
            }
            | self._memory_watch.gauges()
        )
        return answers.Answer(
            status=200,
            reason=b"OK",
            fields=[(b"content-type", b"text/plain")],
            body=text.encode(),
        )

    async def _run_for_peer(self, frame: frames.Request | frames.Offer) -> Any:
        if not self._sync.revision:
            # The first published values may say that the zone of the server is evacuated.
            return self._local.refusal(frame.call_id, _NO_VALUES_REASON)
        try:
            return await self._local.run(frame)
        except Exception:
            _LOG.exception("cannot run call %d of another node", frame.call_id)
        if isinstance(frame, frames.Offer):
            return self._local.refusal(frame.call_id, _NODE_ERROR_REASON)
        return frames.UnknownOutcome(frame.call_id, _NODE_ERROR_REASON, self._local.report())

    # published values

    def _apply_records(self, records: Sequence[record.Record], after_outage: bool) -> None:
        self._directory.apply(records, after_outage=after_outage)
        self._gossip_digest(_CHANGE_FANOUT)

    def _apply_directory(self) -> None:
        entries = self._directory.servers()
        own = self._own_entry(self._directory.configured_servers())
        self._apply_cold_start()
        if own is not None:
            current = self._directory.configuration
            paths = {} if current is None else current.health_path_by_service
            self._local.apply(
                server_id=own.server_id,
                slots=own.slots,
                health_path=paths.get(own.service, ""),
                cold=own.cold_remaining_s > 0,
                started_ms=own.started_ms,
            )
        if self._local.server_id:
            self._local.observe_draining(draining=own is None or own.draining)
        self._apply_evacuations(own)
        self._peers.apply({entry.ip: entry.zone for entry in entries})
        self._services.apply(self._directory.usable_servers(), node_count=self._peers.count + 1)
        self._rank = self._compute_rank(entries)

    def _apply_evacuations(self, own: server_entry.ServerEntry | None) -> None:
        evacuated_zones = self._directory.evacuated_zones
        own_zones = {self._settings.zone} if own is None else {self._settings.zone, own.zone}
        self._local.observe_evacuation(evacuated=not own_zones.isdisjoint(evacuated_zones))
        self._services.set_evacuated_services(self._directory.evacuated_services())

    def _apply_cold_start(self) -> None:
        current = self._directory.configuration
        if current is not None:
            self._local.set_cold_start(current.cold_start_by_service.get(self._settings.service))

    def _own_entry(
        self, entries: Sequence[server_entry.ServerEntry]
    ) -> server_entry.ServerEntry | None:
        own_entries = [each for each in entries if each.address == self._settings.server_address]
        return max(own_entries, key=lambda entry: entry.recency_key, default=None)

    def _compute_rank(self, entries: Sequence[server_entry.ServerEntry]) -> int:
        """Returns the position of this VM in an order that is the same on all nodes."""
        ips = {entry.ip for entry in entries if not entry.draining}
        ips.add(self._settings.ip)
        ordered = sorted(ips, key=lambda ip: hashlib.blake2b(ip.encode()).digest())
        return ordered.index(self._settings.ip)

    def _answer_pull(self, pull: frames.Pull) -> frames.PullResponse:
        records, is_snapshot = self._sync.changes_since(pull.revision, pull.era)
        return frames.PullResponse(
            self._sync.revision,
            min(self._sync.age_s(), 1e6),
            is_snapshot,
            zlib.compress(msgspec.msgpack.encode(records), _COMPRESSION_LEVEL),
            self._sync.era,
        )

    def _handle_pull_response(self, ip: str, response: frames.PullResponse) -> None:
        try:
            records = frames.decode_records(_decompress(response.compressed_records))
        except (zlib.error, errors.DecodeError) as error:
            self._log.write("values_rejected", peer=ip, error=str(error))
            return
        self._sync.apply_peer_records(
            records,
            response.revision,
            response.age_s,
            is_snapshot=response.is_snapshot,
            peer=ip,
            era=response.era,
        )

    # messages between nodes

    def _handle_datagram(self, ip: str, frame: Any) -> None:
        if isinstance(frame, frames.LoadUpdate):
            self._services.observe_load(frame.load)
        elif isinstance(frame, frames.Digest):
            self._handle_digest(ip, frame)

    def _handle_digest(self, ip: str, frame: frames.Digest) -> None:
        self._peers.observe_datagram(ip)
        if self._incarnation_by_ip.get(ip) != frame.incarnation:
            self._incarnation_by_ip[ip] = frame.incarnation
            self._services.unblock(ip)
        if self._sync.observe_peer_revision(
            frame.revision, frame.age_s, frame.history_revision, frame.era
        ):
            if self._sync.should_pull(frame.revision, frame.era):
                self._peers.get(ip).pull(self._sync.wanted())
        elif self._should_reply(frame):
            self._gossip.send((ip, self._settings.peer_port), self._digest())

    def _should_reply(self, frame: frames.Digest) -> bool:
        if frame.era != self._sync.era:
            return self._sync.era > frame.era
        return spread.should_reply(
            own_revision=self._sync.revision,
            own_age_s=self._sync.age_s(),
            peer_revision=frame.revision,
            peer_age_s=frame.age_s,
        )

    def _handle_go_away(self, ip: str) -> None:
        self._services.block(ip, _GO_AWAY_BLOCK_S)

    def _handle_suspect(self, ip: str) -> None:
        self._log.write("peer_silent", peer=ip)
        self._services.block(ip, _SUSPECT_BLOCK_S)

    def _digest(self) -> frames.Digest:
        return frames.Digest(
            self._incarnation,
            self._sync.revision,
            min(self._sync.age_s(), 1e6),
            self._sync.history_revision,
            self._sync.era,
        )

    def _gossip_digest(self, count: int) -> None:
        digest = self._digest()
        for ip in self._peers.sample(count):
            self._gossip.send((ip, self._settings.peer_port), digest)

    async def _gossip_loop(self) -> None:
        while True:
            if not self._stop.is_set():
                self._gossip_digest(_GOSSIP_FANOUT)
            self._overflow_report.check()
            await asyncio.sleep(_GOSSIP_INTERVAL_S)

    def _send_reports(self) -> None:
        now = clock.now()
        if now - self._last_report_s < _MIN_REPORT_INTERVAL_S:
            return
        self._last_report_s = now
        report = frames.LoadUpdate(self._local.report())
        for ip in self._listener.report_targets():
            self._gossip.send((ip, self._settings.peer_port), report)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self._local.sweep()
            self._listener.sweep()
            self._memory_watch.sweep()
            self._sync.sweep()
            self._directory.sweep()


def _decompress(compressed: bytes) -> bytes:
    """Returns decompressed bytes.

    Raises:
        zlib.error: the bytes are damaged or decompress to more than `_MAX_RECORDS_BYTES`.
    """
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(compressed, _MAX_RECORDS_BYTES)
    if not decompressor.eof:
        raise zlib.error(f"values are incomplete or larger than {_MAX_RECORDS_BYTES} bytes")
    return decompressed
