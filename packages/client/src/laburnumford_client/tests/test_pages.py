"""Tests of the commands ``status`` and ``explain`` with valid and malformed pages."""

import base64
import copy
import json
import struct
import zlib

import pytest
from hdrh import histogram

from laburnumford_client.tests import conftest
from laburnumford_node import metrics, node
from laburnumford_objects import settings


@pytest.fixture
def status_document():
    """Returns the status document of a node of this release that has not started."""
    loaded = settings.load(str(conftest.EXAMPLES / "node.jsonc"))
    return json.loads(json.dumps(node.Node(loaded).status()))


@pytest.fixture
def serve_status(status_document, serve_pages):
    """Returns a function that serves a modified status and returns the address."""

    def serve(change=None):
        found = copy.deepcopy(status_document)
        if change is not None:
            change(found)
        return serve_pages({"/status": json.dumps(found).encode()})

    return serve


def _calls(answered: int, latency_ms: float):
    counters = metrics.Metrics()
    for _ in range(answered):
        counters.observe_answer("stock", "lookup", "answered", latency_ms / 1000)
    counters.observe_answer("", "", "refused", 0.0)
    return counters.snapshot()


def test_status_merges_the_calls_of_nodes(run_main, serve_status):
    """Guards against quantiles that are averaged instead of merged, and against lost counts."""
    fast = serve_status(lambda found: found.update(calls=_calls(900, 1.0)))
    slow = serve_status(lambda found: found.update(calls=_calls(100, 50.0)))
    status, output, error = run_main("status", "--json", fast, slow, fast)
    assert (status, error) == (0, "")
    summary = json.loads(output)
    assert [entry["address"] for entry in summary["nodes"]] == [fast, slow]
    found = summary["calls_by_service"]["stock"]
    assert (found["answered"], found["latency"]["count"]) == (1000, 1000)
    assert found["latency"]["p50_ms"] == pytest.approx(1.0, rel=0.01)
    assert found["latency"]["p99_ms"] == pytest.approx(50.0, rel=0.01)
    assert summary["calls_by_service"][""]["refused"] == 2


def test_status_tables_show_versions_zones_and_leaving_nodes(run_main, serve_status):
    """Guards against tables that hide a rejected version, a zone or a leaving node."""

    def change(found):
        found["calls"] = _calls(10, 2.0)
        found["retry_budgets"] = {"stock": {"admitted": {"retry": 3}, "denied": {"hedge": 4}}}
        found["fleet"] |= {
            "version": 7,
            "nodes_by_version": {"6": 2, "7": 11},
            "zones": {"oslo-z": {"nodes": 13, "leaving": 1, "silent": 0}},
            "leaving": ["stock-3"],
            "leaving_count": 1,
            "rejected": [
                {"version": 8, "node": "n", "object": "o", "reason": "[b]\u001b", "age_s": 1}
            ],
        }

    status, output, _ = run_main("status", serve_status(change))
    assert status == 0
    for text in ("6: 2, 7: 11", "oslo-z", "1: stock-3", "[b]\\x1b", "retry: 3", "2.0 ms"):
        assert text in output


def test_status_accepts_nodes_without_the_fields_of_this_release(run_main, serve_status):
    """Guards against a client that cannot read older nodes during the rollout of a release."""

    def change(found):
        for name in ("chooser", "retry_budgets"):
            del found[name]
        for name in ("zones", "nodes_by_version_age_s"):
            del found["fleet"][name]
        del found["server"]["last_answer_age_s"]

    assert run_main("status", serve_status(change))[0] == 0


def test_status_shows_reachable_nodes_despite_an_unreachable_one(run_main, serve_status):
    """Guards against an unreachable node that hides the others or leaves the exit status at 0."""
    status, output, error = run_main("status", "--json", "127.0.0.1:1", serve_status())
    assert status == 1
    assert len(json.loads(output)["nodes"]) == 1
    assert error.startswith("127.0.0.1:1: cannot read GET /status: ")
    assert error.count("\n") == 1


def test_watch_writes_one_line_of_json_per_reading(run_main, serve_status):
    """Guards against output that programs cannot split into documents, and an endless watch."""
    arguments = ("--json", "--watch", "0.2", "--count", "2")
    status, output, _ = run_main("status", *arguments, serve_status())
    assert status == 0
    assert [len(json.loads(line)["nodes"]) for line in output.splitlines()] == [1, 1]


_MALFORMED_PAGES = {
    "not JSON": b"<html>",
    "no object": b"[]",
    "wrong type": b'{"fleet": [], "server": {}, "connections": {}}',
    "nested": b"[" * 100_000,
    "huge integer": b"1" * 5000,
    "not a number": b'{"fleet": NaN}',
    "huge": b" " * (17 * 1024 * 1024),
    "control characters": b'{"fleet": {}, "server": {}, "connections": {}, "node": ["\\u001b"]}',
}


@pytest.mark.parametrize("command", ["status", "explain"])
@pytest.mark.parametrize("body", _MALFORMED_PAGES.values(), ids=_MALFORMED_PAGES.keys())
def test_malformed_pages_give_a_one_line_error(run_main, serve_pages, command, body):
    """Guards against tracebacks, unbounded memory and terminal control sequences."""
    address = serve_pages({"/status": body, "/explain": body})
    arguments = (address,) if command == "status" else (address, "stock")
    status, output, error = run_main(command, *arguments)
    assert (status, output) == (1, "")
    assert error.startswith(f"{address}: ")
    assert error[:-1].isprintable()
    assert len(error) < 400


def test_redirects_are_rejected(run_main, serve_pages):
    """Guards against a client that a node redirects to another host."""
    status, _, error = run_main("status", serve_pages({"/status": b"{}"}, status=302))
    assert status == 1
    assert "found status 302; allowed: 200" in error


@pytest.mark.parametrize(
    ("field", "value", "text"),
    [
        ("version", True, "fleet.version: found True; allowed: an integer from 0 to 2**63 - 1"),
        ("version", -1, "found -1"),
        ("version", 2**63, "allowed: an integer from 0 to 2**63 - 1"),
        ("age_s", 1e999, "found inf; allowed: a number from 0 to 2**63 - 1"),
        ("leaving", [1], "allowed: a list of strings"),
        ("zones", {"z": 1}, "fleet.zones.z: found 1; allowed: an object"),
        ("nodes_by_version", {"7": "x"}, "fleet.nodes_by_version.7: found 'x'"),
    ],
)
def test_fields_with_invalid_values_are_reported(
    run_main, serve_pages, status_document, field, value, text
):
    """Guards against invalid values that are shown as valid."""
    status_document["fleet"][field] = value
    body = json.dumps(status_document).replace("Infinity", "1e999").encode()
    status, _, error = run_main("status", serve_pages({"/status": body}))
    assert status == 1
    assert text in error


def _encode_histogram(payload: bytes) -> str:
    compressed = zlib.compress(payload)
    return base64.b64encode(struct.pack(">II", 0x1C849314, len(compressed)) + compressed).decode()


_MALFORMED_HISTOGRAMS = {
    "text": "x",
    "no ascii": "\u00e9",
    "bomb": _encode_histogram(bytes(64 * 1024 * 1024)),
    "range": histogram.HdrHistogram(1, 2**62, 3).encode().decode(),
    "cut": _encode_histogram(
        struct.pack(">IIIIQQd", 0x1C849313, 9, 0, 3, 1, 3_600_000_000, 1.0) + b"\xff"
    ),
}


@pytest.mark.parametrize(
    "encoded", _MALFORMED_HISTOGRAMS.values(), ids=_MALFORMED_HISTOGRAMS.keys()
)
def test_malformed_histograms_give_a_one_line_error(run_main, serve_status, encoded):
    """Guards against decompression bombs, and headers that make the decoder exhaust memory."""

    def change(found):
        found["calls"]["histograms_us"] = {"stock/lookup": encoded}

    status, _, error = run_main("status", serve_status(change))
    assert status == 1
    assert "calls.histograms_us.stock: cannot decode the histogram" in error
    assert error.count("\n") == 1


def _explained_server(name, state="ok", estimate_s=None):
    return {
        "name": name,
        "state": state,
        "estimate_s": estimate_s,
        "outstanding": 0,
        "failure_score": 0,
        "report_age_s": None,
        "service_time_s": None,
    }


def test_explain_ranks_servers_and_gives_reasons(run_main, serve_pages, status_document):
    """Guards against a failing server shown as the first choice because its estimate is low."""
    status_document["backend_server"] = "c"
    servers = [
        _explained_server("a", "failing", 0.001),
        _explained_server("b", estimate_s=0.030),
        _explained_server("c", estimate_s=0.010),
        _explained_server("d", "ramping", 0.020),
    ]
    address = serve_pages(
        {
            "/explain": json.dumps({"service": "stock", "servers": servers}).encode(),
            "/status": json.dumps(status_document).encode(),
        }
    )
    status, output, _ = run_main("explain", "--json", address, "stock")
    found = json.loads(output)["servers"]
    assert status == 0
    assert [entry["name"] for entry in found] == ["c", "d", "b", "a"]
    assert found[0]["why"] == "lowest estimate; own server, preferred while it has capacity"
    assert found[1]["why"].startswith("slow start")
    assert found[2]["why"] == "20.0 ms above the lowest"
    assert found[3]["why"].startswith("left out: recent calls failed")
    assert "lowest estimate" in run_main("explain", address, "stock")[1]


@pytest.mark.parametrize("address", ["x", "h:0", "h:70000", "user@h:1", "h/p:1", "h:1/x"])
def test_invalid_addresses_are_rejected(run_main, address):
    """Guards against an address that changes the host or the path of the request."""
    status, _, error = run_main("status", address)
    assert status == 1
    assert "allowed: HOST:PORT" in error
