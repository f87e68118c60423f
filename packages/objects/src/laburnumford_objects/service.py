"""Services."""

from laburnumford_objects import _model


class Service(_model.Model):
    """A service that a group of backend servers provides."""

    name: _model.Name = _model.declared("Name of the service.")
    group: _model.Name = _model.declared("Name of the group of backend servers.")
    policy: _model.Name = _model.declared("Name of the policy of its routes.")
