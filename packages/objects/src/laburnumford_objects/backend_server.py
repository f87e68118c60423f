"""Model of a backend server."""

from laburnumford_objects import _model


class BackendServer(_model.Model):
    """A backend server and the addresses of its node."""

    name: _model.Name = _model.described_field("Name of the server, unique in the workspace.")
    address: _model.Address = _model.described_field("Address of the server itself.")
    edge_address: _model.Address = _model.described_field(
        "Address on which its node accepts connections from callers."
    )
    peer_address: _model.Address = _model.described_field(
        "Address on which its node accepts connections from other nodes."
    )
    control_address: _model.Address = _model.described_field(
        "Address on which its node receives control messages."
    )
    zone: _model.Name = _model.described_field("Name of the availability zone.")
    slots: int = _model.described_field(
        "Maximum number of requests that the server runs at the same time.",
        "requests",
        ge=1,
        le=1000,
    )
    connections: int = _model.described_field(
        "Maximum number of connections that the server accepts.",
        "connections",
        ge=1,
        le=10_000,
        default=250,
    )
    draining: bool = _model.described_field(
        "Whether the server is draining and gets no new requests.", default=False
    )
