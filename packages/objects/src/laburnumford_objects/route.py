"""Routes."""

from typing import Annotated, Literal

import pydantic

from laburnumford_objects import _model

Method = Literal["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "TRACE"]

_PathPrefix = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^(/|(/[!-.0->@-~]+)+)$", max_length=1024),
    pydantic.WithJsonSchema(
        {
            "type": "string",
            "title": "absolute path of at most 1024 printable ASCII characters,"
            " without '?', empty segments or a final '/'",
        }
    ),
]
_Host = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$",
        max_length=253,
    ),
    pydantic.WithJsonSchema({"type": "string", "title": "lower-case host name without port"}),
]


class Route(_model.Model):
    """Assigns requests to a service."""

    name: _model.Name = _model.declared("Name of the route.")
    service: _model.Name = _model.declared("Name of the service.")
    path_prefix: _PathPrefix = _model.declared(
        "Path that the request path equals, or continues with a further segment."
    )
    host: _Host | None = _model.declared("Host of the request; any host if null.", default=None)
    methods: tuple[Method, ...] | None = _model.declared(
        "Methods of the request; any method if null.", default=None, min_length=1, max_length=8
    )
    policy: _model.Name | None = _model.declared(
        "Name of the policy used instead of the policy of the service.", default=None
    )
