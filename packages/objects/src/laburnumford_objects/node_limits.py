"""Settings that limit the resources of a node."""

from laburnumford_objects import _model


class NodeLimits(_model.Model):
    """Limits on the connections, buffers and waiting times of a node."""

    edge_connections: int = _model.described_field(
        "Maximum number of connections from callers.",
        "connections",
        ge=1,
        le=100_000,
        default=1000,
    )
    header_bytes: int = _model.described_field(
        "Maximum size of a header section.", "bytes", ge=1024, le=1_048_576, default=32_768
    )
    buffer_bytes: int = _model.described_field(
        "Maximum size of the buffered data per direction of a call;"
        " one read takes up to 32,768 bytes of it.",
        "bytes",
        ge=32_768,
        le=1_048_576,
        default=65_536,
    )
    buffer_total_bytes: int = _model.described_field(
        "Size of the buffered data of all calls above which reading stops.",
        "bytes",
        ge=1_048_576,
        le=4_294_967_296,
        default=67_108_864,
    )
    header_timeout_s: float = _model.described_field(
        "Maximum time to receive a header section.", "s", ge=0.1, le=600, default=10.0
    )
    idle_timeout_s: float = _model.described_field(
        "Time after which an idle connection is closed.", "s", ge=0.1, le=3600, default=60.0
    )
    connect_timeout_s: float = _model.described_field(
        "Maximum time to open a connection.", "s", ge=0.01, le=60, default=1.0
    )
