"""Model of the settings of a node."""

from typing import Annotated

import pydantic

from laburnumford_objects import _model, node_limits, node_log, node_trace

_Url = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^https?://[!-~]+$", max_length=1024),
    pydantic.WithJsonSchema(
        {"type": "string", "title": "http or https URL of at most 1024 printable characters"}
    ),
]
_RegistryKey = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[a-z][a-z0-9_-]{0,62}$"),
    pydantic.WithJsonSchema({"type": "string", "title": "name of a registered class"}),
]


class NodeSettings(_model.Model):
    """The settings that a node reads at its start, before it receives the published objects."""

    name: _model.Name = _model.described_field("Name of the node.")
    workspace: _model.Name = _model.described_field("Name of the workspace.")
    zone: _model.Name = _model.described_field("Name of the availability zone of the node.")
    backend_server: _model.Name = _model.described_field("Name of the adjacent backend server.")
    backend_address: _model.Address = _model.described_field(
        "Address of the adjacent backend server."
    )
    edge_address: _model.Address = _model.described_field(
        "Address on which the node accepts connections from callers."
    )
    peer_address: _model.Address = _model.described_field(
        "Address on which the node accepts connections from other nodes."
    )
    control_address: _model.Address = _model.described_field(
        "Address on which the node receives control messages."
    )
    operator_address: _model.Address = _model.described_field(
        "Address on which the node serves the pages for operators."
    )
    platform_url: _Url = _model.described_field("URL of the platform.")
    health_path: str = _model.described_field(
        "Path of the health requests to the backend server.",
        default="/health",
        pattern=r"^/[!-~]*$",
        max_length=256,
    )
    control_seeds: tuple[_model.Address, ...] = _model.described_field(
        "Control addresses of nodes that are contacted while no other node answers.",
        default=(),
        max_length=64,
    )
    chooser: _RegistryKey = _model.described_field(
        "Name of the algorithm that chooses servers.", default="latency_aware"
    )
    limiter: _RegistryKey = _model.described_field(
        "Name of the algorithm that adapts the concurrency limit.", default="gradient"
    )
    seed: int | None = _model.described_field(
        "Seed of the random number generator; taken from the operating system if null.",
        default=None,
        ge=0,
        le=2**63 - 1,
    )
    log: node_log.NodeLog = _model.described_field(
        "Level and format of the log.", default=node_log.NodeLog()
    )
    trace: node_trace.NodeTrace = _model.described_field(
        "File of the spans and share of the traced calls.", default=node_trace.NodeTrace()
    )
    limits: node_limits.NodeLimits = _model.described_field(
        "Limits on connections, buffers and waiting times.", default=node_limits.NodeLimits()
    )
    grace_s: float = _model.described_field(
        "Time to finish running requests when the node stops.", "s", ge=0, le=3600, default=30.0
    )
