"""Tests of the header fields in which a server tells of its trouble."""

import pytest

from laburnumford_mesh import server_notice
from laburnumford_mesh.tests import conftest


def _parse(*values):
    return server_notice.parse([(b"x-rate-limit", value) for value in values], conftest.NAMES)


@pytest.mark.parametrize(("value", "rate_per_s"), [(b"4.3", 4.3), (b" 1 ", 1.0), (b"0.25", 0.25)])
def test_decimal_number_is_a_limit(value, rate_per_s):
    """Guards against ignoring a limit."""
    assert _parse(value).rate_limit_per_s == rate_per_s


@pytest.mark.parametrize(
    "value",
    [b"0", b"0.0", b"-1", b"nan", b"inf", b"1e9", b"1e400", b"", b"1_0", b"1,2", b"9" * 10_240],
)
def test_malformed_limit_is_reported_and_shortened(value):
    """Guards against a limit of nothing, or of everything, from a server in trouble."""
    found = _parse(value)
    assert found.rate_limit_per_s is None
    assert found.limit_malformed
    assert found.malformed == ((b"x-rate-limit", value[:64]),)


def test_limit_that_is_given_twice_is_malformed():
    """Guards against taking one of two limits at random."""
    assert _parse(b"1", b"2").limit_malformed


def test_answer_without_a_limit_has_none():
    """Guards against a limit that never ends."""
    found = _parse()
    assert found.rate_limit_per_s is None
    assert not found.limit_malformed


@pytest.mark.parametrize(
    ("values", "leaving"),
    [([b"1"], True), ([b"0"], False), ([b""], False), ([b"true"], False), ([b"1", b"1"], False)],
)
def test_only_the_allowed_value_says_that_the_server_leaves(values, leaving):
    """Guards against taking a server in trouble for one that leaves."""
    found = server_notice.parse([(b"x-leaving", value) for value in values], conftest.NAMES)
    assert found.leaving is leaving
    assert bool(found.malformed) is not leaving
