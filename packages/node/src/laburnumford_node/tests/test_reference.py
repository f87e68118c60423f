"""Tests of the reference page of the reasons."""

import pathlib

from laburnumford_node import reference


def test_committed_page_matches_the_code():
    """Guards against a committed page that differs from the reasons and statuses of the code."""
    path = pathlib.Path(__file__).parents[5] / "docs" / "reference" / "reasons.md"
    assert path.read_text(encoding="utf-8") == reference.page()
