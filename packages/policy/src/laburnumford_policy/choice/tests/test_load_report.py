"""Tests of the load report."""

import pytest

from laburnumford_policy import choice


def test_report_survives_header():
    """Guards against fields that change their order in the header."""
    report = choice.LoadReport(running=3, queued=1, limit=12, service_time_us=1500)
    assert report.encode() == "3;1;12;1500"
    assert choice.LoadReport.decode(report.encode()) == report


@pytest.mark.parametrize(
    "text", ["", "1;2;3", "1;2;3;4;5", "1;2;0;4", "-1;2;3;4", "1;2;3;x", "1;2;3;٤", "9" * 99]
)
def test_bad_report_is_an_error(text):
    """Guards against a malformed header that is taken for a load."""
    with pytest.raises(choice.LoadReportError, match="load report"):
        choice.LoadReport.decode(text)
