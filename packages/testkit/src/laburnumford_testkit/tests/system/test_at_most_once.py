"""Tests that bookings run at most once and that refused bookings never run."""

import asyncio
import dataclasses
import random

import aiohttp
import pytest

from laburnumford_testkit.backend import fault
from laburnumford_testkit.caller import call, load
from laburnumford_testkit.faultproxy import faults
from laburnumford_testkit.judge import evidence, judge

_SEED = 5
_BOOKING = call.Call(
    kind="booking",
    method="POST",
    path="/hallmarks/1",
    body_bytes=300,
    timeout_ms=2000,
    work_ms=2.0,
)


def _judge(running, caller):
    """Returns the violations of invariants by the calls of a caller."""
    return judge.judge(evidence.Evidence(records=tuple(caller.records), runs=running.runs()))


async def _send_bookings(running, caller, *, duration_s, rate_per_s=150.0, addresses=None):
    await load.run(
        load.Load(
            calls=[_BOOKING],
            addresses=addresses or running.edge_addresses,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            seed=_SEED,
        ),
        caller,
    )


@pytest.mark.parametrize(
    "kind",
    [
        fault.FaultKind.CLOSE,
        fault.FaultKind.RESET,
        fault.FaultKind.TRUNCATE,
        fault.FaultKind.ERROR,
        fault.FaultKind.REFUSE,
    ],
)
async def test_bookings_run_at_most_once_on_faulty_servers(run_cluster, make_caller, kind):
    """Guards against a second run of a booking whose first answer failed or was lost."""
    caller = make_caller(max_retries=3)
    async with run_cluster(services=["hallmark-issuing"], seed=_SEED) as running:
        for name in running.backends_by_name:
            await running.backend(name).set_fault(fault.Fault(kind=kind, share=0.3, bytes=20))
        await _send_bookings(running, caller, duration_s=2.0)
        assert _judge(running, caller) == ()
    assert any(record.status == 200 for record in caller.records)


async def test_replayed_connections_between_nodes_run_nothing_again(run_cluster, make_caller):
    """Guards against a request that runs again from a copy of its bytes.

    A proxy sends each byte stream between nodes a second time, 50 ms later, on another
    connection.
    """
    caller = make_caller(max_retries=3)
    async with run_cluster(
        services=["hallmark-issuing", "accounts"], proxied=frozenset({"peer"}), seed=_SEED
    ) as running:
        for proxy in running.proxies_by_name.values():
            proxy.set_faults(faults.Faults(duplicate=True, duplicate_delay_s=0.05))
        await _send_bookings(running, caller, duration_s=2.0)
        stale_counts = [
            (await running.node(name).status())["connections"]["stale_requests"]
            for name in running.nodes_by_name
        ]
        assert _judge(running, caller) == ()
    assert sum(stale_counts) > 0, "no replayed request reached a node, so nothing was tested"


async def test_bookings_run_at_most_once_with_killed_and_paused_nodes(run_cluster, make_caller):
    """Guards against a second run through another node, after a restart or after a pause."""
    caller = make_caller(max_retries=4, retry_delay_s=0.2)
    generator = random.Random(_SEED)
    async with run_cluster(services=["hallmark-issuing", "accounts"], seed=_SEED) as running:
        booking = asyncio.create_task(
            _send_bookings(running, caller, duration_s=7.0, rate_per_s=80.0)
        )
        names = sorted(running.nodes_by_name)
        for _ in range(4):
            name = generator.choice(names)
            process = running.nodes_by_name[name]
            if generator.random() < 0.5:
                process.kill()
                await process.start()
            else:
                process.pause()
                await asyncio.sleep(generator.uniform(0.3, 1.0))
                process.resume()
        await booking
        assert _judge(running, caller) == ()
    assert any(record.error for record in caller.records), "no call was interrupted"


async def test_retry_through_another_node_gets_the_stored_answer(run_cluster):
    """Guards against a retry that runs the booking again or loses its result."""
    async with (
        run_cluster(services=["hallmark-issuing"], seed=_SEED) as running,
        aiohttp.ClientSession() as session,
    ):
        first, second, _ = running.edge_addresses
        answers = []
        key = ""
        for address in (first, first, second, second):
            headers = {"x-call-id": "one", **({"idempotency-key": key} if key else {})}
            async with session.post(
                f"http://{address}/hallmarks/1", data=b"bar 17", headers=headers
            ) as answer:
                answers.append((answer.status, await answer.read()))
                key = key or answer.headers["idempotency-key"]
        assert [status for status, _ in answers] == [428, 200, 200, 200]
        assert answers[1] == answers[2] == answers[3]
        assert len(running.runs()) == 1


async def test_ticket_of_another_request_is_refused(run_cluster, make_caller):
    """Guards against a ticket that returns the stored answer to a request with another body."""
    caller = make_caller()
    async with run_cluster(services=["hallmark-issuing"], seed=_SEED) as running:
        first, second = running.edge_addresses[:2]
        booked = await caller.call(_BOOKING, first)
        assert booked.status == 200
        # The caller derives the body from the call id, so this is another request.
        other = dataclasses.replace(_BOOKING, headers=(("idempotency-key", booked.ticket),))
        answered = await caller.call(other, second)
        assert (answered.status, answered.outcome, answered.reason) == (
            422,
            "refused",
            "ticket-mismatch",
        )
        assert _judge(running, caller) == ()


async def test_ticket_of_a_restarted_node_is_unknown(run_cluster):
    """Guards against a second run after the node that issued the ticket was killed or restarted.

    The state of the ticket is lost with the process, so the outcome is unknown also for a
    request that never ran.
    """
    async with (
        run_cluster(services=["hallmark-issuing"], seed=_SEED) as running,
        aiohttp.ClientSession() as session,
    ):
        name = next(iter(running.nodes_by_name))
        others = [a for a in running.edge_addresses if a != running.edge_address(name)]
        url = f"http://{running.edge_address(name)}/.laburnumford/tickets"
        async with session.post(url) as answer:
            ticket = (await answer.json())["tickets"][0]
        running.nodes_by_name[name].kill()
        outcomes = [await _post(session, others[0], ticket)]
        await running.nodes_by_name[name].start()
        outcomes.append(await _post(session, others[0], ticket))
        outcomes.append(await _post(session, running.edge_address(name), ticket))
        assert outcomes == [(502, "unknown")] * 3
        assert running.runs() == ()


async def _post(session, address, ticket):
    async with session.post(
        f"http://{address}/hallmarks/1", data=b"bar 17", headers={"idempotency-key": ticket}
    ) as answer:
        return answer.status, answer.headers["laburnumford-outcome"]
