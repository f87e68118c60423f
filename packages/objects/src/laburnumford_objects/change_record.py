"""Model of a published delta."""

import pydantic

from laburnumford_objects import _model, _packing, _validation, errors
from laburnumford_objects import delta as deltas


class ChangeRecord(_model.Model):
    """A delta with the version that it starts from and the version that it leads to."""

    version: int = _model.described_field("Version that the delta leads to.", ge=1, le=2**53)
    base: int = _model.described_field("Version that the delta starts from.", ge=0, le=2**53)
    delta: deltas.Delta = _model.described_field("The change.")

    def encode(self) -> bytes:
        """Returns the published value."""
        return _packing.pack(self.model_dump_json(exclude_unset=True).encode())

    @classmethod
    def decode(cls, value: bytes, key: str) -> "ChangeRecord":
        """Returns the record that was published as `value`.

        Args:
            value: the published value.
            key: key of the value, for error messages.

        Raises:
            CorruptVersionError: the value is truncated, altered or not a delta.
        """
        text = _packing.unpack(value, key)
        try:
            return cls.model_validate_json(text)
        except pydantic.ValidationError as error:
            raise errors.CorruptVersionError(key, _validation.summarise(error)) from error
