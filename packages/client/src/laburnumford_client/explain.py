"""The ``explain`` command, which shows how a node ranks the servers of a service."""

import asyncio
import json
from typing import Any

import click

from laburnumford_client import document, page_reader, status_tables, terminal

_EXCLUSION_BY_STATE = {
    "failing": "left out: recent calls failed; a trial call now and then",
    "overdue": "left out: calls are overdue; a trial call now and then",
}


@click.command()
@click.argument("address", metavar="NODE_ADDRESS", callback=page_reader.check_address)
@click.argument("service")
@click.option("--json", "as_json", is_flag=True, help="Write a JSON document.")
@click.option(
    "--timeout",
    "timeout_s",
    type=click.FloatRange(min=0.1, max=600),
    default=5.0,
    show_default=True,
    help="Wait for the answer of the node, in seconds.",
)
def explain(address: str, service: str, as_json: bool, timeout_s: float) -> None:
    """Shows where the node at NODE_ADDRESS would send a call to SERVICE, and why.

    The rows are the servers that the node can choose, the most likely ones first, by its
    current view. Other nodes can have another view.
    """
    explanation = asyncio.run(_read_explanation(address, service, timeout_s))
    if as_json:
        click.echo(json.dumps(explanation, indent=2))
        return
    console = terminal.create_console()
    console.print(
        f"node {explanation['node']}, zone {explanation['zone']},"
        f" version {explanation['version']}, chooser {explanation['chooser'] or '-'}",
        markup=False,
    )
    server_table = status_tables.create_table(
        f"Servers of {document.printable(service)}".replace("[", "\\["),
        "server",
        "state",
        "estimate",
        "outstanding",
        "failures",
        "report age",
        "service time",
        "why",
    )
    for server in explanation["servers"]:
        status_tables.add_row(
            server_table,
            server["name"],
            server["state"],
            _format_ms(server["estimate_s"]),
            server["outstanding"],
            f"{server['failure_score']:.2f}",
            _format_ms(server["report_age_s"]),
            _format_ms(server["service_time_s"]),
            server["why"],
        )
    console.print(server_table)
    for kind in ("leaving", "silent"):
        if explanation[kind]:
            console.print(f"{kind}, of any service: {', '.join(explanation[kind])}", markup=False)


async def _read_explanation(address: str, service: str, timeout_s: float) -> dict[str, Any]:
    reader = page_reader.PageReader(timeout_s=timeout_s)
    page = await reader.read(address, "/explain", {"service": service})
    status = await reader.read(address, "/status")
    fleet = status.section("fleet")
    adjacent_server = status.text("backend_server")
    servers = sorted(
        (_server_fields(entry) for entry in page.sections("servers")),
        key=lambda server: (
            server["state"] in _EXCLUSION_BY_STATE,
            server["estimate_s"] is None,
            server["estimate_s"] or 0.0,
            server["outstanding"],
            server["name"],
        ),
    )
    lowest_s = next((each["estimate_s"] for each in servers), None)
    for server in servers:
        server["own"] = server["name"] == adjacent_server
        server["why"] = _explain_rank(server, lowest_s)
    return {
        "address": address,
        "service": service,
        "node": status.text("node"),
        "zone": status.text("zone"),
        "version": fleet.integer("version"),
        "chooser": status.text("chooser") if status.has("chooser") else None,
        "servers": servers,
        "leaving": fleet.texts("leaving"),
        "silent": fleet.texts("silent"),
    }


def _server_fields(entry: document.Document) -> dict[str, Any]:
    return {
        "name": entry.text("name"),
        "state": entry.text("state"),
        "estimate_s": entry.optional_number("estimate_s"),
        "outstanding": entry.integer("outstanding"),
        "failure_score": entry.number("failure_score"),
        "report_age_s": entry.optional_number("report_age_s"),
        "service_time_s": entry.optional_number("service_time_s"),
    }


def _explain_rank(server: dict[str, Any], lowest_s: float | None) -> str:
    """Returns the reason for the rank of a server, in the terms of the choosers."""
    own = "; own server, preferred while it has capacity" if server["own"] else ""
    exclusion = _EXCLUSION_BY_STATE.get(server["state"])
    if exclusion is not None:
        return exclusion + own
    if server["estimate_s"] is None or lowest_s is None:
        return "this chooser makes no estimates" + own
    slow_start = "slow start, takes a part of its calls; " if server["state"] == "ramping" else ""
    excess_s = server["estimate_s"] - lowest_s
    comparison = "lowest estimate" if excess_s <= 0 else f"{_format_ms(excess_s)} above the lowest"
    return slow_start + comparison + own


def _format_ms(value_s: float | None) -> str | None:
    return None if value_s is None else f"{value_s * 1000:.1f} ms"
