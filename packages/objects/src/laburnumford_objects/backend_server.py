"""Backend servers."""

from laburnumford_objects import _model


class BackendServer(_model.Model):
    """A backend server and the addresses of the node beside it."""

    name: _model.Name = _model.declared("Name of the server, unique in the workspace.")
    address: _model.Address = _model.declared("Address of the server itself.")
    edge_address: _model.Address = _model.declared("Address where its node takes callers.")
    peer_address: _model.Address = _model.declared("Address where its node takes other nodes.")
    control_address: _model.Address = _model.declared(
        "Address where its node takes control messages."
    )
    zone: _model.Name = _model.declared("Name of the availability zone.")
    slots: int = _model.declared(
        "Requests that the server runs at the same time.", "requests", ge=1, le=1000
    )
    connections: int = _model.declared(
        "Connections that the server accepts.", "connections", ge=1, le=10_000, default=250
    )
    draining: bool = _model.declared("Whether the server takes no new work.", default=False)
