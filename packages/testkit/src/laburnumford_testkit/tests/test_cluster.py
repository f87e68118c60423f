"""Tests of the cluster of test processes; those that start nodes run a part of an example."""

import asyncio
import pathlib
import time
from typing import Any

import pytest
import pytest_asyncio

from laburnumford_objects import deployment
from laburnumford_testkit import backend, caller, errors, faultproxy, judge, processes

EXAMPLES_FOLDER = pathlib.Path(__file__).parents[5] / "examples"
Call = caller.call.Call
Direction = faultproxy.faults.DirectionFaults
Faults = faultproxy.faults.Faults


@pytest.fixture(scope="module")
def nordvarde():
    """Returns the objects of the example deployment `nordvarde`."""
    return deployment.load(str(EXAMPLES_FOLDER / "nordvarde.jsonc"))


@pytest_asyncio.fixture
async def start_cluster(nordvarde, tmp_path):
    """Returns a function that starts a cluster with some services of `nordvarde`."""
    clusters: list[processes.cluster.Cluster] = []

    async def start(*services, **parameters):
        cluster = processes.cluster.Cluster(
            objects=nordvarde, folder=tmp_path, services=services, **parameters
        )
        clusters.append(cluster)
        await cluster.start()
        return cluster

    yield start
    for cluster in clusters:
        await cluster.close()


def test_addresses_are_replaced_and_references_stay(nordvarde, tmp_path):
    """Fails if two processes share an address, or an object of the set is lost."""
    cluster = processes.cluster.Cluster(objects=nordvarde, folder=tmp_path)
    servers = cluster.servers_by_name.values()
    addresses = [
        address
        for server in servers
        for address in (
            server.address,
            server.edge_address,
            server.peer_address,
            server.control_address,
        )
    ]
    assert len(set(addresses)) == 4 * len(servers) == 56
    assert cluster.objects.routes_by_name == nordvarde.routes_by_name
    assert {server.name: server.slots for server in servers} == {
        server.name: server.slots
        for group in nordvarde.groups_by_name.values()
        for server in group.backend_servers
    }


def test_services_can_be_selected(nordvarde, tmp_path):
    """Fails if a reduced deployment keeps routes or groups of services that do not run."""
    cluster = processes.cluster.Cluster(objects=nordvarde, folder=tmp_path, services=["accounts"])
    assert set(cluster.servers_by_name) == {"accounts-1", "accounts-2", "accounts-3"}
    assert set(cluster.objects.routes_by_name) == {"accounts", "statements"}


def test_unknown_kind_of_proxy_is_rejected(nordvarde, tmp_path):
    """Fails if a misspelt kind leaves a test without its proxy."""
    with pytest.raises(errors.TestkitError, match="proxied has edge"):
        processes.cluster.Cluster(objects=nordvarde, folder=tmp_path, proxied=frozenset({"edge"}))


async def test_calls_through_nodes_violate_no_invariant(start_cluster, pool):
    """Fails if nodes do not start from a published deployment, or logs contradict each other."""
    cluster = await start_cluster("accounts", "hallmark-issuing")
    made = caller.caller.Caller(pool=pool)
    for address in cluster.edge_addresses:
        lookup = await made.call(Call(path="/accounts/1", timeout_ms=5000), address)
        booking = await made.call(Call(method="POST", path="/hallmarks", body_bytes=100), address)
        assert lookup.is_own_answer is True, processes.cluster.log_tails(cluster)
        assert booking.is_own_answer is True, processes.cluster.log_tails(cluster)
        assert booking.ticket
        assert cluster.service_by_server[lookup.server] == "accounts"
    await cluster.observe_versions()
    runs = cluster.runs()
    assert len(runs) == 2 * len(cluster.edge_addresses)
    evidence = judge.evidence.Evidence(
        runs=runs,
        records=tuple(made.records),
        publications=tuple(cluster.publisher.publications),
        observations=tuple(cluster.observations),
    )
    assert judge.judge.judge(evidence) == ()
    assert {one.version for one in cluster.observations} == {1}


async def test_published_change_reaches_all_nodes(start_cluster):
    """Fails if a second version cannot be published, or is not in force at all nodes in 7 s."""
    cluster = await start_cluster("accounts")
    policies = {
        name: policy.model_copy(update={"queue_limit": 3})
        for name, policy in cluster.objects.policies_by_name.items()
    }
    changed = cluster.objects.model_copy(update={"policies_by_name": policies})
    assert await cluster.publish(changed) == 2
    deadline = time.monotonic() + 7
    while {one.version for one in await cluster.observe_versions()} != {2}:
        assert time.monotonic() < deadline, processes.cluster.log_tails(cluster)
        await asyncio.sleep(0.05)


async def test_planned_stop_of_a_node_is_recorded(start_cluster):
    """Fails if the exit of a node is not recorded, or another node exits with it."""
    cluster = await start_cluster("accounts")
    stop = await cluster.stop_node("accounts-1")
    assert stop.exit_status == 0, processes.cluster.log_tails(cluster)
    assert cluster.nodes_by_name["accounts-2"].running
    assert cluster.planned_stops == [stop]


async def test_connections_pass_through_the_proxies(start_cluster, pool):
    """Fails if calls bypass the proxy, so that faults on it have no effect."""
    cluster = await start_cluster("accounts", proxied=processes.cluster.PROXYABLE_CONNECTIONS)
    made = caller.caller.Caller(pool=pool)
    call = Call(path="/accounts/1", timeout_ms=5000)
    record = await made.call(call, cluster.edge_address("accounts-1"))
    assert record.is_own_answer is True, processes.cluster.log_tails(cluster)
    proxy = cluster.proxies_by_name["backend", record.server]
    assert proxy.accepted_connections > 0
    assert cluster.proxies_by_name["platform", "accounts-1"].accepted_connections > 0
    for name in cluster.servers_by_name:
        cluster.proxies_by_name["backend", name].set_faults(
            Faults(to_caller=Direction(delay_s=0.2))
        )
    begin = time.monotonic()
    record = await made.call(call, cluster.edge_address("accounts-1"))
    took_s = time.monotonic() - begin
    assert record.is_own_answer is True, (took_s, record, processes.cluster.log_tails(cluster))
    assert took_s > 0.2, (record, processes.cluster.log_tails(cluster))


async def test_faults_of_backend_servers_are_set_by_name(start_cluster, pool):
    """Fails if a fault is set on another server than the named one."""
    cluster = await start_cluster("accounts")
    refuse = backend.fault.Fault(kind=backend.fault.FaultKind.REFUSE)
    await cluster.backend("accounts-2").set_fault(refuse)
    made = caller.caller.Caller(pool=pool)
    record = await made.call(Call(), cluster.servers_by_name["accounts-2"].address)
    assert record.outcome == "refused"
    record = await made.call(Call(), cluster.servers_by_name["accounts-1"].address)
    assert record.is_own_answer is True


async def test_partition_separates_nodes_and_heals(start_cluster, pool):
    """Fails if nodes of different sides reach each other, or do not after the partition heals."""
    cluster = await start_cluster(
        "accounts", "hallmark-issuing", proxied=frozenset({"peer", "control"})
    )
    made = caller.caller.Caller(pool=pool)
    call = Call(path="/accounts/1", timeout_ms=1500)
    entry = cluster.edge_address("hallmark-issuing-1")
    first = await made.call(call, entry)
    assert first.is_own_answer is True, processes.cluster.log_tails(cluster)
    cluster.partition(
        [name for name in cluster.servers_by_name if name.startswith("accounts")],
        [name for name in cluster.servers_by_name if name.startswith("hallmark")],
    )
    partitioned = await made.call(call, entry)
    assert partitioned.is_own_answer is None
    inside = await made.call(call, cluster.edge_address("accounts-1"))
    assert inside.is_own_answer is True, processes.cluster.log_tails(cluster)
    cluster.heal()
    deadline = time.monotonic() + 10
    while not (await made.call(call, entry)).is_own_answer:
        assert time.monotonic() < deadline, processes.cluster.log_tails(cluster)
        await asyncio.sleep(0.1)


def test_partition_without_proxies_is_rejected(nordvarde, tmp_path):
    """Fails if a partition that cannot take effect raises no error."""
    cluster = processes.cluster.Cluster(objects=nordvarde, folder=tmp_path)
    with pytest.raises(errors.TestkitError, match="partition needs proxied"):
        cluster.partition(["accounts-1"], ["accounts-2"])


class _RecordingProxy:
    """Records the faults that are set, by source."""

    def __init__(self):
        self.faults_by_source = {}

    def set_faults(self, faults, source):
        """Records the faults of a source."""
        self.faults_by_source[source] = faults


@pytest.mark.parametrize("one_way", [False, True])
def test_partition_pauses_the_named_directions(nordvarde, tmp_path, one_way):
    """Guards against a one-way partition that pauses both directions, or the wrong one."""
    made = processes.cluster.Cluster(
        objects=nordvarde,
        folder=tmp_path,
        proxied=frozenset({"peer", "control"}),
    )
    recording: dict[Any, Any] = {
        (kind, name): _RecordingProxy() for kind in ("peer", "control") for name in "ab"
    }
    made.proxies_by_name.update(recording)
    made.partition(["a"], ["b"], one_way=one_way)
    for kind in ("peer", "control"):
        from_a = recording[kind, "b"].faults_by_source["a"]
        from_b = recording[kind, "a"].faults_by_source["b"]
        assert (from_a.to_target.pause, from_a.to_caller.pause) == (True, not one_way)
        assert (from_b.to_target.pause, from_b.to_caller.pause) == (not one_way, True)
