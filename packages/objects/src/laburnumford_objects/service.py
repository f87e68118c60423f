"""Model of a service."""

from laburnumford_objects import _model


class Service(_model.Model):
    """A service that a group of backend servers provides."""

    name: _model.Name = _model.described_field("Name of the service.")
    group: _model.Name = _model.described_field("Name of the group of backend servers.")
    policy: _model.Name = _model.described_field(
        "Name of the policy of the routes that name no policy."
    )
