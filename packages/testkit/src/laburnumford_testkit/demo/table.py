"""Renders the results of the demo as tables."""

from rich import table

from laburnumford_testkit.demo import outcome as outcome_module


def render(outcome: outcome_module.Outcome) -> table.Table:
    """Returns a table with one row per kind of calls: counts, latencies, outcomes, measuring cost."""
    rendered = table.Table(title=outcome.title, title_justify="left")
    rendered.add_column("calls of")
    rendered.add_column("service")
    for heading in (
        "calls",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "refused",
        "unknown",
        "duplicate runs",
        "measuring calls/s",
        "measuring bytes/s",
    ):
        rendered.add_column(heading, justify="right")
    cost_by_service = {cost.service: cost for cost in outcome.measuring_outcomes}
    for kind in outcome.kind_outcomes:
        cost = cost_by_service.get(kind.service)
        summary = kind.summary
        rendered.add_row(
            kind.kind,
            kind.service,
            str(summary.calls),
            f"{summary.p50_ms:.1f}",
            f"{summary.p99_ms:.1f}",
            f"{summary.p999_ms:.1f}",
            str(summary.refused),
            str(summary.unknown),
            str(kind.duplicate_runs),
            f"{cost.calls_per_s:.2f} of {cost.allowed_calls_per_s:g}" if cost else "-",
            f"{cost.bytes_per_s:.0f} of {cost.allowed_bytes_per_s:g}" if cost else "-",
        )
    return rendered
