"""Model of the first line of each part of a snapshot."""

from laburnumford_objects import _model, head


class SnapshotHeader(_model.Model):
    """Identifies a part of a snapshot and the snapshot that it belongs to."""

    workspace: _model.Name = _model.described_field("Name of the workspace.")
    version: int = _model.described_field("Version of the snapshot.", ge=1, le=2**53)
    digest: head.Digest = _model.described_field("Digest of that version.")
    part: int = _model.described_field("Number of the part, from 1.", ge=1, le=1000)
    parts: int = _model.described_field("Number of parts.", ge=1, le=1000)
    sha256: head.Digest = _model.described_field("SHA-256 of the joined contents of all parts.")
