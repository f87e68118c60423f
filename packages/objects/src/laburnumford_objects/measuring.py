"""Budgets for measuring a backend server."""

from laburnumford_objects import _model


class Measuring(_model.Model):
    """What probes of one backend server may cost at most."""

    calls_per_s: float = _model.declared("Probes.", "calls/s", ge=0, le=1000, default=5.0)
    bytes_per_s: float = _model.declared(
        "Bytes sent and received.", "bytes/s", ge=0, le=1_000_000, default=3000.0
    )
    cpu_ms_per_s: float = _model.declared(
        "Processor time of the server.", "ms/s", ge=0, le=1000, default=10.0
    )
