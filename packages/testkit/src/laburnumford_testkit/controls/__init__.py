"""Negative controls: clusters of nodes with one fault, whose violation the judge must find."""

from laburnumford_testkit.controls import answers, fault, leaving, measuring, once, trial, versions

__all__ = ["answers", "fault", "leaving", "measuring", "once", "trial", "versions"]
