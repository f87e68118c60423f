"""Settings of a mesh node."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RepeatBudgetSettings:
    """Bound on requests that reach a service more than once, over all nodes.

    Attributes:
        ratio: repeats allowed for each request.
        slack: repeats allowed besides in each window.
        window_s: length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MeshSettings:
    """What a node has to know before it reads anything published.

    Attributes:
        node: name of the node.
        ip: address of its VM.
        zone: its availability zone.
        service: service of the backend server beside it.
        server_address: ``ip:port`` of that server.
        edge_address: ``ip:port`` for callers.
        ready_address: ``ip:port`` of the readiness check.
        peer_port: TCP and UDP port for other nodes, the same on all VMs.
        metrics_address: ``ip:port`` of the metrics page.
        store_address: ``ip:port`` of the key-value store.
        memory_bytes: memory that the process may use.
        max_connections: connections of callers.
        grace_s: time between the signal to stop and the end, in seconds.
        repeat_budget: bound on repeats.
    """

    node: str
    ip: str
    zone: str
    service: str
    server_address: str
    edge_address: str
    ready_address: str
    peer_port: int
    metrics_address: str
    store_address: str
    memory_bytes: int
    max_connections: int
    grace_s: float
    repeat_budget: RepeatBudgetSettings
