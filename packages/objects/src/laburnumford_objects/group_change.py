"""Model of the changes of one group in a delta."""

from laburnumford_objects import _model, backend_server


class GroupChange(_model.Model):
    """The backend servers that a delta adds to a group, replaces or removes."""

    name: _model.Name = _model.described_field("Name of the group, which is created if missing.")
    backend_servers: tuple[backend_server.BackendServer, ...] = _model.described_field(
        "Servers that are added or replaced.", default=()
    )
    removed: tuple[_model.Name, ...] = _model.described_field(
        "Names of the servers that are removed.", default=()
    )
