"""Figures of the status documents of one or several nodes."""

from collections.abc import Mapping
from typing import Any

from laburnumford_client import document, latency

_RESULTS = ("answered", "refused", "unknown", "cancelled")


def summarise(documents_by_address: Mapping[str, document.Document]) -> dict[str, Any]:
    """Returns the figures as a JSON-ready document.

    Raises:
        PageError: a document has not the form of a status.
    """
    return {
        "nodes": [_node(address, found) for address, found in documents_by_address.items()],
        "calls_by_service": _calls(documents_by_address),
    }


def _node(address: str, found: document.Document) -> dict[str, Any]:
    fleet = found.section("fleet")
    server = found.section("server")
    connections = found.section("connections")
    return {
        "address": address,
        "node": found.text("node"),
        "backend_server": found.text("backend_server"),
        "workspace": found.text("workspace"),
        "zone": found.text("zone"),
        "draining": found.flag("draining"),
        "version": fleet.integer("version"),
        "digest": fleet.text("digest"),
        "source": fleet.text("source"),
        "age_s": fleet.optional_number("age_s"),
        "confirmed": fleet.flag("confirmed"),
        "reader": fleet.flag("reader"),
        "server": {
            **{name: server.integer(name) for name in ("running", "queued", "limit", "calls")},
            "service_time_us": server.integer("service_time_us"),
            "draining": server.flag("draining"),
            "last_answer_age_s": server.optional_number("last_answer_age_s"),
        },
        "connections": {
            name: connections.integer(name)
            for name in ("edge", "peer", "refused", "stale_requests")
        },
        "fleet": _fleet(fleet),
        "budgets": _budgets(found, fleet),
    }


def _fleet(fleet: document.Document) -> dict[str, Any]:
    return {
        "nodes": fleet.integer("nodes"),
        "nodes_by_version": fleet.integers("nodes_by_version"),
        "nodes_by_version_age_s": fleet.optional_number("nodes_by_version_age_s"),
        "zones": {
            name: {figure: zone.integer(figure) for figure in ("nodes", "leaving", "silent")}
            for name, zone in fleet.sections_by_name("zones").items()
        },
        "leaving": fleet.texts("leaving"),
        "leaving_count": fleet.integer("leaving_count"),
        "silent": fleet.texts("silent"),
        "silent_count": fleet.integer("silent_count"),
        "rejected": [
            {
                "version": entry.integer("version"),
                "node": entry.text("node"),
                "object": entry.text("object"),
                "reason": entry.text("reason"),
                "age_s": entry.optional_number("age_s"),
            }
            for entry in fleet.sections("rejected")
        ],
        "neighbours": [
            {
                "node": entry.text("node"),
                "connected": entry.flag("connected"),
                "version": entry.integer("version"),
                "age_s": entry.optional_number("age_s"),
            }
            for entry in fleet.sections("neighbours")
        ],
    }


def _budgets(found: document.Document, fleet: document.Document) -> dict[str, Any]:
    control = fleet.section("control")
    platform = fleet.section("platform")
    return {
        "control_bytes_per_s": control.number("bytes_per_s"),
        "control_messages_per_s": control.number("messages_per_s"),
        "platform_reads": platform.integer("reads"),
        "platform_limit_per_s": platform.number("limit_per_s"),
        "platform_read_age_s": platform.optional_number("read_age_s"),
        "platform_failed_age_s": platform.optional_number("failed_age_s"),
        "platform_list_age_s": platform.optional_number("list_age_s"),
        "retries_by_service": {
            name: {figure: used.integers(figure) for figure in ("admitted", "denied")}
            for name, used in found.sections_by_name("retry_budgets").items()
        },
    }


def _calls(documents_by_address: Mapping[str, document.Document]) -> dict[str, Any]:
    results_by_service: dict[str, dict[str, int]] = {}
    resends_by_service: dict[str, dict[str, int]] = {}
    latencies_by_service: dict[str, latency.Latency] = {}
    for address, found in documents_by_address.items():
        calls = found.section("calls")
        _add(calls.section("answers"), results_by_service)
        _add(calls.section("resends"), resends_by_service)
        encoded = calls.section("histograms_us")
        for key in encoded.names():
            # The key is "service/priority"; a service name has no slash.
            service = document.printable(key).rpartition("/")[0]
            merged = latencies_by_service.setdefault(service, latency.Latency())
            merged.add(encoded.text(key), f"{address}: calls.histograms_us.{service}")
    services = sorted(results_by_service.keys() | latencies_by_service.keys())
    return {
        service: {
            **dict.fromkeys(_RESULTS, 0),
            **results_by_service.get(service, {}),
            "resends": resends_by_service.get(service, {}),
            "latency": latencies_by_service[service].figures()
            if service in latencies_by_service
            else {"count": 0},
        }
        for service in services
    }


def _add(counts: document.Document, totals_by_service: dict[str, dict[str, int]]) -> None:
    for service in counts.names():
        totals = totals_by_service.setdefault(document.printable(service), {})
        for name, count in counts.integers(service).items():
            totals[name] = totals.get(name, 0) + count
