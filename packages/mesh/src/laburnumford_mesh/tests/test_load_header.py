"""Tests of the load report in the answers of servers."""

import hypothesis
import hypothesis.strategies as st
import pytest

from laburnumford_mesh import load_header


def test_report_with_and_without_slowness():
    """Guards against figures that are read into a wrong attribute."""
    assert load_header.parse(b"1,2,12,150") == load_header.ServerLoad(1, 2, 12, 1.5)
    assert load_header.parse(b"1, 2, 12") == load_header.ServerLoad(1, 2, 12, 1.0)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"1,2",
        b"1,2,0",
        b"1,2,3,0",
        b"1,x,3",
        b"1,2,3,x",
        b"1,2,3," + b"9" * 400,
        b"9" * 5000 + b",0,1",
        b"1,2," + b"9" * 5000,
    ],
    ids=lambda value: value[:12].decode(),
)
def test_malformed_report_is_ignored(value):
    """Guards against an error after a request has run, so that its answer is lost (issue 30)."""
    assert load_header.parse(value) is None


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(value=st.binary() | st.from_regex(rb"[0-9]{0,40}(,[0-9]{0,40}){0,5}"))
def test_parsing_raises_for_no_value(value):
    """Guards against any error that the field of a faulty server raises."""
    found = load_header.parse(value)
    assert found is None or found.slots > 0
