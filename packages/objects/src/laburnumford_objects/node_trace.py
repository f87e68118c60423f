"""Settings of the tracing of a node."""

from laburnumford_objects import _model


class NodeTrace(_model.Model):
    """File to which a node writes spans, and the share of calls that it traces."""

    path: str | None = _model.described_field(
        "File to which spans are written; no spans if null.", default=None, max_length=4096
    )
    sample_ratio: float = _model.described_field(
        "Share of the calls that are traced.", ge=0, le=1, default=0.01
    )
