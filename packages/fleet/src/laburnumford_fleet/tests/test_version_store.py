"""Tests of the store of the version in force."""

import random

import hypothesis
import pytest
from hypothesis import stateful, strategies

from laburnumford_fleet import errors, messages, version_store
from laburnumford_fleet.bench import sets
from laburnumford_objects import bundle
from laburnumford_objects import head as heads

_PREFIX = bundle.key_prefix(sets.WORKSPACE)
_LAST_VERSION = 40


@pytest.fixture(scope="module")
def history() -> dict[str, bytes]:
    """Returns the values of 40 versions; the heads are below ``head/<version>``."""
    return make_history()


def make_history() -> dict[str, bytes]:
    """Publishes 40 versions."""
    values: dict[str, bytes] = {}
    previous = None
    for version in range(1, _LAST_VERSION + 1):
        objects = sets.small(range(9001, 9007), timeout_ms=1000 + version)
        values |= bundle.bundle(previous, objects, version)
        values[f"{_PREFIX}head/{version}"] = values[f"{_PREFIX}head"]
        previous = bundle.read(values, sets.WORKSPACE)
    return values


def _head(history, version: int) -> heads.Head:
    return heads.Head.decode(history[f"{_PREFIX}head/{version}"])


def _deltas(history, since: int, version: int) -> list[bytes]:
    return [history[f"{_PREFIX}delta/{number}"] for number in range(since + 1, version + 1)]


def _parts(history, head: heads.Head) -> list[bytes]:
    return [
        history[f"{_PREFIX}snapshot/{head.snapshot_version}/{part}"]
        for part in range(1, head.snapshot_parts + 1)
    ]


def _store() -> version_store.VersionStore:
    return version_store.VersionStore(workspace=sets.WORKSPACE)


def _store_at(history, version: int) -> version_store.VersionStore:
    store = _store()
    assert store.apply_deltas(_deltas(history, 0, version), _head(history, version), node="test")
    return store


def test_applies_only_higher_versions(history):
    """Guards against replacing the version in force by an older one (invariant P7)."""
    store = _store_at(history, 5)
    assert not store.apply_deltas(_deltas(history, 0, 4), _head(history, 4), node="test")
    assert not store.apply_snapshot(
        _parts(history, _head(history, 3)), _head(history, 3), node="t"
    )
    assert store.version == 5
    assert store.rejected == ()


@pytest.mark.parametrize(
    ("spoil", "object_prefix"),
    [
        (lambda values: values[:-1], "delta/7"),
        (lambda values: values[1:], "delta/"),
        (lambda values: [values[0], values[1][:-9]], "delta"),
        (lambda values: [values[0], values[1].replace(b"1007", b"1008")], "delta/7"),
        (lambda values: [*values, values[-1]], "delta/7"),
        (lambda values: [b"{}", *values], "delta"),
        (lambda values: values[:0], "delta/6"),
    ],
)
def test_invalid_deltas_are_rejected_as_a_whole(history, spoil, object_prefix):
    """Guards against a corrupt, incomplete or mismatched version that is applied in part."""
    store = _store_at(history, 5)
    before = store.object_set
    with pytest.raises(errors.VersionError):
        store.apply_deltas(spoil(_deltas(history, 5, 7)), _head(history, 7), node="platform")
    assert store.version == 5
    assert store.object_set is before
    [entry] = store.rejected
    assert (entry.version, entry.node) == (7, "platform")
    assert entry.object_name.startswith(object_prefix)
    assert store.apply_deltas(_deltas(history, 5, 7), _head(history, 7), node="platform")


def test_unchanged_objects_are_shared(history):
    """Guards against changes whose cost grows with the size of the object set."""
    store = _store_at(history, 5)
    before = store.object_set
    store.apply_deltas(_deltas(history, 5, 6), _head(history, 6), node="test")
    assert store.object_set.groups_by_name is before.groups_by_name
    assert store.object_set.policies_by_name["lookup"].timeout_ms == 1006


@pytest.mark.parametrize("removed_bytes", [0, 1])
async def test_snapshot_of_a_peer_is_applied_unless_truncated(history, removed_bytes):
    """Guards against a node that cannot start from a peer whose delta log begins later."""
    source = _store()
    head = _head(history, 20)
    source.apply_snapshot(_parts(history, head), head, node="platform")
    source.apply_deltas(_deltas(history, 17, 20), head, node="platform")
    answer = await source.changes(messages.Fetch(0, bytes(32)))
    assert (answer.version, answer.parts) == (17, 1)
    target = _store()
    part_head = head.model_copy(update={"digest": answer.digest.hex(), "version": 17})
    data = answer.data[: len(answer.data) - removed_bytes]
    if removed_bytes:
        with pytest.raises(errors.VersionError):
            target.apply_snapshot([data], part_head, node="peer")
        assert target.version == 0
        return
    assert target.apply_snapshot([data], part_head, node="peer")
    rest = await source.changes(messages.Fetch(17, target.digest))
    assert len(rest.deltas) == 3
    assert target.apply_deltas(rest.deltas, head, node="peer")
    assert target.digest == source.digest


async def test_peer_with_other_digest_gets_a_snapshot(history):
    """Guards against deltas for a peer that has other contents under the same version number."""
    source = _store_at(history, 20)
    answer = await source.changes(messages.Fetch(18, bytes(32)))
    assert answer.parts == 1
    assert answer.version == 20
    with pytest.raises(errors.MessageError, match="found part 7"):
        await source.changes(messages.Fetch(18, bytes(32), True, 20, 7))
    with pytest.raises(errors.MessageError, match="no longer kept"):
        await source.changes(messages.Fetch(18, bytes(32), True, 3, 7))


def test_rejected_records_are_bounded(history):
    """Guards against memory that grows with each bad version."""
    store = _store_at(history, 5)
    for number in range(100):
        head = _head(history, 7).model_copy(update={"version": 100 + number})
        with pytest.raises(errors.VersionError):
            store.apply_deltas([], head, node="peer")
    assert len(store.rejected) == 32


_HISTORY = make_history()


class VersionStoreMachine(stateful.RuleBasedStateMachine):
    """Runs four stores that pull from each other and from a platform that may be stale."""

    def __init__(self) -> None:
        super().__init__()
        self.stores = [_store() for _ in range(4)]
        self.min_versions = [0] * 4
        self.published = 1
        self.shown = 1
        self.disconnected_nodes: set[int] = set()
        self.generator = random.Random(0)

    @stateful.rule(count=strategies.integers(1, 20))
    def publish(self, count):
        """Publishes the next versions on the platform."""
        self.published = self.shown = min(_LAST_VERSION, self.published + count)

    @stateful.rule(back=strategies.integers(1, 30))
    def stale_platform(self, back):
        """Makes the platform show an older version."""
        self.shown = max(1, self.published - back)

    @stateful.rule(
        node=strategies.integers(0, 3),
        fault=strategies.sampled_from(["", "incomplete", "truncated"]),
    )
    def read_platform(self, node, fault):
        """Makes a node read the platform, whose last delta may be missing or truncated."""
        store, head = self.stores[node], _head(_HISTORY, self.shown)
        values = _deltas(_HISTORY, store.version, self.shown)
        if fault and values:
            values = values[:-1] if fault == "incomplete" else [*values[:-1], values[-1][:-3]]
            with pytest.raises(errors.VersionError):
                store.apply_deltas(values, head, node="platform")
            return
        store.apply_deltas(values, head, node="platform")
        assert store.version >= self.shown

    @stateful.rule(node=strategies.integers(0, 3))
    def read_snapshot(self, node):
        """Makes a node read the snapshot that the platform shows."""
        head = _head(_HISTORY, self.shown)
        self.stores[node].apply_snapshot(_parts(_HISTORY, head), head, node="platform")

    @stateful.rule(node=strategies.integers(0, 3))
    def partition(self, node):
        """Disconnects a node from all others."""
        self.disconnected_nodes.add(node)

    @stateful.rule()
    def heal(self):
        """Restores all connections."""
        self.disconnected_nodes.clear()

    @stateful.rule(source_node=strategies.integers(0, 3), target_node=strategies.integers(0, 3))
    def pull(self, source_node, target_node):
        """Makes a node pull from another, through encoded messages."""
        if source_node == target_node or self.disconnected_nodes & {source_node, target_node}:
            return
        self._pull(source_node, target_node)
        assert self.stores[target_node].version >= self.stores[source_node].version

    @stateful.rule(node=strategies.integers(0, 3), stale=strategies.booleans())
    def restart(self, node, stale):
        """Restarts a node, which reads the platform if `stale` and pulls from all reachable peers."""
        self.stores[node] = _store()
        self.min_versions[node] = 0
        if stale:
            self.read_platform(node, "")
        reached = (
            []
            if node in self.disconnected_nodes
            else [n for n in range(4) if n not in {node} | self.disconnected_nodes]
        )
        for source in reached:
            self._pull(source, node)
        known = max((self.stores[source].version for source in reached), default=0)
        assert self.stores[node].version >= known

    def _pull(self, source, target):
        source_store, target_store = self.stores[source], self.stores[target]
        while target_store.version < source_store.version:
            request = messages.Fetch(target_store.version, target_store.digest)
            answer = source_store._deltas_after(request.since, request.digest)
            if answer is None:
                # The delta log of the source begins later and continues its kept snapshot.
                snapshot = source_store._snapshot
                assert snapshot is not None
                assert snapshot.version > target_store.version
                head = _peer_head(snapshot.version, snapshot.digest, len(snapshot.parts))
                assert target_store.apply_snapshot(snapshot.parts, head, node="peer")
                continue
            answer = messages.decode(
                messages.Changes, messages.encode(answer), max_bytes=messages.MAX_MESSAGE_BYTES
            )
            head = _peer_head(answer.version, answer.digest, 1)
            assert target_store.apply_deltas(answer.deltas, head, node="peer")

    @stateful.invariant()
    def version_never_decreases(self):
        """Checks that the version of a running node only rises and is a published one."""
        for node, store in enumerate(self.stores):
            assert store.version >= self.min_versions[node]
            self.min_versions[node] = store.version
            if store.version:
                assert store.digest.hex() == _head(_HISTORY, store.version).digest
                assert (
                    store.object_set.policies_by_name["lookup"].timeout_ms == 1000 + store.version
                )


def _peer_head(version: int, digest: bytes, parts: int) -> heads.Head:
    return heads.Head(
        workspace=sets.WORKSPACE,
        version=version,
        digest=digest.hex(),
        snapshot_version=version,
        snapshot_parts=parts,
    )


VersionStoreMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=40
)
TestVersionStoreMachine = pytest.mark.timeout(100)(VersionStoreMachine.TestCase)
