"""Choosers, which select a backend server for each call."""

from laburnumford_policy.choice.candidate import Candidate
from laburnumford_policy.choice.chooser import Chooser
from laburnumford_policy.choice.errors import (
    ChoiceError,
    ChoiceParameterError,
    LoadReportError,
)
from laburnumford_policy.choice.explanation import Explanation
from laburnumford_policy.choice.latency_aware import LatencyAwareChooser
from laburnumford_policy.choice.least_outstanding import LeastOutstandingChooser
from laburnumford_policy.choice.load_report import LoadReport
from laburnumford_policy.choice.peak_ewma import PeakEwmaChooser
from laburnumford_policy.choice.power_of_two import PowerOfTwoChooser
from laburnumford_policy.choice.prequal import PrequalChooser
from laburnumford_policy.choice.random_choice import RandomChooser
from laburnumford_policy.choice.registry import choosers
from laburnumford_policy.choice.result import Result
from laburnumford_policy.choice.round_robin import RoundRobinChooser

__all__ = [
    "Candidate",
    "ChoiceError",
    "ChoiceParameterError",
    "Chooser",
    "Explanation",
    "LatencyAwareChooser",
    "LeastOutstandingChooser",
    "LoadReport",
    "LoadReportError",
    "PeakEwmaChooser",
    "PowerOfTwoChooser",
    "PrequalChooser",
    "RandomChooser",
    "Result",
    "RoundRobinChooser",
    "choosers",
]
