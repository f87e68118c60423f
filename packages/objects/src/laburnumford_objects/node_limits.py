"""Limits of a node."""

from laburnumford_objects import _model


class NodeLimits(_model.Model):
    """Bounds on connections, memory and waits of a node."""

    edge_connections: int = _model.declared(
        "Connections of callers.", "connections", ge=1, le=100_000, default=1000
    )
    header_bytes: int = _model.declared(
        "Size of a header section.", "bytes", ge=1024, le=1_048_576, default=32_768
    )
    buffer_bytes: int = _model.declared(
        "Bytes buffered per direction of a call, of which one read takes up to 32,768.",
        "bytes",
        ge=32_768,
        le=1_048_576,
        default=65_536,
    )
    buffer_total_bytes: int = _model.declared(
        "Bytes buffered for all calls, above which reading stops.",
        "bytes",
        ge=1_048_576,
        le=4_294_967_296,
        default=67_108_864,
    )
    header_timeout_s: float = _model.declared(
        "Time to read a header section.", "s", ge=0.1, le=600, default=10.0
    )
    idle_timeout_s: float = _model.declared(
        "Time until an idle connection closes.", "s", ge=0.1, le=3600, default=60.0
    )
    connect_timeout_s: float = _model.declared(
        "Time to open a connection.", "s", ge=0.01, le=60, default=1.0
    )
