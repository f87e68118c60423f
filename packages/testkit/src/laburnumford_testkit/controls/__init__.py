"""Negative controls: nodes with one fault each, in which the judge must find a violation."""

from laburnumford_testkit.controls import answers, fault, leaving, measuring, once, trial, versions

__all__ = ["answers", "fault", "leaving", "measuring", "once", "trial", "versions"]
