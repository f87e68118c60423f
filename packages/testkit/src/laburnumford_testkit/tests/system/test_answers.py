"""Tests that callers get complete answers to their own requests."""

import asyncio
import dataclasses
import random

from laburnumford_testkit.backend import fault
from laburnumford_testkit.caller import call
from laburnumford_testkit.faultproxy import faults
from laburnumford_testkit.judge import evidence, judge

_CALL_COUNT = 12_000
_MIN_VERIFIED_ANSWERS = 10_000
_CONCURRENT_CALLS = 40
_CANCELLED_SHARE = 0.03
_SEED = 11


async def test_ten_thousand_answers_are_complete_and_own(run_cluster, make_caller):
    """Guards against answers that mix calls, are too short, or belong to another request.

    Calls with answers of different sizes go over delayed connections, some of which are
    reset, to servers that answer late, truncate answers or send extra bytes. Callers
    cancel some of the calls.
    """
    generator = random.Random(_SEED)
    caller = make_caller()
    async with run_cluster(
        services=["assay-results", "accounts"],
        proxied=frozenset({"backend", "peer"}),
        seed=_SEED,
    ) as running:
        names = list(running.backends_by_name)
        for (kind, name), proxy in running.proxies_by_name.items():
            reset_after = 300_000 if name == names[0] else None
            direction = faults.DirectionFaults(
                delay_s=0.0002, jitter_s=0.002, reset_after=reset_after
            )
            proxy.set_faults(
                faults.Faults(to_caller=direction if kind == "peer" else faults.DirectionFaults())
            )
        kinds = [fault.FaultKind.LATE, fault.FaultKind.TRUNCATE, fault.FaultKind.EXTRA]
        for name, kind in zip(names[1:4], kinds, strict=True):
            await running.backend(name).set_fault(
                fault.Fault(kind=kind, share=0.05, delay_s=0.05, bytes=37)
            )
        await _run_calls(running, caller, generator)
        # Cancelled and failed calls must release their buffers.
        async with asyncio.timeout(5):
            while await _held_bytes(running):
                await asyncio.sleep(0.05)
        logs = evidence.Evidence(records=tuple(caller.records), runs=running.runs())
        assert judge.judge(logs) == ()
    answered = [record for record in caller.records if record.complete and record.status == 200]
    assert all(record.is_own_answer for record in answered)
    assert len(answered) >= _MIN_VERIFIED_ANSWERS


async def _held_bytes(running):
    statuses = [await running.node(name).status() for name in running.nodes_by_name]
    return sum(status["buffers"]["held_bytes"] for status in statuses)


async def _run_calls(running, caller, generator):
    lookups = [
        call.Call(kind=route.name, path=f"{route.path_prefix}/1")
        for route in running.objects.routes_by_name.values()
        if route.methods is None or "GET" in route.methods
    ]

    async def send_calls(count):
        for _ in range(count):
            wanted = dataclasses.replace(
                generator.choice(lookups),
                answer_bytes=generator.choice([0, 1, 200, 5_000, 70_000]),
                chunked_answer=generator.random() < 0.5,
                timeout_ms=3000,
            )
            address = generator.choice(running.edge_addresses)
            task = asyncio.create_task(caller.call(wanted, address))
            if generator.random() < _CANCELLED_SHARE:
                await asyncio.sleep(generator.uniform(0, 0.005))
                task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    await asyncio.gather(
        *(send_calls(_CALL_COUNT // _CONCURRENT_CALLS) for _ in range(_CONCURRENT_CALLS))
    )
