"""One mesh node: its parts, their start and their end."""

import asyncio
import gc
import hashlib
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
    metrics,
    peer_listener,
    peers,
    record,
    server_entry,
    services,
    settings,
    store,
    store_sync,
    wire_names,
)
from laburnumford_mesh import limits as limits_module
from laburnumford_mesh.http import answer as answers
from laburnumford_mesh.http import edge_server, request

_BEACON_INTERVAL_S = 0.2
"""Seconds; with three peers each, news of a silent store reaches all in about a second."""

_BEACON_PEERS = 3
"""Peers told each time, whatever the size of the fleet."""

_NEWS_PEERS = 4
"""Peers told at once of a change. Each of them tells as many, so that n nodes know after
about log4(n) steps."""

_SWEEP_INTERVAL_S = 0.025
"""Seconds; held work looks for the end of a slow spell this often."""

_REPORT_INTERVAL_S = 0.03
"""Seconds; a fifth of the 150 ms between changes of speed."""

_STOP_LISTENING_S = 2.3
"""Two readiness checks a second apart have to fail before callers stay away."""

_SERVE_ON_S = 1.5
"""A stopping node goes on relaying to the server beside it for this long: in a rolling restart
of the nodes that server is well, and without it the others carry its load."""

_LAST_CALL_SHARE = 0.5
"""Share of the grace time after which a stopping node refuses new requests. Callers that hold
their connections send on until the process is gone, and what runs then needs time to end."""

_STOP_MARGIN_S = 0.5
"""Seconds before the grace time ends, for closing what is left."""

_GOODBYE_BLOCK_S = 8.0
"""Seconds; longer than the grace time. The beacon of the next start ends it."""

_SUSPECT_BLOCK_S = 0.3
"""Seconds until the stream has been replaced or answers again."""

_BODY_MEMORY_SHARE = 0.25
"""Share of the memory; bodies are held by two nodes and in socket buffers."""

_MIN_COMPRESS = 6
"""Level of zlib; configurations are JSON and shrink to a tenth."""


class Node:
    """Assembles the parts of a node.

    Args:
        own: settings.
        names: header field names shared with callers and servers.
        source: the store.
        decode: decoder of published values.
        reload: returns the settings as they are now.
    """

    def __init__(
        self,
        *,
        own: settings.MeshSettings,
        names: wire_names.WireNames,
        source: store.Store,
        decode: Callable[[event_log.EventLog], directory.Decoder],
        reload: Callable[[], settings.MeshSettings],
    ) -> None:
        self._settings = own
        self._reload = reload
        self._source = source
        self._generator = random.Random(secrets.randbits(64))
        self._incarnation = secrets.randbits(62)
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._metrics = metrics.Metrics()
        self._log = event_log.EventLog(node=own.node)
        self._directory = directory.Directory(
            decode=decode(self._log), log=self._log, on_change=self._apply_directory
        )
        self._sync = store_sync.StoreSync(
            source=source,
            rank=lambda: self._rank,
            on_records=self._apply_records,
            log=self._log,
            generator=self._generator,
        )
        self._services = services.Services(
            zone=own.zone,
            server_address=own.server_address,
            retry_budget=own.repeat_budget,
            generator=self._generator,
        )
        self._local = local_server.LocalServer(
            address=own.server_address,
            names=names,
            log=self._log,
            on_load_change=self._send_reports,
        )
        self._peers = peers.Peers(
            own_ip=own.ip,
            own_zone=own.zone,
            port=own.peer_port,
            incarnation=self._incarnation,
            generator=self._generator,
            on_values=self._take_values,
            on_goodbye=self._take_goodbye,
            on_suspect=self._take_suspicion,
        )
        dispatch = dispatcher.Dispatcher(
            local=self._local,
            server_address=own.server_address,
            peers=self._peers,
            services=self._services,
            log=self._log,
            counters=self._metrics,
        )
        self._edge = edge.Edge(
            service=lambda: self._settings.service,
            current_configuration=lambda: self._directory.configuration,
            values_age_s=self._sync.age_s,
            dispatcher=dispatch,
            names=names,
            log=self._log,
            counters=self._metrics,
            generator=self._generator,
        )
        self._listener = peer_listener.PeerListener(
            address=f"{own.ip}:{own.peer_port}",
            incarnation=self._incarnation,
            run=self._run_for_peer,
            values_since=self._values_since,
        )
        self._gossip = gossip.Gossip(on_frame=self._take_datagram)
        self._edge_server = self._server(own.edge_address, self._edge.handle)
        self._ready_server = self._server(own.ready_address, self._answer_ready)
        self._metrics_server = self._server(own.metrics_address, self._answer_metrics)
        self._incarnation_by_ip: dict[str, int] = {}
        self._reported_s = 0.0
        self._rank = 0

    def server_count(self, service: str) -> int:
        """Returns how many servers of a service may get requests."""
        return sum(entry.service == service for entry in self._directory.usable_servers())

    def request_stop(self) -> None:
        """Asks `run` to end; safe as a signal handler of the event loop."""
        self._stop.set()

    def request_reload(self) -> None:
        """Reads the settings again; safe as a signal handler of the event loop."""
        try:
            found = self._reload()
        except errors.MeshError as error:
            self._log.write("settings_rejected", error=str(error))
            return
        self._log.write("reload", changed=found != self._settings, service=found.service)
        self._settings = found

    async def run(self) -> None:
        """Runs until a stop is requested and the work in flight has ended."""
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
            loop.create_task(self._sync.run()),
            loop.create_task(self._send_beacons()),
            loop.create_task(self._sweep()),
            loop.create_task(self._peers.run()),
        ]
        gc.collect()
        gc.freeze()

    async def _drain(self) -> None:
        """Turns callers away, ends the work in flight and closes everything."""
        started_s = clock.now()
        self._log.write("stopping", in_work=self._edge_server.in_flight_count)
        until_s = started_s + max(self._settings.grace_s - _STOP_MARGIN_S, 0.5)
        while (now := clock.now()) < until_s:
            self._edge_server.begin_drain()
            self._edge.stopping = now - started_s >= _LAST_CALL_SHARE * self._settings.grace_s
            if now - started_s >= _SERVE_ON_S and not self._local.shutting_down:
                self._local.shutting_down = True
                self._listener.say_goodbye(self._local.server_id)
            quiet = self._edge_server.is_idle() and not self._listener.in_work
            if quiet and now - started_s >= _STOP_LISTENING_S:
                break
            await asyncio.sleep(0.05)
        self._log.write(
            "stop", in_work=self._edge_server.in_flight_count, took_s=clock.now() - started_s
        )
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in (self._edge_server, self._ready_server, self._metrics_server):
            await server.close()
        await self._listener.close()
        await self._peers.close()
        self._gossip.close()
        self._local.close()
        self._source.close()

    # listeners

    def _server(self, address: str, handler: Any) -> edge_server.EdgeServer:
        own = self._settings
        return edge_server.EdgeServer(
            address=address,
            handler=handler,
            limits=self._limits,
            max_connections=own.max_connections,
            max_buffer_bytes=int(own.memory_bytes * _BODY_MEMORY_SHARE),
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
                "version": 0 if current is None else current.version,
                "values_age_seconds": min(self._sync.age_s(), 1e6),
                "store_reads_total": self._sync.reads_count,
                "value_pulls_total": self._sync.pulls_count,
                "requests_in_work": self._edge_server.in_flight_count,
                "caller_connections": self._edge_server.connection_count,
                "server_running": self._local.running,
                "server_waiting": self._local.waiting,
                "server_runs_total": self._local.run_count,
                "server_probes_total": self._local.probe_count,
                "server_connections_opened_total": self._local.opened_connection_count,
                "reader": float(self._rank == 0),
            }
        )
        return answers.Answer(
            status=200,
            reason=b"OK",
            fields=[(b"content-type", b"text/plain")],
            body=text.encode(),
        )

    async def _run_for_peer(self, frame: frames.Request | frames.Offer) -> Any:
        return await self._local.run(frame)

    # published values

    def _apply_records(self, records: Sequence[record.Record], after_outage: bool) -> None:
        self._directory.apply(records, after_outage=after_outage)
        self._tell_news(_NEWS_PEERS)

    def _apply_directory(self) -> None:
        entries = self._directory.servers()
        own = self._own_entry(entries)
        if self._local.server_id:
            self._local.observe_draining(draining=own is None or own.draining)
        if own is not None:
            current = self._directory.configuration
            paths = {} if current is None else current.health_path_by_service
            self._local.apply(
                server_id=own.server_id,
                slots=own.slots,
                health_path=paths.get(own.service, ""),
            )
        self._peers.apply({entry.ip: entry.zone for entry in entries})
        self._services.apply(self._directory.usable_servers(), node_count=self._peers.count + 1)
        self._rank = self._find_rank(entries)

    def _own_entry(
        self, entries: Sequence[server_entry.ServerEntry]
    ) -> server_entry.ServerEntry | None:
        found = [each for each in entries if each.address == self._settings.server_address]
        return max(found, key=lambda entry: entry.recency_key, default=None)

    def _find_rank(self, entries: Sequence[server_entry.ServerEntry]) -> int:
        """Returns the place of this VM in an order that all nodes compute alike."""
        ips = {entry.ip for entry in entries if not entry.draining}
        ips.add(self._settings.ip)
        ordered = sorted(ips, key=lambda ip: hashlib.blake2b(ip.encode()).digest())
        return ordered.index(self._settings.ip)

    def _values_since(self, revision: int) -> frames.Values:
        records, whole = self._sync.changes_since(revision)
        return frames.Values(
            self._sync.revision,
            min(self._sync.age_s(), 1e6),
            whole,
            zlib.compress(msgspec.msgpack.encode(records), _MIN_COMPRESS),
        )

    def _take_values(self, ip: str, values: frames.Values) -> None:
        try:
            records = frames.decode_records(zlib.decompress(values.records))
        except (zlib.error, msgspec.MsgspecError) as error:
            self._log.write("values_rejected", peer=ip, error=str(error))
            return
        self._sync.apply_peer(records, values.revision, values.age_s, whole=values.whole)

    # messages between nodes

    def _take_datagram(self, ip: str, frame: Any) -> None:
        if isinstance(frame, frames.Report):
            self._services.observe_load(frame.load)
        elif isinstance(frame, frames.Beacon):
            self._take_beacon(ip, frame)

    def _take_beacon(self, ip: str, frame: frames.Beacon) -> None:
        self._peers.observe_heard(ip)
        if self._incarnation_by_ip.get(ip) != frame.incarnation:
            self._incarnation_by_ip[ip] = frame.incarnation
            self._services.unblock(ip)
        if self._sync.observe_peer(frame.revision, frame.age_s):
            self._peers.get(ip).pull(self._sync.revision)
        elif frame.revision < self._sync.revision:
            self._gossip.send((ip, self._settings.peer_port), self._beacon())

    def _take_goodbye(self, ip: str) -> None:
        self._services.block(ip, _GOODBYE_BLOCK_S)

    def _take_suspicion(self, ip: str) -> None:
        self._log.write("peer_silent", peer=ip)
        self._services.block(ip, _SUSPECT_BLOCK_S)

    def _beacon(self) -> frames.Beacon:
        return frames.Beacon(self._incarnation, self._sync.revision, min(self._sync.age_s(), 1e6))

    def _tell_news(self, count: int) -> None:
        beacon = self._beacon()
        for ip in self._peers.sample(count):
            self._gossip.send((ip, self._settings.peer_port), beacon)

    async def _send_beacons(self) -> None:
        while True:
            if not self._stop.is_set():
                self._tell_news(_BEACON_PEERS)
            await asyncio.sleep(_BEACON_INTERVAL_S)

    def _send_reports(self) -> None:
        now = clock.now()
        if now - self._reported_s < _REPORT_INTERVAL_S:
            return
        self._reported_s = now
        report = frames.Report(self._local.report())
        for ip in self._listener.report_targets():
            self._gossip.send((ip, self._settings.peer_port), report)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self._local.sweep()
            self._directory.sweep()
