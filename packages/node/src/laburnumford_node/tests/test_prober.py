"""Tests of the health probes of the adjacent backend server."""

import asyncio
import random
import time

import pytest

from laburnumford_mesh.http.tests import flooding_server, test_endless_answers
from laburnumford_mesh.tests import waiting
from laburnumford_node import adjacent, prober
from laburnumford_node.http import buffer_limit, pool
from laburnumford_objects import measuring
from laburnumford_policy.admission import admission

_MAX_SENT_BYTES = 16 * 1024 * 1024
"""Largest socket buffers of both ends; the prober itself reads a small part of this."""


@pytest.mark.parametrize("name", ["chunked body", "body of the declared length"])
async def test_endless_body_of_a_probe_is_cut_off(name):
    """Guards against a server that keeps the node reading until the probe's timeout (issue 40)."""
    async with flooding_server.FloodingServer(
        *test_endless_answers.ENDLESS_ANSWERS[name]
    ) as server:
        address = f"127.0.0.1:{server.port}"
        connections = pool.Pool(
            clock=time.monotonic,
            connect_timeout_s=1,
            idle_timeout_s=5,
            buffers=buffer_limit.BufferLimit(call_limit_bytes=65_536, process_limit_bytes=1 << 20),
        )
        made = prober.Prober(
            server=adjacent.AdjacentServer(
                address=address,
                admission=admission.Admission(slots=1, limiter_name="fixed"),
                connections=connections,
                clock=time.monotonic,
            ),
            address=address,
            path="/health",
            connections=connections,
            generator=random.Random(1),
            clock=time.monotonic,
        )
        made.apply(measuring.MeasuringLimits())
        probing = asyncio.create_task(made.run())
        await waiting.until(lambda: made.failures_count, within_s=10)
        await waiting.until(server.closed.is_set)
        assert made.healthy is False
        assert server.sent_bytes <= _MAX_SENT_BYTES * made.probes_count
        probing.cancel()
        connections.close()
