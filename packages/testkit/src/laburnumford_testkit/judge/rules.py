"""Rules of the judge, one per invariant."""

import collections
from collections.abc import Iterator
from typing import Protocol

from laburnumford_objects import registry
from laburnumford_testkit.backend import run as run_module
from laburnumford_testkit.judge import evidence as evidence_module
from laburnumford_testkit.judge import finding as finding_module
from laburnumford_testkit.judge import invariant as invariant_module
from laburnumford_testkit.judge import measuring as measuring_module
from laburnumford_testkit.judge import planned_stop

_NOT_IDEMPOTENT = frozenset({"POST", "PATCH"})
# Different processes of one machine record the times of a planned stop and of the runs around
# it, on a shared monotonic clock. This covers the delay between an event and its time stamp.
_TIMESTAMP_TOLERANCE_S = 0.005

Invariant = invariant_module.Invariant
Findings = Iterator[finding_module.Finding]


class Rule(Protocol):
    """Finds the violations of one invariant."""

    def check(self, evidence: evidence_module.Evidence) -> Findings:
        """Yields the violations of the invariant in the evidence."""


rules: registry.Registry[Rule] = registry.Registry("rule")


@rules.register("at-most-once")
class AtMostOnce:
    """Requests with one idempotency key, or one non-idempotent call, run at most once."""

    def check(self, evidence: evidence_module.Evidence) -> Findings:
        """Yields idempotency keys and calls that ran more than once."""
        runs_by_subject: dict[str, list[run_module.Run]] = collections.defaultdict(list)
        for run in evidence.runs:
            if run.key:
                runs_by_subject[f"key {run.key}"].append(run)
            elif run.method in _NOT_IDEMPOTENT and run.call_id:
                runs_by_subject[f"call {run.call_id}"].append(run)
        for subject, runs in runs_by_subject.items():
            if len(runs) > 1:
                run_texts = ", ".join(f"{run.server} at {run.started:.6f}" for run in runs)
                yield finding_module.Finding(
                    invariant=Invariant.AT_MOST_ONCE,
                    subject=subject,
                    message=f"ran {len(runs)} times ({run_texts}); allowed: 1",
                )


@rules.register("refused-never-ran")
class RefusedNeverRan:
    """A request with a complete answer of outcome `refused` never runs, before or after it."""

    def check(self, evidence: evidence_module.Evidence) -> Findings:
        """Yields requests that ran although their answer says refused."""
        run_by_call_id = {run.call_id: run for run in evidence.runs if run.call_id}
        for record in evidence.records:
            run = run_by_call_id.get(record.call_id)
            if record.outcome == "refused" and run is not None:
                yield finding_module.Finding(
                    invariant=Invariant.REFUSED_NEVER_RAN,
                    subject=f"call {record.call_id}",
                    message=f"answered {record.status} refused ({record.reason}), "
                    f"but ran on {run.server} at {run.started:.6f}",
                )


@rules.register("complete-own-answer")
class CompleteOwnAnswer:
    """A complete answer has the bytes of its own request and comes from a logged run."""

    def check(self, evidence: evidence_module.Evidence) -> Findings:
        """Yields answers that belong to another call, mix calls, are too short or lack a run."""
        run_call_ids = {run.call_id for run in evidence.runs}
        for record in evidence.records:
            if record.is_own_answer is False:
                yield finding_module.Finding(
                    invariant=Invariant.COMPLETE_OWN_ANSWER,
                    subject=f"call {record.call_id}",
                    message=f"answer {record.status} of {record.answer_bytes} bytes with id "
                    f"{record.answer_id!r} is not the complete answer to this call",
                )
            elif (
                record.is_own_answer
                and evidence.all_runs_known
                and record.answer_id not in run_call_ids
            ):
                yield finding_module.Finding(
                    invariant=Invariant.COMPLETE_OWN_ANSWER,
                    subject=f"call {record.call_id}",
                    message=f"answer with id {record.answer_id!r} belongs to no logged run",
                )


@rules.register("no-work-after-leaving")
class NoWorkAfterLeaving:
    """A leaving backend server starts no run after its allowance."""

    def check(self, evidence: evidence_module.Evidence) -> Findings:
        """Yields leaving backend servers that started runs after their allowance."""
        for leave in evidence.leaves:
            allowed_until = leave.began + leave.allowance_s
            until = float("inf") if leave.until is None else leave.until
            late = [
                run
                for run in evidence.runs
                if run.server == leave.server and allowed_until < run.started < until
            ]
            if late:
                latest_s = max(run.started for run in late) - leave.began
                yield finding_module.Finding(
                    invariant=Invariant.NO_WORK_AFTER_LEAVING,
                    subject=f"server {leave.server}",
                    message=f"started {len(late)} runs up to {latest_s:.3f} s after it began to "
                    f"leave; allowed: {leave.allowance_s:g} s",
                )


@rules.register("nothing-cut")
class NothingInterrupted:
    """A planned stop interrupts no run and no request in flight, and ends with status 0."""

    def check(self, evidence: evidence_module.Evidence) -> Findings:
        """Yields runs and requests that a planned stop interrupted, and failed exits."""
        timed_out = {record.call_id for record in evidence.records if record.error == "timeout"}
        for stop in evidence.planned_stops:
            if stop.exit_status != 0:
                yield self._finding(
                    f"server {stop.server}", f"ended with status {stop.exit_status}; allowed: 0"
                )
            for run in evidence.runs:
                if run.call_id not in timed_out and _is_interrupted_run(run, stop):
                    yield self._finding(
                        f"call {run.call_id}",
                        f"run on {run.server}, started at {run.started:.6f}, was interrupted by "
                        f"the planned stop at {stop.began:.6f}",
                    )
            for record in evidence.records:
                in_flight = record.sent < stop.began or record.error.startswith("truncated")
                if (
                    stop.edge_address
                    and record.target == stop.edge_address
                    and record.sent <= stop.ended
                    and in_flight
                    and (record.answered is None or record.answered >= stop.began)
                    and record.error
                    and record.error != "timeout"
                ):
                    yield self._finding(
                        f"call {record.call_id}",
                        f"sent {stop.began - record.sent:.3f} s before the planned stop of the "
                        f"node of {stop.server}, was interrupted: {record.error}",
                    )

    def _finding(self, subject: str, message: str) -> finding_module.Finding:
        return finding_module.Finding(
            invariant=Invariant.NOTHING_INTERRUPTED, subject=subject, message=message
        )


@rules.register("measuring-within-budget")
class MeasuringWithinBudget:
    """Measuring requests stay within a token bucket of the budget."""

    def check(self, evidence: evidence_module.Evidence) -> Findings:
        """Yields backend servers whose measuring requests exceed the budget."""
        for measuring in evidence.measuring_loads:
            calls = [(at, 1.0) for at, _ in measuring.requests]
            sizes = [(at, float(size)) for at, size in measuring.requests]
            yield from self._check(measuring, "calls", calls, measuring.calls_per_s)
            yield from self._check(measuring, "bytes", sizes, measuring.bytes_per_s)

    def _check(
        self,
        measuring: measuring_module.MeasuringLoad,
        unit: str,
        costs: list[tuple[float, float]],
        rate: float,
    ) -> Findings:
        ordered = sorted(costs)
        if not ordered:
            return
        largest = max(cost for _, cost in ordered) if rate > 0 else 0.0
        burst = max(largest, rate * measuring.burst_s)
        level, last = burst, ordered[0][0]
        for at, cost in ordered:
            level = min(burst, level + (at - last) * rate) - cost
            last = at
            if level < -1e-6:
                span_s = ordered[-1][0] - ordered[0][0]
                total = sum(spent for _, spent in ordered)
                yield finding_module.Finding(
                    invariant=Invariant.MEASURING_WITHIN_BUDGET,
                    subject=f"server {measuring.server}",
                    message=f"measuring took {total:g} {unit} within {span_s:.3f} s and exceeded "
                    f"{rate:g} {unit}/s at {at:.6f}",
                )
                return


@rules.register("version-never-older")
class VersionNeverOlder:
    """The version in force at a node never decreases and follows publications in time."""

    def check(self, evidence: evidence_module.Evidence) -> Findings:
        """Yields nodes that reverted to a lower version or applied a version too late."""
        highest_by_node: dict[str, int] = {}
        late: set[tuple[str, int]] = set()
        for observation in sorted(evidence.observations, key=lambda seen: seen.at):
            node, version = observation.node, observation.version
            highest = highest_by_node.get(node, 0)
            # Version 0 is no violation: a node that has just started has no version and takes
            # no calls.
            if 0 < version < highest:
                yield self._finding(node, f"reverted from version {highest} to {version}")
            highest_by_node[node] = max(highest, version)
            required = self._required_version(evidence, observation.at)
            if version < required and (node, required) not in late:
                late.add((node, required))
                yield self._finding(
                    node,
                    f"had version {version} in force at {observation.at:.3f}; version {required} "
                    f"was due {evidence.propagation_limit_s:g} s after its publication",
                )

    def _required_version(self, evidence: evidence_module.Evidence, at: float) -> int:
        if evidence.propagation_limit_s is None:
            return 0
        latest = at - evidence.propagation_limit_s
        return max((one.version for one in evidence.publications if one.at < latest), default=0)

    def _finding(self, node: str, message: str) -> finding_module.Finding:
        return finding_module.Finding(
            invariant=Invariant.VERSION_NEVER_OLDER, subject=f"node {node}", message=message
        )


def _is_interrupted_run(run: run_module.Run, stop: planned_stop.PlannedStop) -> bool:
    if run.server != stop.server or run.started > stop.ended:
        return False
    if run.ended is None:
        return True
    return not run.answer_whole and run.ended >= stop.began - _TIMESTAMP_TOLERANCE_S
