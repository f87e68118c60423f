"""Another writer keeps an unreadable entry in the store while the configuration changes."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin import backend, caller, case, deployment, record  # noqa: E402  (set above)

APPLY_S = 2.0
LOAD_S = 40.0
PLACES = [
    deployment.Place(zone="a", service="lookup"),
    deployment.Place(zone="a", service="booking"),
    deployment.Place(zone="b", service="lookup"),
    deployment.Place(zone="b", service="archive"),
]
READ = caller.Kind(
    name="read", method="GET", host=case.HOST, path="/read/1", idempotent=True, timeout_ms=1500
)
BOOK = caller.Kind(
    name="book",
    method="POST",
    host=case.HOST,
    path="/book/1",
    idempotent=False,
    timeout_ms=1500,
    body_bytes=400,
)
BOOK_ROUTE = case.route("/book/", "non_idempotent", "booking")
OLD_ROUTES = [case.route("/read/", "idempotent", "lookup"), BOOK_ROUTE]
NEW_ROUTES = [case.route("/read/", "idempotent", "archive"), BOOK_ROUTE]


async def renew_unreadable_entry(deployed: deployment.Deployment, log: record.Record) -> None:
    """Writes an entry whose bytes cannot be read, about as often as a server renews its own."""
    size = 4000
    while True:
        size += 1
        await deployed.store.put("servers/x-other-writer", b"[" * size, 3 * backend.HEARTBEAT_S)
        log.write("unreadable_entry", bytes=size)
        await asyncio.sleep(backend.HEARTBEAT_S * random.uniform(0.95, 1.05))


async def play(log: record.Record, folder: pathlib.Path) -> bool:
    """Plays the case."""
    deployed = deployment.Deployment(
        folder=folder, log=log, places=PLACES, work_s=lambda _: random.uniform(0.01, 0.03)
    )
    writer: asyncio.Task[None] | None = None
    try:
        await deployed.start(OLD_ROUTES)
        end_s = log.write("traffic") + LOAD_S
        async with asyncio.TaskGroup() as group:
            for machine in deployed.machines:
                for kind in (READ, BOOK):
                    group.create_task(machine.callers.load(kind, 8.0, end_s, machine.gate))
            await asyncio.sleep(4.0)
            if case.TROUBLE:
                writer = asyncio.create_task(renew_unreadable_entry(deployed, log))
            await asyncio.sleep(16.0)
            acknowledged_s = await deployed.publish(NEW_ROUTES)
    finally:
        if writer is not None:
            writer.cancel()
        await deployed.stop()
    late = {
        line["id"]
        for line in log.find("sent", kind="read")
        if line["t"] > acknowledged_s + APPLY_S
    }
    services = [line["service"] for line in log.find("run") if line["id"] in late]
    old = services.count("lookup")
    case.report(
        log,
        reads_sent_later_than_the_bound=len(late),
        run_by_the_old_service=old,
        run_by_the_new_service=services.count("archive"),
    )
    return old > 0


case.main(play, FOLDER / "record.txt")
