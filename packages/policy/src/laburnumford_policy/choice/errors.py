"""Errors of server choice."""

from laburnumford_objects import errors


class ChoiceError(errors.LaburnumfordError):
    """Base class of the errors of server choice."""


class ChoiceParameterError(ChoiceError, errors.ParameterError):
    """A parameter of a chooser has a wrong type or lies outside its range."""


class LoadReportError(ChoiceError, ValueError):
    """A load report cannot be decoded."""
