"""Groups of backend servers."""

from typing import Annotated

import pydantic

from laburnumford_objects import _model, backend_server


def _by_name(
    servers: tuple[backend_server.BackendServer, ...],
) -> tuple[backend_server.BackendServer, ...]:
    return tuple(sorted(servers, key=lambda server: server.name))


class Group(_model.Model):
    """The backend servers of a service, kept in the order of their names."""

    name: _model.Name = _model.declared("Name of the group.")
    backend_servers: Annotated[
        tuple[backend_server.BackendServer, ...], pydantic.AfterValidator(_by_name)
    ] = _model.declared("Servers of the group, in any order.", min_length=1, max_length=10_000)
