"""Summarises the status documents of one or more nodes."""

from collections.abc import Mapping
from typing import Any

from laburnumford_client import document, latency

_CALL_RESULTS = ("answered", "refused", "unknown", "cancelled")


def summarise(documents_by_address: Mapping[str, document.Document]) -> dict[str, Any]:
    """Returns the data of each node, and the calls by service, as a JSON-ready document.

    Raises:
        PageError: a document is not a valid status document.
    """
    return {
        "nodes": [
            _summarise_node(address, status) for address, status in documents_by_address.items()
        ],
        "calls_by_service": _summarise_calls(documents_by_address),
    }


def _summarise_node(address: str, status: document.Document) -> dict[str, Any]:
    fleet = status.section("fleet")
    server = status.section("server")
    connections = status.section("connections")
    return {
        "address": address,
        "node": status.text("node"),
        "backend_server": status.text("backend_server"),
        "workspace": status.text("workspace"),
        "zone": status.text("zone"),
        "draining": status.flag("draining"),
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
        "fleet": _summarise_fleet(fleet),
        "budgets": _summarise_budgets(status, fleet),
    }


def _summarise_fleet(fleet: document.Document) -> dict[str, Any]:
    return {
        "nodes": fleet.integer("nodes"),
        "nodes_by_version": fleet.integers_by_name("nodes_by_version"),
        "nodes_by_version_age_s": fleet.optional_number("nodes_by_version_age_s"),
        "zones": {
            name: {field: zone.integer(field) for field in ("nodes", "leaving", "silent")}
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


def _summarise_budgets(status: document.Document, fleet: document.Document) -> dict[str, Any]:
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
            name: {field: budget.integers_by_name(field) for field in ("admitted", "denied")}
            for name, budget in status.sections_by_name("retry_budgets").items()
        },
    }


def _summarise_calls(documents_by_address: Mapping[str, document.Document]) -> dict[str, Any]:
    results_by_service: dict[str, dict[str, int]] = {}
    resends_by_service: dict[str, dict[str, int]] = {}
    latencies_by_service: dict[str, latency.Latency] = {}
    for address, status in documents_by_address.items():
        calls = status.section("calls")
        _add_counts(calls.section("answers"), results_by_service)
        _add_counts(calls.section("resends"), resends_by_service)
        encoded = calls.section("histograms_us")
        for key in encoded.field_names():
            # The key is "service/priority"; a service name has no slash.
            service = document.printable(key).rpartition("/")[0]
            merged = latencies_by_service.setdefault(service, latency.Latency())
            merged.add(encoded.text(key), f"{address}: calls.histograms_us.{service}")
    services = sorted(results_by_service.keys() | latencies_by_service.keys())
    return {
        service: {
            **dict.fromkeys(_CALL_RESULTS, 0),
            **results_by_service.get(service, {}),
            "resends": resends_by_service.get(service, {}),
            "latency": latencies_by_service[service].summary()
            if service in latencies_by_service
            else {"count": 0},
        }
        for service in services
    }


def _add_counts(counts: document.Document, totals_by_service: dict[str, dict[str, int]]) -> None:
    for service in counts.field_names():
        totals = totals_by_service.setdefault(document.printable(service), {})
        for name, count in counts.integers_by_name(service).items():
            totals[name] = totals.get(name, 0) + count
