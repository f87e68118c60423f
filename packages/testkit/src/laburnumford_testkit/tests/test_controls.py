"""Tests of the negative controls."""

import subprocess
import sys

import pytest

from laburnumford_testkit import controls, errors, judge
from laburnumford_testkit.controls import outcome


def test_every_invariant_has_a_control():
    """Guards against a rule of the judge that no fault exercises."""
    covered = {
        controls.fault.faults.create(name).invariant for name in controls.fault.faults.names()
    }
    assert covered == set(judge.invariant.Invariant)


def test_all_faults_can_be_installed():
    """Guards against a fault that replaces a method which the node no longer has."""
    script = (
        "from laburnumford_testkit import controls\n"
        "for name in controls.fault.faults.names():\n"
        "    controls.fault.faults.create(name).install()\n"
    )
    subprocess.run([sys.executable, "-c", script], check=True, timeout=60)


def test_unknown_attribute_is_not_replaced():
    """Guards against a fault that sets an attribute which the node does not use."""
    with pytest.raises(errors.TestkitError, match="no attribute 'missing'"):
        controls.fault.replace(judge.finding.Finding, "missing", None)


@pytest.mark.parametrize(
    ("fields", "has_passed"),
    [
        ({"faulty": True, "found_invariants": frozenset({"P4"}), "findings": ("P4 key",)}, True),
        ({"faulty": True, "found_invariants": frozenset({"P2"}), "findings": ("P2 call",)}, False),
        ({"faulty": True}, False),
        ({"faulty": False}, True),
        ({"faulty": False, "found_invariants": frozenset({"P4"}), "findings": ("P4 key",)}, False),
        ({"faulty": False, "event_count": 0}, False),
        (
            {"faulty": True, "found_invariants": frozenset({"P4"}), "error": "no node started"},
            False,
        ),
    ],
)
def test_trial_passes_only_with_the_expected_findings(fields, has_passed):
    """Guards against a trial that passes with another violation, or although nothing ran."""
    made = outcome.TrialOutcome(
        **{"name": "n", "expected_invariant": "P4", "event_count": 3, **fields}
    )
    assert made.has_passed is has_passed
