"""First line of a part of a snapshot."""

from laburnumford_objects import _model, head


class SnapshotHeader(_model.Model):
    """Describes one part of a snapshot and the snapshot as a whole."""

    workspace: _model.Name = _model.declared("Name of the workspace.")
    version: int = _model.declared("Version of the snapshot.", ge=1, le=2**53)
    digest: head.Digest = _model.declared("Digest of that version.")
    part: int = _model.declared("Number of the part, from 1.", ge=1, le=1000)
    parts: int = _model.declared("Number of parts.", ge=1, le=1000)
    sha256: head.Digest = _model.declared("SHA-256 of the joined contents of all parts.")
