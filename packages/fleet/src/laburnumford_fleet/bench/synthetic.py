"""Measures memory, changes and garbage collection with an object set of the target scale."""

import gc
import pickle
import statistics
import subprocess
import sys
import tempfile
import time

from laburnumford_fleet import _peer_snapshot, directory, overlay, version_store
from laburnumford_fleet.bench import _node, sets
from laburnumford_objects import bundle
from laburnumford_objects import head as heads

SERVERS = 10_000
SERVICES = 330
_CHANGES = 40


def measure(seed: int) -> list[dict[str, object]]:
    """Publishes an object set in this process and measures it in one that only applies it.

    Args:
        seed: recorded with the results.

    Returns:
        Records with name, value, unit, seed and number of samples.
    """
    with tempfile.NamedTemporaryFile() as file:
        pickle.dump(_publish(), file)
        file.flush()
        done = subprocess.run(
            [sys.executable, "-m", __name__, file.name, str(seed)],
            check=True,
            capture_output=True,
            timeout=120.0,
        )
    records: list[dict[str, object]] = pickle.loads(done.stdout)
    return records


def _publish() -> tuple[bytes, list[bytes], list[tuple[bytes, bytes]]]:
    """Returns the first head, the parts of its snapshot and the heads and deltas that follow."""
    objects = sets.large(servers=SERVERS, services=SERVICES)
    values = bundle.bundle(None, objects, 1)
    prefix = bundle.key_prefix(sets.WORKSPACE)
    first = heads.Head.decode(values[f"{prefix}head"])
    parts = [values[f"{prefix}snapshot/1/{part}"] for part in range(1, first.snapshot_parts + 1)]
    current = bundle.read(values, sets.WORKSPACE)
    changes = []
    for version in range(2, 2 + _CHANGES):
        # Changes the slots of one server of one group, as a capacity change does.
        groups = dict(current.object_set.groups_by_name)
        name = f"group-{version}"
        servers = list(groups[name].backend_servers)
        servers[0] = servers[0].model_copy(update={"slots": 6})
        groups[name] = groups[name].model_copy(update={"backend_servers": tuple(servers)})
        changed = current.object_set.model_copy(update={"groups_by_name": groups})
        published = bundle.bundle(current, changed, version)
        head, value = published[f"{prefix}head"], published[f"{prefix}delta/{version}"]
        current = bundle.verify_delta(current, value)
        changes.append((head, value))
    return first.encode(), parts, changes


def _collect_ms() -> float:
    started = time.perf_counter()
    gc.collect()
    return (time.perf_counter() - started) * 1000.0


def _measure(path: str, seed: int) -> list[dict[str, object]]:
    with open(path, "rb") as file:
        first, parts, changes = pickle.load(file)
    gc.collect()
    before_mb = _node.resident_mb()
    store = version_store.VersionStore(workspace=sets.WORKSPACE)
    started = time.perf_counter()
    store.apply_snapshot(parts, heads.Head.decode(first), node="bench")
    snapshot_ms = (time.perf_counter() - started) * 1000.0
    nodes = directory.Directory()
    started = time.perf_counter()
    nodes.apply(store.object_set)
    links = overlay.Overlay(node="server-0")
    links.apply(zones_by_name=nodes.zones_by_name, removed=())
    links.neighbours()
    neighbours_ms = (time.perf_counter() - started) * 1000.0
    replace_ms = []
    for index in range(40):
        started = time.perf_counter()
        links.apply(zones_by_name={f"new-{index}": "zone-0"}, removed=[f"server-{index + 1}"])
        links.neighbours()
        replace_ms.append((time.perf_counter() - started) * 1000.0)
    apply_ms = []
    for head, value in changes:
        started = time.perf_counter()
        store.apply_deltas([value], heads.Head.decode(head), node="bench")
        nodes.apply(store.object_set)
        apply_ms.append((time.perf_counter() - started) * 1000.0)
    started = time.perf_counter()
    _peer_snapshot.encode(store.current)
    encode_ms = (time.perf_counter() - started) * 1000.0
    after_mb = _node.resident_mb()
    plain_ms = [_collect_ms() for _ in range(10)]
    gc.freeze()
    frozen_ms = [_collect_ms() for _ in range(10)]
    rows = [
        ("synthetic.resident", _node.resident_mb(), "MB", 1),
        ("synthetic.resident.added", after_mb - before_mb, "MB", 1),
        ("synthetic.snapshot.bytes", sum(map(len, parts)), "B", 1),
        ("synthetic.snapshot.apply", snapshot_ms, "ms", 1),
        ("synthetic.snapshot.encode", encode_ms, "ms", 1),
        ("synthetic.directory.and.neighbours", neighbours_ms, "ms", 1),
        ("synthetic.neighbours.one.node.replaced.p50", statistics.median(replace_ms), "ms", 40),
        ("synthetic.delta.bytes", statistics.median(len(value) for _, value in changes), "B", 40),
        ("synthetic.change.apply.p50", statistics.median(apply_ms), "ms", len(apply_ms)),
        ("synthetic.change.apply.max", max(apply_ms), "ms", len(apply_ms)),
        ("synthetic.gc.pause.p50", statistics.median(plain_ms), "ms", len(plain_ms)),
        ("synthetic.gc.pause.max", max(plain_ms), "ms", len(plain_ms)),
        ("synthetic.gc.pause.frozen.p50", statistics.median(frozen_ms), "ms", len(frozen_ms)),
        ("synthetic.gc.pause.frozen.max", max(frozen_ms), "ms", len(frozen_ms)),
    ]
    return [
        {"name": name, "value": round(value, 3), "unit": unit, "seed": seed, "samples": samples}
        for name, value, unit, samples in rows
    ]


if __name__ == "__main__":
    sys.stdout.buffer.write(pickle.dumps(_measure(sys.argv[1], int(sys.argv[2]))))
