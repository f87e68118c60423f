"""Settings of a mesh node."""

import dataclasses

from laburnumford_mesh.http import read_limits as read_limits_module


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudgetSettings:
    """Bounds the retries of requests to a service, over all nodes.

    Attributes:
        ratio: retries allowed for each request.
        slack: retries allowed in each window in addition to the ratio.
        window_s: length of the sliding window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ColdStartSettings:
    """Bounds the requests to a cold server beyond the rate that it sustains.

    Attributes:
        factor: allowed multiple of the rate.
        slack: requests allowed in each second in addition.
    """

    factor: float = 1.5
    slack: float = 8.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MeshSettings:
    """Settings that a node needs before it reads published values.

    Attributes:
        node: name of the node.
        ip: IP address of its VM.
        zone: availability zone of its VM.
        service: service of the adjacent backend server.
        server_address: ``ip:port`` of that backend server.
        edge_address: ``ip:port`` for callers.
        ready_address: ``ip:port`` of the readiness check.
        peer_port: TCP and UDP port for other nodes, the same on all VMs.
        metrics_address: ``ip:port`` of the metrics page.
        store_address: ``ip:port`` of the key-value store.
        memory_bytes: bytes of memory that the process may use.
        max_connections: largest number of caller connections.
        max_operator_connections: largest number of connections on each listener for operators
            (readiness check and metrics page).
        max_descriptors: largest number of file descriptors for connections; None for no limit
            but that of the system.
        grace_s: time between the signal to stop and the end of the process, in seconds.
        retry_budget: bound on retries.
        link_mbps: bandwidth of the VM's network link in Mbit/s, 0 if it is unknown.
        fair_share: whether callers share the adjacent server fairly under overload.
        cold_start: bound on the requests to cold servers.
        read_limits: limits on what is read from the backend server for one request.
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
    retry_budget: RetryBudgetSettings
    link_mbps: float = 0.0
    fair_share: bool = False
    cold_start: ColdStartSettings = ColdStartSettings()
    read_limits: read_limits_module.ReadLimits = dataclasses.field(
        default_factory=read_limits_module.ReadLimits
    )
    max_operator_connections: int = 64
    max_descriptors: int | None = None
