"""Tests of the requests that a cold server gets from the node beside it."""

import asyncio
import random

import pytest

from laburnumford_mesh import clock, cold_start, frames, server_coldness, server_rate_limit
from laburnumford_mesh.tests import conftest, waiting
from laburnumford_mesh.tests.test_local_server import local  # noqa: F401

PUBLISHED = cold_start.ColdStart(per_s=8.0, duration_s=3.0)
MAX_IN_A_SECOND = 8.0 * 1.5 + 8.0
"""Published bound: the rate times `coldOver`, and `coldSlack`."""

ADMITTED_PER_S = 8.0 * 1.5
"""The bucket admits half a second of the rate at once, which fits the bound."""

_STEP_S = 0.005


class SimulatedServer:
    """Warm server that becomes cold at random times, with its node, on a simulated clock.

    Attributes:
        now: simulated time.
        received_s: times of the requests that arrived while the server was cold.
    """

    def __init__(self, log, seed):
        self.now = 0.0
        self.received_s = []
        self._generator = random.Random(seed)
        self._warm_s = 3.0
        self._rate_limit = server_rate_limit.ServerRateLimit(log=log, on_change=lambda: None)
        self._coldness = server_coldness.ServerColdness(log=log, rate_limit=self._rate_limit)
        self._answer: tuple[float, float] | None = None

    def start(self):
        """Applies the configuration, after which the server counts as cold."""
        self._coldness.configure(PUBLISHED)

    def step(self, demand):
        """Advances the time; as many requests as in `demand` wait at the node."""
        self.now += _STEP_S
        if self.now > self._warm_s and self._generator.random() < _STEP_S / 4.0:
            self._warm_s = self.now + PUBLISHED.duration_s
        self._receive_answer()
        self._coldness.update()
        if self._coldness.should_check():
            self._check()
        for _ in range(demand):
            if self._coldness.must_check():
                self._check()
                return
            if not self._rate_limit.bucket.can_admit(self.now):
                return
            self._rate_limit.bucket.admit(self.now)
            self._coldness.observe_start()
            if self.now < self._warm_s:
                self.received_s.append(self.now)

    def _check(self):
        if self._answer is None:
            self._coldness.begin_check()
            delay_s = self._generator.uniform(0.005, 0.045)
            self._answer = (self.now + delay_s, self._warm_s)

    def _receive_answer(self):
        if self._answer is not None and self.now >= self._answer[0]:
            stated_s = max(self._answer[1] - self.now, 0.0)
            self._answer = None
            self._coldness.observe_check(stated_s)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("idle_share", [0.0, 0.6])
def test_cold_server_gets_no_more_than_the_published_bound(log, monkeypatch, seed, idle_share):
    """Guards against a crash of a server that becomes cold at any moment under full demand.

    Load pattern: a warm server starts up to 100 requests a second, with pauses of any length.
    """
    server = SimulatedServer(log, seed)
    monkeypatch.setattr(clock, "now", lambda: server.now)
    server.start()
    generator = random.Random(seed)
    idle = False
    for number in range(12_000):
        if generator.random() < _STEP_S:
            idle = generator.random() < idle_share
        server.step(0 if idle or number % 2 else 1)
    assert len(server.received_s) > 50
    worst = max(
        sum(first <= each < first + 1.0 for each in server.received_s)
        for first in server.received_s
    )
    assert worst <= MAX_IN_A_SECOND


def _report_cold(backend, remaining_s):
    backend.extra_fields = f"X-Cold: {remaining_s}\r\n"


async def _offer_load(local, count):  # noqa: F811
    calls = [
        local.run(
            conftest.make_request(
                str(number), remaining_s=1.0, soft_remaining_s=1.0, service_time_s=0.001
            )
        )
        for number in range(count)
    ]
    return await asyncio.gather(*calls)


async def test_cold_server_gets_only_the_admitted_rate(local, backend):  # noqa: F811
    """Guards against a crash of a cold server; the other requests get a proof of not run."""
    _report_cold(backend, 3)
    local.set_cold_start(PUBLISHED)
    found = await _offer_load(local, 60)
    assert 1 <= len(backend.runs) <= MAX_IN_A_SECOND
    refused = [each for each in found if isinstance(each, frames.Refusal)]
    assert len(refused) == 60 - len(backend.runs)
    assert all(each.load.limit_known for each in refused)
    assert {each.load.rate_limit_per_s for each in refused} == {ADMITTED_PER_S}
    # A request that waits until its deadline has no time left to retry.
    at_once = [each for each in refused if each.reason != "deadline"]
    assert len(at_once) > 30
    assert min(each.retry_after_s for each in at_once) > 0.1
    assert local.cold


async def test_warm_server_is_not_limited(local, backend):  # noqa: F811
    """Guards against a limit on a server that says that it is warm."""
    local.set_cold_start(PUBLISHED)
    assert local.cold
    await waiting.until(lambda: not local.cold)
    found = await _offer_load(local, 40)
    assert all(isinstance(each, frames.Answer) for each in found)
    assert len(backend.runs) == 40


async def test_server_that_becomes_cold_under_load_is_limited(local, backend):  # noqa: F811
    """Guards against full load on a server that became cold while answers say nothing of it."""
    local.set_cold_start(PUBLISHED)
    await waiting.until(lambda: not local.cold)
    _report_cold(backend, 2.5)
    number = 0
    while not local.cold:
        number += 1
        await local.run(conftest.make_request(str(number)))
        await asyncio.sleep(0.005)
    assert len(backend.runs) == number
    backend.runs.clear()
    await _offer_load(local, 40)
    assert len(backend.runs) <= MAX_IN_A_SECOND


async def test_server_counts_as_cold_after_an_evacuation(local, backend):  # noqa: F811
    """Guards against full load on a server that started again while nothing was sent to it."""
    local.set_cold_start(PUBLISHED)
    await waiting.until(lambda: not local.cold)
    local.observe_evacuation(evacuated=True)
    _report_cold(backend, 2.5)
    checks = backend.health_checks
    local.observe_evacuation(evacuated=False)
    assert local.cold
    await waiting.until(lambda: backend.health_checks > checks)
    await _offer_load(local, 40)
    assert len(backend.runs) <= MAX_IN_A_SECOND


async def test_malformed_time_does_not_end_the_limit(local, backend):  # noqa: F811
    """Guards against full load on a server that may be cold because of odd bytes."""
    _report_cold(backend, "soon")
    local.set_cold_start(PUBLISHED)
    await waiting.until(lambda: local.malformed_field_count)
    assert local.cold
