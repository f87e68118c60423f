"""State of a backend server stand-in."""

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
    """A backend server: slots, service times, faults and the log of runs.

    Args:
        name: value of the answer header `x-server`.
        slots: requests that run at the same time.
        queue: requests that wait for a slot; further ones are shed as refused.
        service_s: base of the service times in seconds.
        distribution: name in `service_time.service_times`.
        answer_bytes: length of an answer whose request does not ask for one.
        connections: connections accepted at the same time; further ones are closed.
        cold_start_s: time after the start in which requests take longer.
        cold_factor: factor of the service time at the start; falls linearly to 1.
        load_lag_s: age of what `/load` reports.
        generator: source of service times and of the share of faults.
        run_log_path: file for the log of runs, or None.
        edge_address: edge listener of the node beside the server, for nested calls; or None.
    """

    def __init__(
        self,
        *,
        name: str,
        generator: random.Random,
        slots: int = 12,
        queue: int = 24,
        service_s: float = 0.0,
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
        self.slots = slots_module.Slots(slots=slots, queue=queue)
        self.log = run_log.RunLog(server=name, path=run_log_path)
        self.fault = fault_module.Fault()
        self.fault_changed = asyncio.Event()
        self.draining = False
        self.stopping = False
        self.max_connections = connections
        self.connections: set[connection_module.Connection] = set()
        self.peak_connections = 0
        self.refused_connections = 0
        self.refused = 0
        self.answer_bytes = answer_bytes
        self.nested = (
            None if edge_address is None else nested.NestedCaller(edge_address=edge_address)
        )
        self.measuring: list[tuple[float, int]] = []
        self._generator = generator
        self._service_s = service_s
        self._service_time = service_time.service_times.create(distribution, generator=generator)
        self._cold_start_s = cold_start_s
        self._cold_factor = cold_factor
        self._load_lag_s = load_lag_s
        self._load_samples: list[tuple[float, int, int]] = []
        self._started = time.monotonic()

    def set_fault(self, fault: fault_module.Fault) -> None:
        """Replaces the fault and releases the requests that stalled."""
        self.fault = fault
        self.fault_changed.set()
        self.fault_changed = asyncio.Event()

    def draw_fault(self) -> fault_module.Fault:
        """Returns the fault of the next request."""
        fault = self.fault
        if fault.kind is fault_module.FaultKind.NONE or (
            fault.share < 1.0 and self._generator.random() >= fault.share
        ):
            return fault_module.Fault()
        return fault

    def draw_service_s(self, request: request_module.Request, now: float) -> float:
        """Returns the time that a request takes, in seconds, without faults."""
        if "x-work-ms" in request.headers:
            seconds = request.number("x-work-ms", 0.0) / 1000
        else:
            seconds = self._service_time.draw(self._service_s)
        age_s = now - self._started
        if age_s < self._cold_start_s:
            seconds *= 1 + (self._cold_factor - 1) * (1 - age_s / self._cold_start_s)
        return seconds

    @property
    def idle(self) -> bool:
        """Whether no request runs or waits."""
        return self.slots.running == 0 and self.slots.queued == 0

    def stop(self) -> None:
        """Begins a planned stop: answers tell that the server drains."""
        self.draining = True
        self.stopping = True

    def measuring_answer(self, request: request_module.Request) -> answer_module.Answer:
        """Answers a health or load request and counts its cost."""
        if request.path == "/health":
            value: dict[str, Any] = {"status": "ok"}
        else:
            value = self._load()
        return answer_module.Answer(
            headers=(
                ("content-type", "application/json"),
                ("x-server", self.name),
                ("laburnumford-draining", "1" if self.draining else "0"),
            ),
            body=json.dumps(value).encode(),
            head=request.method == "HEAD",
        )

    def note_measuring(self, now: float, size: int) -> None:
        """Counts a health or load request of `size` bytes, request and answer together."""
        self.measuring.append((now, size))

    def admin_answer(self, request: request_module.Request) -> answer_module.Answer:
        """Answers a request of a test."""
        try:
            value = self._admin(request)
        except (errors.TestkitError, ValueError, KeyError, TypeError) as error:
            return answer_module.Answer(status=400, body=f"{error}\n".encode())
        if value is None:
            return answer_module.Answer(status=404, body=b"unknown admin request\n")
        return answer_module.Answer(
            headers=(("content-type", "application/json"),), body=json.dumps(value).encode()
        )

    def _admin(self, request: request_module.Request) -> dict[str, Any] | None:
        wanted = (request.method, request.path)
        if wanted == ("PUT", "/admin/fault"):
            self.set_fault(fault_module.Fault.parse(json.loads(request.kept_body)))
            return self.fault.encode()
        if wanted == ("GET", "/admin/fault"):
            return self.fault.encode()
        if wanted == ("PUT", "/admin/drain"):
            self.draining = bool(json.loads(request.kept_body)["draining"])
            return {"draining": self.draining}
        if wanted == ("GET", "/admin/log"):
            return {
                "server": self.name,
                "runs": [dataclasses.asdict(run) for run in self.log.runs],
                "measuring": self.measuring,
            }
        if wanted == ("GET", "/admin/counters"):
            return self.counters()
        return None

    def counters(self) -> dict[str, int]:
        """Returns the counters of the server."""
        return {
            "running": self.slots.running,
            "peak_running": self.slots.peak_running,
            "queued": self.slots.queued,
            "shed": self.slots.shed,
            "refused": self.refused,
            "runs": len(self.log.runs),
            "connections": len(self.connections),
            "peak_connections": self.peak_connections,
            "refused_connections": self.refused_connections,
            "measuring_calls": len(self.measuring),
            "measuring_bytes": sum(size for _, size in self.measuring),
        }

    def _load(self) -> dict[str, Any]:
        """Returns the load that was sampled at least `load_lag_s` ago."""
        now = time.monotonic()
        samples = self._load_samples
        samples.append((now, self.slots.running, self.slots.queued))
        while len(samples) > 1 and samples[1][0] <= now - self._load_lag_s:
            samples.pop(0)
        _, running, queued = samples[0]
        return {"running": running, "queued": queued, "slots": self.slots.slots}
