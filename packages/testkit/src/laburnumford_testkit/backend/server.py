"""State of a fake backend server."""

import asyncio
import dataclasses
import json
import pathlib
import random
import time
from typing import Any

from laburnumford_testkit import errors
from laburnumford_testkit.backend import answer as answer_module
from laburnumford_testkit.backend import connection as connection_module
from laburnumford_testkit.backend import fault as fault_module
from laburnumford_testkit.backend import nested, run_log, service_time
from laburnumford_testkit.backend import request as request_module
from laburnumford_testkit.backend import slots as slots_module


class Server:
    """Holds the slots, service times, faults and the log of runs of a fake backend server.

    Args:
        name: value of the answer header `x-server`.
        slots: maximum of requests that run at the same time.
        queue: maximum of requests that wait for a slot; further ones are refused.
        base_service_time_s: base of the service times in seconds.
        distribution: name in `service_time.service_times`.
        answer_bytes: length of an answer if the request has no `x-answer-bytes`.
        connections: maximum of open connections; further ones are closed at once.
        cold_start_s: time in seconds after the start during which requests take longer.
        cold_factor: factor of the service time at the start; falls linearly to 1 during
            `cold_start_s`.
        load_lag_s: minimum age in seconds of the values that `/load` reports.
        generator: random generator for service times and for the share of faulty requests.
        run_log_path: file for the log of runs, or None.
        edge_address: `ip:port` of the edge listener of the adjacent node, for nested calls; None if
            there is no such node.
    """

    def __init__(
        self,
        *,
        name: str,
        generator: random.Random,
        slots: int = 12,
        queue: int = 24,
        base_service_time_s: float = 0.0,
        distribution: str = "constant",
        answer_bytes: int = 200,
        connections: int = 250,
        cold_start_s: float = 0.0,
        cold_factor: float = 5.0,
        load_lag_s: float = 0.0,
        run_log_path: pathlib.Path | None = None,
        edge_address: str | None = None,
    ) -> None:
        self.name = name
        self.slots = slots_module.Slots(slots=slots, max_queued=queue)
        self.log = run_log.RunLog(server=name, path=run_log_path)
        self.fault = fault_module.Fault()
        self.fault_changed = asyncio.Event()
        self.draining = False
        self.stopping = False
        self.max_connections = connections
        self.connections: set[connection_module.Connection] = set()
        self.peak_connections = 0
        self.refused_connections = 0
        self.refused_requests = 0
        self.answer_bytes = answer_bytes
        self.nested_caller = (
            None if edge_address is None else nested.NestedCaller(edge_address=edge_address)
        )
        self.measuring_requests: list[tuple[float, int]] = []
        self._generator = generator
        self._base_service_time_s = base_service_time_s
        self._service_time = service_time.service_times.create(distribution, generator=generator)
        self._cold_start_s = cold_start_s
        self._cold_factor = cold_factor
        self._load_lag_s = load_lag_s
        self._load_samples: list[tuple[float, int, int]] = []
        self._started_at = time.monotonic()

    def set_fault(self, fault: fault_module.Fault) -> None:
        """Replaces the fault and lets stalled requests continue."""
        self.fault = fault
        self.fault_changed.set()
        self.fault_changed = asyncio.Event()

    def draw_fault(self) -> fault_module.Fault:
        """Returns the fault for the next request, drawn according to its share."""
        fault = self.fault
        if fault.kind is fault_module.FaultKind.NONE or (
            fault.share < 1.0 and self._generator.random() >= fault.share
        ):
            return fault_module.Fault()
        return fault

    def draw_service_time_s(self, request: request_module.Request, now: float) -> float:
        """Returns the service time of a request in seconds, without the effect of faults."""
        if "x-work-ms" in request.headers:
            seconds = request.numeric_header("x-work-ms", 0.0) / 1000
        else:
            seconds = self._service_time.draw(self._base_service_time_s)
        age_s = now - self._started_at
        if age_s < self._cold_start_s:
            seconds *= 1 + (self._cold_factor - 1) * (1 - age_s / self._cold_start_s)
        return seconds

    @property
    def idle(self) -> bool:
        """Whether no request runs or waits."""
        return self.slots.running == 0 and self.slots.queued == 0

    def stop(self) -> None:
        """Begins a planned stop; from now on answers carry `laburnumford-draining: 1`."""
        self.draining = True
        self.stopping = True

    def measuring_answer(self, request: request_module.Request) -> answer_module.Answer:
        """Returns the answer to a health or load request."""
        if request.path == "/health":
            value: dict[str, Any] = {"status": "ok"}
        else:
            value = self._delayed_load()
        return answer_module.Answer(
            headers=(
                ("content-type", "application/json"),
                ("x-server", self.name),
                ("laburnumford-draining", "1" if self.draining else "0"),
            ),
            body=json.dumps(value).encode(),
            is_head=request.method == "HEAD",
        )

    def record_measuring_request(self, now: float, size: int) -> None:
        """Records a health or load request of `size` bytes, target and answer together."""
        self.measuring_requests.append((now, size))

    def admin_answer(self, request: request_module.Request) -> answer_module.Answer:
        """Returns the answer to an admin request of a test."""
        try:
            value = self._handle_admin(request)
        except (errors.TestkitError, ValueError, KeyError, TypeError) as error:
            return answer_module.Answer(status=400, body=f"{error}\n".encode())
        if value is None:
            return answer_module.Answer(status=404, body=b"unknown admin request\n")
        return answer_module.Answer(
            headers=(("content-type", "application/json"),), body=json.dumps(value).encode()
        )

    def _handle_admin(self, request: request_module.Request) -> dict[str, Any] | None:
        endpoint = (request.method, request.path)
        if endpoint == ("PUT", "/admin/fault"):
            self.set_fault(fault_module.Fault.parse(json.loads(request.admin_body)))
            return self.fault.encode()
        if endpoint == ("GET", "/admin/fault"):
            return self.fault.encode()
        if endpoint == ("PUT", "/admin/drain"):
            self.draining = bool(json.loads(request.admin_body)["draining"])
            return {"draining": self.draining}
        if endpoint == ("GET", "/admin/log"):
            return {
                "server": self.name,
                "runs": [dataclasses.asdict(run) for run in self.log.runs],
                "measuring": self.measuring_requests,
            }
        if endpoint == ("GET", "/admin/counters"):
            return self.counters()
        return None

    def counters(self) -> dict[str, int]:
        """Returns the counters by name."""
        return {
            "running": self.slots.running,
            "peak_running": self.slots.peak_running,
            "queued": self.slots.queued,
            "shed": self.slots.shed,
            "refused": self.refused_requests,
            "runs": len(self.log.runs),
            "connections": len(self.connections),
            "peak_connections": self.peak_connections,
            "refused_connections": self.refused_connections,
            "measuring_calls": len(self.measuring_requests),
            "measuring_bytes": sum(size for _, size in self.measuring_requests),
        }

    def _delayed_load(self) -> dict[str, Any]:
        """Returns the latest load sample that is at least `load_lag_s` old, else the oldest one."""
        now = time.monotonic()
        samples = self._load_samples
        samples.append((now, self.slots.running, self.slots.queued))
        while len(samples) > 1 and samples[1][0] <= now - self._load_lag_s:
            samples.pop(0)
        _, running, queued = samples[0]
        return {"running": running, "queued": queued, "slots": self.slots.slots}
