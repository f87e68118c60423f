"""Model of a route."""

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
    """Assigns the requests with a path prefix, host and method to a service."""

    name: _model.Name = _model.described_field("Name of the route.")
    service: _model.Name = _model.described_field("Name of the service.")
    path_prefix: _PathPrefix = _model.described_field(
        "Prefix of the request path, compared by whole segments."
    )
    host: _Host | None = _model.described_field(
        "Host of the requests; any host if null.", default=None
    )
    methods: tuple[Method, ...] | None = _model.described_field(
        "Methods of the requests; any method if null.", default=None, min_length=1, max_length=8
    )
    policy: _model.Name | None = _model.described_field(
        "Name of the policy used instead of the policy of the service.", default=None
    )
