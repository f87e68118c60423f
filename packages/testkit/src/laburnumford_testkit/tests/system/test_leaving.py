"""Tests that planned stops interrupt nothing and that leaving servers get no new work."""

import asyncio
import time

from laburnumford_testkit.caller import call, load
from laburnumford_testkit.judge import evidence, judge, leave

_SEED = 3
_LEAVE_ALLOWANCE_S = 3.0
_PROPAGATION_LIMIT_S = 7.0


def _calls(*, upload_bytes=0, upload_rate=None):
    calls = [
        call.Call(kind="lookup", path="/assay-results/1", share=8.0, timeout_ms=2000),
        call.Call(
            kind="booking", method="POST", path="/hallmarks/1", body_bytes=300, timeout_ms=2000
        ),
    ]
    if upload_bytes:
        calls.append(
            call.Call(
                kind="upload",
                method="POST",
                path="/lab-files/1",
                body_bytes=upload_bytes,
                body_rate=upload_rate,
                timeout_ms=60_000,
                share=0.3,
            )
        )
    return calls


async def _apply_load(running, caller, addresses, *, duration_s, rate_per_s=200.0, **parameters):
    await load.run(
        load.Load(
            calls=_calls(**parameters),
            addresses=addresses,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            seed=_SEED,
        ),
        caller,
    )


def _judge(running, caller, leaves=()):
    return judge.judge(
        evidence.Evidence(
            records=tuple(caller.records),
            runs=running.runs(),
            planned_stops=tuple(running.planned_stops),
            leaves=tuple(leaves),
        )
    )


async def test_rolling_replacement_of_all_nodes_interrupts_no_call(run_cluster, make_caller):
    """Guards against a planned stop that interrupts a call or runs it twice.

    Callers may fail to connect to a node that is being replaced. Calls through other nodes to
    its server, and uploads in flight, must complete.
    """
    caller = make_caller()
    async with run_cluster(
        services=["assay-results", "hallmark-issuing", "lab-files"], seed=_SEED
    ) as running:
        names = sorted(running.nodes_by_name)
        entries = [running.edge_address(name) for name in names]
        loading = asyncio.create_task(
            _apply_load(
                running,
                caller,
                entries,
                duration_s=2.2 * len(names),
                upload_bytes=400_000,
                upload_rate=300_000.0,
            )
        )
        for name in names:
            await running.stop_node(name)
            await running.nodes_by_name[name].start()
        await loading
        assert _judge(running, caller) == ()
    interrupted = [r for r in caller.records if r.error and "connect" not in r.error]
    assert interrupted == []


async def test_draining_server_gets_no_new_work(run_cluster, make_caller):
    """Guards against new work for a server that has reported that it drains."""
    caller = make_caller()
    async with run_cluster(services=["assay-results"], seed=_SEED) as running:
        name = sorted(running.backends_by_name)[0]
        loading = asyncio.create_task(
            _apply_load(running, caller, running.edge_addresses, duration_s=6.0)
        )
        await asyncio.sleep(1.0)
        began = time.monotonic()
        await running.backend(name).set_draining(True)
        await loading
        leaves = [leave.Leave(server=name, began=began, allowance_s=_LEAVE_ALLOWANCE_S)]
        assert _judge(running, caller, leaves) == ()


async def test_server_listed_as_leaving_gets_no_new_work(run_cluster, make_caller):
    """Guards against new work for a VM that the platform's list shows as leaving."""
    caller = make_caller()
    async with run_cluster(services=["assay-results"], seed=_SEED) as running:
        name = sorted(running.backends_by_name)[0]
        loading = asyncio.create_task(
            _apply_load(running, caller, running.edge_addresses, duration_s=14.0, rate_per_s=100.0)
        )
        await asyncio.sleep(1.0)
        await running.set_vm_states({name: "leaving"})
        async with asyncio.timeout(10):
            while not (await running.node(name).status())["server"]["draining"]:
                await asyncio.sleep(0.05)
        # Nodes read the list every few seconds; the allowance counts from the read.
        began = time.monotonic()
        await loading
        leaves = [leave.Leave(server=name, began=began, allowance_s=_LEAVE_ALLOWANCE_S)]
        assert _judge(running, caller, leaves) == ()


async def test_server_published_as_draining_gets_no_new_work(run_cluster, make_caller):
    """Guards against a published field `draining` that the choice of servers ignores."""
    caller = make_caller()
    async with run_cluster(services=["assay-results"], seed=_SEED) as running:
        name = sorted(running.backends_by_name)[0]
        loading = asyncio.create_task(
            _apply_load(running, caller, running.edge_addresses, duration_s=10.0)
        )
        await asyncio.sleep(1.0)
        group = running.objects.groups_by_name["assay-results"]
        servers = tuple(
            server.model_copy(update={"draining": server.name == name})
            for server in group.backend_servers
        )
        changed = running.objects.model_copy(
            update={
                "groups_by_name": {
                    **running.objects.groups_by_name,
                    group.name: group.model_copy(update={"backend_servers": servers}),
                }
            }
        )
        began = time.monotonic()
        await running.publish(changed)
        await loading
        # The server leaves when the version is in force, which may take 7 s.
        leaves = [leave.Leave(server=name, began=began, allowance_s=_PROPAGATION_LIMIT_S)]
        assert _judge(running, caller, leaves) == ()


async def test_server_that_ends_its_drain_gets_work_again(run_cluster, make_caller):
    """Guards against a node that treats a server as draining after its drain has ended.

    A draining server gets no calls, so no answer can report the end of the drain.
    """
    caller = make_caller()
    async with run_cluster(services=["assay-results"], seed=_SEED) as running:
        name = sorted(running.backends_by_name)[0]
        lookup = call.Call(path="/assay-results/1", timeout_ms=2000)
        await running.backend(name).set_draining(True)
        await caller.call(lookup, running.edge_address(name))
        drained = await caller.call(lookup, running.edge_address(name))
        assert drained.server != name
        await running.backend(name).set_draining(False)
        async with asyncio.timeout(10):
            while (await caller.call(lookup, running.edge_address(name))).server != name:
                await asyncio.sleep(0.05)
