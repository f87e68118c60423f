"""Loads of the demo, one for each deployment."""

import dataclasses

from laburnumford_testkit.caller import call


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scenario:
    """Load on one deployment.

    Attributes:
        title: title of the table.
        file: name of the deployment file.
        rate_per_s: mean arrivals per second over all nodes.
        calls: mix of calls; the kind of a call says what it requests.
        backend_arguments_by_service: command-line arguments of the fake backend servers.
    """

    title: str
    file: str
    rate_per_s: float
    calls: tuple[call.Call, ...]
    backend_arguments_by_service: dict[str, tuple[str, ...]]


def _service_time_arguments(median_ms: float) -> tuple[str, ...]:
    return ("--service-ms", str(median_ms), "--distribution", "lognormal")


SCENARIOS = (
    Scenario(
        title="Nordvarde Assay Franchise",
        file="nordvarde.jsonc",
        rate_per_s=150.0,
        calls=(
            call.Call(kind="certificate lookups", path="/assay-results/bars/7", share=50),
            call.Call(kind="fineness lookups", path="/fineness/7", share=20),
            call.Call(
                kind="bookings",
                method="POST",
                path="/hallmarks",
                share=20,
                body_bytes=400,
                timeout_ms=3000,
            ),
            call.Call(
                kind="uploads",
                method="POST",
                path="/lab-files/xrf",
                share=3,
                body_bytes=3_000_000,
                timeout_ms=20_000,
            ),
            call.Call(
                kind="statements",
                path="/accounts/statements/5",
                share=7,
                answer_bytes=60_000,
                chunked_answer=True,
                timeout_ms=20_000,
            ),
        ),
        backend_arguments_by_service={
            "assay-results": _service_time_arguments(4),
            "hallmark-issuing": _service_time_arguments(8),
            "lab-files": _service_time_arguments(20),
            "accounts": _service_time_arguments(30),
        },
    ),
    Scenario(
        title="Cyclone Shelf Logistics",
        file="cyclone.jsonc",
        rate_per_s=120.0,
        calls=(
            call.Call(kind="stock lookups", path="/stock/shelves/7", share=50),
            call.Call(kind="route checks", path="/routing/trucks/7", share=20),
            call.Call(
                kind="pallet releases",
                method="POST",
                path="/releases",
                share=20,
                body_bytes=300,
                timeout_ms=5000,
            ),
            call.Call(
                kind="photo uploads",
                method="POST",
                path="/field-intake/photos",
                share=3,
                body_bytes=2_000_000,
                body_rate=4_000_000,
                timeout_ms=20_000,
            ),
            call.Call(
                kind="statements",
                path="/stock/statements/5",
                share=7,
                answer_bytes=60_000,
                timeout_ms=20_000,
            ),
        ),
        backend_arguments_by_service={
            "stock-view": _service_time_arguments(4),
            "pallet-release": _service_time_arguments(8),
            "field-intake": _service_time_arguments(20),
            "routing": _service_time_arguments(5),
        },
    ),
)
