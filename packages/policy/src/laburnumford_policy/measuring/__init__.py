"""Bounds on the cost of probing a backend server and on the times of its probes."""

from laburnumford_policy.measuring.cost import Cost
from laburnumford_policy.measuring.errors import MeasuringError, MeasuringParameterError
from laburnumford_policy.measuring.measuring_budget import MeasuringBudget
from laburnumford_policy.measuring.probe_schedule import ProbeSchedule

__all__ = [
    "Cost",
    "MeasuringBudget",
    "MeasuringError",
    "MeasuringParameterError",
    "ProbeSchedule",
]
