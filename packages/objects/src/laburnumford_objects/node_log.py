"""Settings of the log of a node."""

from typing import Literal

from laburnumford_objects import _model


class NodeLog(_model.Model):
    """Level and format of the log of a node."""

    level: Literal["debug", "info", "warning", "error"] = _model.described_field(
        "Lowest level that is logged.", default="info"
    )
    format: Literal["text", "json"] = _model.described_field(
        "Format of a log line.", default="text"
    )
