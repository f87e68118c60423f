"""The published form of a delta."""

import pydantic

from laburnumford_objects import _model, _packing, _validation, errors
from laburnumford_objects import delta as deltas


class ChangeRecord(_model.Model):
    """A delta with the versions that it leads from and to."""

    version: int = _model.declared("Version that the delta leads to.", ge=1, le=2**53)
    base: int = _model.declared("Version that the delta starts from.", ge=0, le=2**53)
    delta: deltas.Delta = _model.declared("The change.")

    def encode(self) -> bytes:
        """Returns the published value."""
        return _packing.pack(self.model_dump_json(exclude_unset=True).encode())

    @classmethod
    def decode(cls, value: bytes, key: str) -> "ChangeRecord":
        """Returns the record that was published as `value`.

        Raises:
            BrokenVersionError: the value is cut, altered or not a delta.
        """
        text = _packing.unpack(value, key)
        try:
            return cls.model_validate_json(text)
        except pydantic.ValidationError as error:
            raise errors.BrokenVersionError(key, _validation.summary(error)) from error
