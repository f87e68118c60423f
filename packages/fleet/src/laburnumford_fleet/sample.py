"""Sample of the versions in force that all nodes share."""

from collections.abc import Iterable

from laburnumford_fleet import hashing, messages

# Older reports, of nodes that stopped reporting, are dropped from the sample.
_MAX_AGE_S = 180.0


class VersionSample:
    """Estimates how many nodes hold each version, from a bounded sample.

    Each node keeps the reports of the 32 nodes whose names have the smallest
    hashes. All nodes therefore converge to the same sample, whose size does not
    depend on the size of the fleet. In fleets of up to 32 nodes the counts are
    exact.

    Args:
        node: name of this node.
    """

    def __init__(self, *, node: str) -> None:
        self._rank = hashing.hash_name(node)
        self._own_version = 0
        self._reports: dict[int, tuple[int, float]] = {}

    def set_own_version(self, *, version: int) -> None:
        """Sets the version in force at this node."""
        self._own_version = version

    def observe(self, samples: Iterable[messages.Sample], *, now: float) -> None:
        """Merges the sample of a neighbour; of two reports of a node the younger is kept."""
        for entry in samples:
            at = now - entry.age_ms / 1000.0
            known = self._reports.get(entry.rank)
            if entry.rank != self._rank and (known is None or known[1] < at):
                self._reports[entry.rank] = (entry.version, at)
        self._trim(now)

    def entries(self, *, now: float) -> tuple[messages.Sample, ...]:
        """Returns the sample to send, which includes this node if its hash is small enough."""
        self._trim(now)
        return tuple(
            messages.Sample(rank, version, max(0, int((now - at) * 1000.0)))
            for rank, (version, at) in self._with_own(now)
        )

    def counts(self, *, nodes: int, now: float) -> dict[int, int]:
        """Returns the estimated number of nodes by version.

        Args:
            nodes: size of the fleet.
            now: monotonic time in seconds.
        """
        self._trim(now)
        sampled = self._with_own(now)
        by_version: dict[int, int] = {}
        for _, (version, _) in sampled:
            by_version[version] = by_version.get(version, 0) + 1
        if len(sampled) < messages.MAX_SAMPLES:
            return by_version
        return {
            version: round(count * nodes / len(sampled)) for version, count in by_version.items()
        }

    def _with_own(self, now: float) -> list[tuple[int, tuple[int, float]]]:
        merged = dict(self._reports)
        merged[self._rank] = (self._own_version, now)
        return sorted(merged.items())[: messages.MAX_SAMPLES]

    def _trim(self, now: float) -> None:
        kept = sorted(
            (rank, report)
            for rank, report in self._reports.items()
            if now - report[1] <= _MAX_AGE_S
        )
        self._reports = dict(kept[: messages.MAX_SAMPLES])
