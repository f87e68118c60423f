"""Errors of the probing cost and schedule."""

from laburnumford_objects import errors


class MeasuringError(errors.LaburnumfordError):
    """Base class of the errors of this package."""


class MeasuringParameterError(MeasuringError, errors.ParameterError):
    """A parameter has a wrong type or lies outside its range."""
