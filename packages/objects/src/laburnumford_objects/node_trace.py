"""Trace settings of a node."""

from laburnumford_objects import _model


class NodeTrace(_model.Model):
    """Where a node writes spans, and of how many calls."""

    path: str | None = _model.declared(
        "File of the spans; no spans are written if null.", default=None, max_length=4096
    )
    sample_ratio: float = _model.declared("Share of calls traced.", ge=0, le=1, default=0.01)
