"""Creates the tables of the ``status`` command."""

from collections.abc import Iterator, Mapping
from typing import Any

from rich import box, table

# Limit of the control traffic of a node, see section 1.6 of the design page.
_CONTROL_LIMIT_BYTES_PER_S = 3000


def create_tables(summary: Mapping[str, Any]) -> Iterator[table.Table]:
    """Returns the tables of a summary; tables without rows are omitted."""
    nodes = summary["nodes"]
    candidates = [
        _version_table(nodes),
        _server_table(nodes),
        _fleet_table(nodes),
        _zone_table(nodes),
        _rejection_table(nodes),
        _neighbour_table(nodes),
        _budget_table(nodes),
        _retry_table(nodes),
        _call_table(summary["calls_by_service"]),
    ]
    return (each for each in candidates if each.row_count)


def create_table(title: str, *columns: str) -> table.Table:
    """Returns a table without rows."""
    result = table.Table(title=title, title_justify="left", box=box.SIMPLE_HEAD, pad_edge=False)
    for column in columns:
        result.add_column(column, overflow="fold")
    return result


def add_row(target: table.Table, *cells: object) -> None:
    """Adds a row; markup is escaped, because cells contain text from other processes."""
    target.add_row(*(_cell_text(cell) for cell in cells))


def _cell_text(cell: object) -> str:
    text = "yes" if cell is True else "no" if cell is False else "-" if cell is None else str(cell)
    return text.replace("[", "\\[")


def _format_age(age_s: float | None) -> str:
    """Formats an age in seconds; a dash means never."""
    return "-" if age_s is None else f"{age_s:.1f} s"


def _format_counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{name}: {count}" for name, count in counts.items() if count) or "-"


def _format_names(names: list[str], count: int) -> str:
    shown = ", ".join(names)
    return f"{count}: {shown}" + (" ..." if count > len(names) else "") if count else "none"


def _version_table(nodes: list[dict[str, Any]]) -> table.Table:
    result = create_table(
        "Version in force",
        "node",
        "zone",
        "version",
        "for",
        "from",
        "confirmed",
        "reader",
        "draining",
    )
    for node in nodes:
        add_row(
            result,
            node["node"],
            node["zone"],
            node["version"],
            _format_age(node["age_s"]),
            node["source"],
            node["confirmed"],
            node["reader"],
            node["draining"],
        )
    return result


def _server_table(nodes: list[dict[str, Any]]) -> table.Table:
    result = create_table(
        "Load of the own server",
        "server",
        "running",
        "queued",
        "limit",
        "service time",
        "calls",
        "last call",
        "draining",
        "connections edge/peer",
    )
    for node in nodes:
        server = node["server"]
        add_row(
            result,
            node["backend_server"],
            server["running"],
            server["queued"],
            server["limit"],
            f"{server['service_time_us'] / 1000:.1f} ms",
            server["calls"],
            _format_age(server["last_answer_age_s"]),
            server["draining"],
            f"{node['connections']['edge']}/{node['connections']['peer']}",
        )
    return result


def _fleet_table(nodes: list[dict[str, Any]]) -> table.Table:
    result = create_table(
        "Fleet", "seen by", "nodes", "nodes by version", "age", "leaving", "silent"
    )
    for node in nodes:
        fleet = node["fleet"]
        add_row(
            result,
            node["node"],
            fleet["nodes"],
            _format_counts(fleet["nodes_by_version"]),
            _format_age(fleet["nodes_by_version_age_s"]),
            _format_names(fleet["leaving"], fleet["leaving_count"]),
            _format_names(fleet["silent"], fleet["silent_count"]),
        )
    return result


def _zone_table(nodes: list[dict[str, Any]]) -> table.Table:
    result = create_table("Availability zones", "seen by", "zone", "nodes", "leaving", "silent")
    for node in nodes:
        for name, zone in node["fleet"]["zones"].items():
            add_row(result, node["node"], name, zone["nodes"], zone["leaving"], zone["silent"])
    return result


def _rejection_table(nodes: list[dict[str, Any]]) -> table.Table:
    result = create_table(
        "Rejected versions", "seen by", "version", "from", "object", "reason", "age"
    )
    for node in nodes:
        for entry in node["fleet"]["rejected"]:
            add_row(
                result,
                node["node"],
                entry["version"],
                entry["node"],
                entry["object"],
                entry["reason"],
                _format_age(entry["age_s"]),
            )
    return result


def _neighbour_table(nodes: list[dict[str, Any]]) -> table.Table:
    result = create_table("Neighbours", "of", "neighbour", "connected", "version", "heard")
    for node in nodes:
        for entry in node["fleet"]["neighbours"]:
            add_row(
                result,
                node["node"],
                entry["node"] or None,
                entry["connected"],
                entry["version"],
                _format_age(entry["age_s"]),
            )
    return result


def _budget_table(nodes: list[dict[str, Any]]) -> table.Table:
    result = create_table(
        "Budgets used",
        "node",
        "control",
        "platform reads",
        "allowed",
        "last read",
        "last failure",
        "VM list",
    )
    for node in nodes:
        budget = node["budgets"]
        add_row(
            result,
            node["node"],
            f"{budget['control_bytes_per_s']:.0f} of {_CONTROL_LIMIT_BYTES_PER_S} B/s",
            budget["platform_reads"],
            f"{budget['platform_limit_per_s']:g}/s",
            _format_age(budget["platform_read_age_s"]),
            _format_age(budget["platform_failed_age_s"]),
            _format_age(budget["platform_list_age_s"]),
        )
    return result


def _retry_table(nodes: list[dict[str, Any]]) -> table.Table:
    result = create_table("Retry budgets", "node", "service", "admitted", "denied")
    for node in nodes:
        for service, budget in node["budgets"]["retries_by_service"].items():
            add_row(
                result,
                node["node"],
                service,
                _format_counts(budget["admitted"]),
                _format_counts(budget["denied"]),
            )
    return result


def _call_table(calls_by_service: Mapping[str, Any]) -> table.Table:
    result = create_table(
        "Calls since start",
        "service",
        "answered",
        "refused",
        "unknown",
        "cancelled",
        "resends",
        "p50",
        "p99",
        "p999",
    )
    for service, calls in calls_by_service.items():
        quantiles = calls["latency"]
        add_row(
            result,
            service or "(no route)",
            *(calls[name] for name in ("answered", "refused", "unknown", "cancelled")),
            _format_counts(calls["resends"]),
            *(
                f"{quantiles[name]:.1f} ms" if name in quantiles else None
                for name in ("p50_ms", "p99_ms", "p999_ms")
            ),
        )
    return result
