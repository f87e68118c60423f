"""Model of the published head of a workspace."""

from typing import Annotated

import pydantic

from laburnumford_objects import _model, _validation, errors

Digest = Annotated[
    str,
    pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$"),
    pydantic.WithJsonSchema({"type": "string", "title": "64 hexadecimal digits"}),
]


class Head(_model.Model):
    """The version in force and the last snapshot, from which a starting node reads."""

    workspace: _model.Name = _model.described_field("Name of the workspace.")
    version: int = _model.described_field("Version in force.", ge=1, le=2**53)
    digest: Digest = _model.described_field("Digest of the version in force.")
    snapshot_version: int = _model.described_field("Version of the last snapshot.", ge=1, le=2**53)
    snapshot_parts: int = _model.described_field(
        "Number of parts of that snapshot.", "parts", ge=1, le=1000
    )

    def encode(self) -> bytes:
        """Returns the published value."""
        return self.model_dump_json().encode()

    @classmethod
    def decode(cls, value: bytes) -> "Head":
        """Returns the head that was published as `value`.

        Raises:
            CorruptVersionError: the value is not a valid head, or its snapshot is newer than its
                version.
        """
        try:
            head = cls.model_validate_json(value)
        except pydantic.ValidationError as error:
            raise errors.CorruptVersionError("head", _validation.summarise(error)) from error
        if head.snapshot_version > head.version:
            raise errors.CorruptVersionError(
                "head",
                f"field snapshot_version: found {head.snapshot_version};"
                f" allowed: 1 to {head.version}, the version in force",
            )
        return head
