"""Model of an availability zone."""

from collections.abc import Mapping
from typing import Annotated

from laburnumford_objects import _model

_Milliseconds = Annotated[float, _model.described_field("", ge=0, le=1000)]


class Zone(_model.Model):
    """An availability zone and its network delays to other zones."""

    name: _model.Name = _model.described_field("Name of the zone.")
    region: _model.Name = _model.described_field("Name of the region that contains the zone.")
    one_way_ms_by_zone: Mapping[_model.Name, _Milliseconds] = _model.described_field(
        "One-way network delay to other zones.", "ms", default_factory=dict, max_length=1000
    )
