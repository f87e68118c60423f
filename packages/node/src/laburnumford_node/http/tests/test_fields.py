"""Tests of the values of header fields."""

import hypothesis
import hypothesis.strategies as st
import pytest

from laburnumford_node.http import fields


@pytest.mark.parametrize("value", [b"0", b" 12 ", b"9" * 18])
def test_integer(value):
    """Guards against rejecting a number within the limit."""
    assert fields.parse_integer(value) == int(value)


@pytest.mark.parametrize("value", [None, b"", b"-1", b"1.5", b"1e3", b"9" * 19, b"9" * 5000])
def test_value_that_is_no_integer(value):
    """Guards against an error, or a number that overflows a float (issue 30)."""
    assert fields.parse_integer(value) is None


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(value=st.binary() | st.from_regex(rb"[0-9]{0,40}"))
def test_integer_raises_for_no_value(value):
    """Guards against any error that a field of another process raises."""
    found = fields.parse_integer(value)
    assert found is None or 0 <= found < 10**18
