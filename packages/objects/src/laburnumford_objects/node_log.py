"""Log settings of a node."""

from typing import Literal

from laburnumford_objects import _model


class NodeLog(_model.Model):
    """What a node logs, and how."""

    level: Literal["debug", "info", "warning", "error"] = _model.declared(
        "Lowest level that is logged.", default="info"
    )
    format: Literal["text", "json"] = _model.declared("Format of a line.", default="text")
