"""Model of the limits on measuring a backend server."""

from laburnumford_objects import _model


class MeasuringLimits(_model.Model):
    """Upper limits of the rate and the cost of the probes of one backend server."""

    calls_per_s: float = _model.described_field(
        "Maximum rate of probes.", "calls/s", ge=0, le=1000, default=5.0
    )
    bytes_per_s: float = _model.described_field(
        "Maximum rate of bytes that probes send and receive.",
        "bytes/s",
        ge=0,
        le=1_000_000,
        default=3000.0,
    )
    cpu_ms_per_s: float = _model.described_field(
        "Maximum CPU time that probes take on the server, per second.",
        "ms/s",
        ge=0,
        le=1000,
        default=10.0,
    )
