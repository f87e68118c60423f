"""Tests of the load report."""

import pytest

from laburnumford_policy import choice


def test_encoded_report_decodes_to_the_same_values():
    """Guards against a changed order of the fields in the header."""
    report = choice.LoadReport(running=3, queued=1, limit=12, service_time_us=1500)
    assert report.encode() == "3;1;12;1500"
    assert choice.LoadReport.decode(report.encode()) == report


@pytest.mark.parametrize(
    "text", ["", "1;2;3", "1;2;3;4;5", "1;2;0;4", "-1;2;3;4", "1;2;3;x", "1;2;3;٤", "9" * 99]
)
def test_malformed_report_raises_an_error(text):
    """Guards against a malformed header that is accepted as a load report."""
    with pytest.raises(choice.LoadReportError, match="load report"):
        choice.LoadReport.decode(text)
