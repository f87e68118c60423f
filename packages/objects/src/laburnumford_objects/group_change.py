"""Changes of the backend servers of one group."""

from laburnumford_objects import _model, backend_server


class GroupChange(_model.Model):
    """The backend servers that a delta sets in a group or removes from it."""

    name: _model.Name = _model.declared("Name of the group, which is created if missing.")
    backend_servers: tuple[backend_server.BackendServer, ...] = _model.declared(
        "Servers that are added or replaced.", default=()
    )
    removed: tuple[_model.Name, ...] = _model.declared(
        "Names of the servers that are removed.", default=()
    )
