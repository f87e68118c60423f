"""Settings of a node."""

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
_Registered = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[a-z][a-z0-9_-]{0,62}$"),
    pydantic.WithJsonSchema({"type": "string", "title": "name of a registered class"}),
]


class NodeSettings(_model.Model):
    """What one node knows before it has read the configuration."""

    name: _model.Name = _model.declared("Name of the node.")
    workspace: _model.Name = _model.declared("Name of the workspace.")
    zone: _model.Name = _model.declared("Name of its availability zone.")
    backend_server: _model.Name = _model.declared("Name of the backend server beside it.")
    backend_address: _model.Address = _model.declared("Address of that backend server.")
    edge_address: _model.Address = _model.declared("Address where it takes callers.")
    peer_address: _model.Address = _model.declared("Address where it takes other nodes.")
    control_address: _model.Address = _model.declared("Address where it takes control messages.")
    operator_address: _model.Address = _model.declared("Address of the operators' pages.")
    platform_url: _Url = _model.declared("URL of the platform.")
    health_path: str = _model.declared(
        "Path of the health request to the backend server.",
        default="/health",
        pattern=r"^/[!-~]*$",
        max_length=256,
    )
    control_seeds: tuple[_model.Address, ...] = _model.declared(
        "Control addresses of nodes that are asked first.", default=(), max_length=64
    )
    chooser: _Registered = _model.declared(
        "Name of the algorithm that chooses servers.", default="latency_aware"
    )
    limiter: _Registered = _model.declared(
        "Name of the algorithm that adapts the concurrency limit.", default="gradient"
    )
    seed: int | None = _model.declared(
        "Seed of the random generator; taken from the system if null.",
        default=None,
        ge=0,
        le=2**63 - 1,
    )
    log: node_log.NodeLog = _model.declared("What it logs, and how.", default=node_log.NodeLog())
    trace: node_trace.NodeTrace = _model.declared(
        "Where it writes spans.", default=node_trace.NodeTrace()
    )
    limits: node_limits.NodeLimits = _model.declared(
        "Bounds on connections, memory and waits.", default=node_limits.NodeLimits()
    )
    grace_s: float = _model.declared(
        "Time to finish requests when the node stops.", "s", ge=0, le=3600, default=30.0
    )
