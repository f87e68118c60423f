"""Errors of the choosers."""

from laburnumford_objects import errors


class ChoiceError(errors.LaburnumfordError):
    """Base class of the errors of the choosers."""


class ChoiceParameterError(ChoiceError, errors.ParameterError):
    """A parameter of a chooser has a wrong type or lies outside its range."""


class LoadReportError(ChoiceError, ValueError):
    """A load report cannot be decoded."""
