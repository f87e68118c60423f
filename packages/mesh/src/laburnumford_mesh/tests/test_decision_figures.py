"""Tests of the figures in the log lines of decisions."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import pytest

from laburnumford_mesh import (
    clock,
    configuration,
    dispatcher,
    edge,
    frames,
    limits,
    metrics,
    route,
    services,
    settings,
    weighted_service,
)
from laburnumford_mesh.http import request
from laburnumford_mesh.tests import conftest


class _Peers:
    """Peers that answer each request with the same result.

    Attributes:
        make: returns the result for a request.
    """

    def __init__(self):
        self.make: Callable[[frames.Request], Any] = _report

    def get(self, ip):
        """Returns the same peer for every address."""
        del ip
        return self

    @staticmethod
    def since_received_s():
        """Returns the time since the last message from a node."""
        return 0.0

    async def call(self, sent, timeout_s):
        """Returns the result, or waits for ever if it is None."""
        del timeout_s
        result = self.make(sent)
        if result is None:
            await asyncio.Event().wait()
        return result


def _configuration(timeout_s):
    return configuration.Configuration(
        version=7,
        routes=[
            route.Route(
                name="r",
                host="h",
                prefix="/",
                services=(weighted_service.WeightedService("s", 1.0),),
                idempotent=True,
                timeout_s=timeout_s,
                target_latency_s=0.3,
                max_attempts=2,
                priority=0,
            )
        ],
        health_path_by_service={"s": "/health"},
        max_connections_by_service={"s": 10},
        limits=limits.Limits(),
    )


def _report(sent):
    return frames.LoadReport(sent.server_id, 1, 3, 2, 4, 1.0, 0.0, 0.0)


@pytest.fixture
def peers():
    """Returns peers without a result."""
    return _Peers()


@pytest.fixture
def handle(peers, log, tmp_path):
    """Returns a function that sends a request through an edge and returns the log lines."""
    learned = services.Services(
        zone="z",
        server_address="127.0.0.1:1",
        retry_budget=settings.RetryBudgetSettings(ratio=0.2, slack=60, window_s=10),
        generator=random.Random(1),
    )
    learned.apply([conftest.make_entry(f"s{each}", f"127.0.0.{each}:1") for each in (2, 3)], 1)

    local: Any = None

    async def run(timeout_s=1.0):
        counters = metrics.Metrics()
        made = edge.Edge(
            own_service=lambda: "own",
            current_configuration=lambda: _configuration(timeout_s),
            values_age_s=lambda: 0.1,
            dispatcher=dispatcher.Dispatcher(
                local=local,
                server_address="127.0.0.1:1",
                peers=peers,
                services=learned,
                names=conftest.NAMES,
                log=log,
                counters=counters,
            ),
            names=conftest.NAMES,
            log=log,
            counters=counters,
            generator=random.Random(1),
        )
        await made.handle(
            request.Request(
                method=b"GET",
                target=b"/",
                fields=[],
                value_by_name={b"host": b"h", conftest.NAMES.request_id: b"a"},
                body=b"",
                keep_alive=True,
                received_s=clock.now(),
                remote_ip="127.0.0.1",
            )
        )
        # Cancelled attempts end after the answer.
        others = asyncio.all_tasks() - {asyncio.current_task()}
        await asyncio.gather(*others, return_exceptions=True)
        return [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]

    return run


async def test_attempt_line_ends_with_the_figures_of_the_choice(handle, peers):
    """Guards against a choice of a server that the log does not explain."""
    peers.make = lambda sent: frames.Answer(
        sent.call_id, 200, b"", [], b"", 0.01, _report(sent), 1.0
    )
    attempt, answered = await handle()
    assert answered["event"] == "answered"
    assert attempt["zone"] == "z"
    assert attempt["other_zone"] is False
    assert attempt["servers"] == [2, 0]
    assert attempt["view"] == [0, 0, conftest.SLOTS]
    assert attempt["expected_ms"] >= attempt["service_ms"] == 100.0
    assert list(attempt)[-1] == "hedge"


async def test_refusals_state_the_expected_wait_and_the_servers_left(handle, peers):
    """Guards against a refusal without the wait that was expected and the configuration."""
    peers.make = lambda sent: frames.Refusal(sent.call_id, "overloaded", 0.25, _report(sent))
    first, second, refused = await handle()
    assert [first["retry_after_s"], second["retry_after_s"]] == [0.25, 0.25]
    assert [first["servers"], second["servers"]] == [[2, 0], [2, 1]]
    assert refused["reason"] == "no-room"
    assert refused["version"] == 7
    assert refused["servers"] == [2, 0]
    assert refused["max_attempts"] == 2
    assert refused["remaining_ms"] > 0


async def test_refusal_without_attempt_states_the_times_it_compared(handle, peers):
    """Guards against a refusal for the deadline without the time that was left."""
    del peers
    (refused,) = await handle(timeout_s=0.0)
    assert refused["reason"] == "deadline"
    assert refused["service_ms"] >= 0
    assert refused["remaining_ms"] <= 0


async def test_failure_states_the_blocked_servers(handle, peers):
    """Guards against a request that fails because servers are blocked, which no line says."""

    def fail(sent):
        if sent.server_id == "s2":
            return frames.Refusal(sent.call_id, "server-down", 0.0, _report(sent))
        return frames.UnknownOutcome(sent.call_id, "peer-timeout", _report(sent))

    peers.make = fail
    *_, failed = await handle()
    assert failed["event"] == "failed"
    assert failed["servers"] == [2, 1]


async def test_attempts_that_are_cancelled_have_a_line(handle, peers):
    """Guards against a request whose time passes at a server that no line names."""
    peers.make = lambda _: None
    failed, first, second = await handle(timeout_s=0.5)
    assert [first["unknown"], second["unknown"]] == ["cancelled", "cancelled"]
    assert {first["server"], second["server"]} == {"s2", "s3"}
    assert sorted([first["hedge"], second["hedge"]]) == [False, True]
    assert (failed["event"], failed["reason"], failed["status"]) == ("failed", "deadline", 504)
