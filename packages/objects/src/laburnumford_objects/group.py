"""Model of a group of backend servers."""

from typing import Annotated

import pydantic

from laburnumford_objects import _model, backend_server


def _sort_by_name(
    servers: tuple[backend_server.BackendServer, ...],
) -> tuple[backend_server.BackendServer, ...]:
    return tuple(sorted(servers, key=lambda server: server.name))


class Group(_model.Model):
    """The backend servers of a service, sorted by name."""

    name: _model.Name = _model.described_field("Name of the group.")
    backend_servers: Annotated[
        tuple[backend_server.BackendServer, ...], pydantic.AfterValidator(_sort_by_name)
    ] = _model.described_field(
        "Servers of the group, in any order.", min_length=1, max_length=10_000
    )
