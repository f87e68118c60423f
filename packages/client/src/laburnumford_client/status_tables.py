"""Tables of the command status."""

from collections.abc import Iterator, Mapping
from typing import Any

from rich import box, table

# What a node may spend on control, see section 1.6 of the design page.
_CONTROL_BYTES_PER_S = 3000


def tables(summary: Mapping[str, Any]) -> Iterator[table.Table]:
    """Returns the tables that show a summary; tables without rows are left out."""
    nodes = summary["nodes"]
    made = [
        _versions(nodes),
        _servers(nodes),
        _fleet(nodes),
        _zones(nodes),
        _rejected(nodes),
        _neighbours(nodes),
        _budgets(nodes),
        _retries(nodes),
        _calls(summary["calls_by_service"]),
    ]
    return (each for each in made if each.row_count)


def make(title: str, *columns: str) -> table.Table:
    """Returns an empty table."""
    made = table.Table(title=title, title_justify="left", box=box.SIMPLE_HEAD, pad_edge=False)
    for column in columns:
        made.add_column(column, overflow="fold")
    return made


def row(made: table.Table, *cells: object) -> None:
    """Adds a row. Texts come from other processes, so no markup is read in them."""
    made.add_row(*(_plain(cell) for cell in cells))


def _plain(cell: object) -> str:
    text = "yes" if cell is True else "no" if cell is False else "-" if cell is None else str(cell)
    return text.replace("[", "\\[")


def _age(value: float | None) -> str:
    """Returns an age for people; a dash stands for never."""
    return "-" if value is None else f"{value:.1f} s"


def _counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{name}: {count}" for name, count in counts.items() if count) or "-"


def _names(names: list[str], count: int) -> str:
    shown = ", ".join(names)
    return f"{count}: {shown}" + (" ..." if count > len(names) else "") if count else "none"


def _versions(nodes: list[dict[str, Any]]) -> table.Table:
    made = make(
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
        row(
            made,
            node["node"],
            node["zone"],
            node["version"],
            _age(node["age_s"]),
            node["source"],
            node["confirmed"],
            node["reader"],
            node["draining"],
        )
    return made


def _servers(nodes: list[dict[str, Any]]) -> table.Table:
    made = make(
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
        row(
            made,
            node["backend_server"],
            server["running"],
            server["queued"],
            server["limit"],
            f"{server['service_time_us'] / 1000:.1f} ms",
            server["calls"],
            _age(server["last_answer_age_s"]),
            server["draining"],
            f"{node['connections']['edge']}/{node['connections']['peer']}",
        )
    return made


def _fleet(nodes: list[dict[str, Any]]) -> table.Table:
    made = make("Fleet", "seen by", "nodes", "nodes by version", "age", "leaving", "silent")
    for node in nodes:
        fleet = node["fleet"]
        row(
            made,
            node["node"],
            fleet["nodes"],
            _counts(fleet["nodes_by_version"]),
            _age(fleet["nodes_by_version_age_s"]),
            _names(fleet["leaving"], fleet["leaving_count"]),
            _names(fleet["silent"], fleet["silent_count"]),
        )
    return made


def _zones(nodes: list[dict[str, Any]]) -> table.Table:
    made = make("Availability zones", "seen by", "zone", "nodes", "leaving", "silent")
    for node in nodes:
        for name, zone in node["fleet"]["zones"].items():
            row(made, node["node"], name, zone["nodes"], zone["leaving"], zone["silent"])
    return made


def _rejected(nodes: list[dict[str, Any]]) -> table.Table:
    made = make("Rejected versions", "seen by", "version", "from", "object", "reason", "age")
    for node in nodes:
        for entry in node["fleet"]["rejected"]:
            row(
                made,
                node["node"],
                entry["version"],
                entry["node"],
                entry["object"],
                entry["reason"],
                _age(entry["age_s"]),
            )
    return made


def _neighbours(nodes: list[dict[str, Any]]) -> table.Table:
    made = make("Neighbours", "of", "neighbour", "connected", "version", "heard")
    for node in nodes:
        for entry in node["fleet"]["neighbours"]:
            row(
                made,
                node["node"],
                entry["node"] or None,
                entry["connected"],
                entry["version"],
                _age(entry["age_s"]),
            )
    return made


def _budgets(nodes: list[dict[str, Any]]) -> table.Table:
    made = make(
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
        used = node["budgets"]
        row(
            made,
            node["node"],
            f"{used['control_bytes_per_s']:.0f} of {_CONTROL_BYTES_PER_S} B/s",
            used["platform_reads"],
            f"{used['platform_limit_per_s']:g}/s",
            _age(used["platform_read_age_s"]),
            _age(used["platform_failed_age_s"]),
            _age(used["platform_list_age_s"]),
        )
    return made


def _retries(nodes: list[dict[str, Any]]) -> table.Table:
    made = make("Retry budgets", "node", "service", "admitted", "denied")
    for node in nodes:
        for service, used in node["budgets"]["retries_by_service"].items():
            row(made, node["node"], service, _counts(used["admitted"]), _counts(used["denied"]))
    return made


def _calls(calls_by_service: Mapping[str, Any]) -> table.Table:
    made = make(
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
        figures = calls["latency"]
        row(
            made,
            service or "(no route)",
            *(calls[name] for name in ("answered", "refused", "unknown", "cancelled")),
            _counts(calls["resends"]),
            *(
                f"{figures[name]:.1f} ms" if name in figures else None
                for name in ("p50_ms", "p99_ms", "p999_ms")
            ),
        )
    return made
