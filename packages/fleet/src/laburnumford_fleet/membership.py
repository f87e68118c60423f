"""Membership view, merged from four sources that can each mislead."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from laburnumford_fleet import messages, report_state, standing, vm

# Own calls outvote the other sources for this long after the last call.
_OWN_TTL_S = 30.0
# A server with failed own calls is tried again after this time.
_OWN_FAILURE_TTL_S = 10.0
# One failed call says more about the call than about the server.
_FAILURES_TO_SILENT = 3
# Peers' reports of silence lapse, so a healed partition is forgotten within seconds.
_SILENT_TTL_S = 15.0
# A list that shows a VM as leaving for longer than the longest grace period is out of date.
_LISTED_TTL_S = 600.0
# A leaving node refuses new calls within 3 s; an answer after that contradicts the list.
_LEAVING_GRACE_S = 3.0
# A start this long ago is known to all nodes.
_YOUNG_S = 60.0
# Calls that expired during a pause fail right after it and say nothing about their servers.
_WAKING_GRACE_S = 2.0
# Each report is passed on once per neighbour; an overlay node has 6, and a few links more.
_SENDS_PER_REPORT = 8
# A lost zone of 10,000 servers in 12 zones gives about 830 reports.
_MAX_QUEUED_REPORTS = 1024
_NEVER = float("-inf")
_URGENT = (report_state.ReportState.LEAVING, report_state.ReportState.LISTED_LEAVING)


@dataclasses.dataclass(slots=True)
class _View:
    """What is known about one server; times are monotonic seconds."""

    draining: bool = False
    incarnation: int = 0
    born_at: float = _NEVER
    changed_at: float = _NEVER
    contact_at: float = _NEVER
    silent_at: float = _NEVER
    reported_leaving: bool = False
    own_answer_at: float = _NEVER
    own_failure_at: float = _NEVER
    own_failures: int = 0
    own_draining: bool = False
    listed: bool = False
    delisted: bool = False
    listed_leaving_at: float | None = None


class Membership:
    """Merges the published group, the platform's list, peers' reports and own calls.

    Own calls outvote the list in both directions. A restart of a node is
    recognised by its incarnation; of two incarnations the one that started
    later is current, whatever order the reports arrive in. Uptimes travel
    instead of times, so no common clock is needed.
    """

    def __init__(self) -> None:
        self._views: dict[str, _View] = {}
        self._queued: collections.OrderedDict[str, tuple[report_state.ReportState, int]] = (
            collections.OrderedDict()
        )
        self._woke_at = _NEVER

    def apply_published(
        self, draining_by_name: Mapping[str, bool], *, removed: Iterable[str] = ()
    ) -> None:
        """Takes over the changes of the version in force.

        Args:
            draining_by_name: whether each new or changed server is to drain, by name.
            removed: names of the servers that are no longer published.
        """
        for name in removed:
            self._views.pop(name, None)
            self._queued.pop(name, None)
        for name, draining in draining_by_name.items():
            self._views.setdefault(name, _View()).draining = draining

    def apply_list(self, vms: Iterable[vm.Vm], *, now: float) -> None:
        """Takes over the platform's list of live and leaving VMs."""
        listed = {entry.name: entry.leaving for entry in vms}
        for name, view in self._views.items():
            leaving = listed.get(name)
            if leaving is None:
                # A server that was never listed may be too new for the lagging list.
                view.delisted = view.listed
                view.listed_leaving_at = None
                continue
            view.listed = True
            view.delisted = False
            if not leaving:
                view.listed_leaving_at = None
            elif view.listed_leaving_at is None:
                view.listed_leaving_at = now
                self._queue(name, report_state.ReportState.LISTED_LEAVING)

    def observe_report(self, report: messages.Report, *, now: float) -> None:
        """Merges a report of a peer, or what a peer says about itself."""
        view = self._views.get(report.server)
        if view is None:
            return
        at = now - report.age_ms / 1000.0
        state = report_state.ReportState(report.state)
        if report.incarnation == 0:
            # The list names VMs, not incarnations.
            if state is report_state.ReportState.LISTED_LEAVING:
                self._observe_listed(report.server, view, at, now)
            return
        born_at = now - report.uptime_ms / 1000.0
        if not self._observe_incarnation(report.server, view, report.incarnation, born_at, now):
            return
        if state is report_state.ReportState.SILENT:
            # Only the change to silent is passed on: every attempt of a neighbour to reach the
            # server renews the time, and passing that on kept 1 message/s going for ever.
            if view.silent_at <= view.contact_at < at and now - at < _SILENT_TTL_S:
                self._queue(report.server, state)
            view.silent_at = max(view.silent_at, at)
            return
        if state is report_state.ReportState.LISTED_LEAVING:
            self._observe_listed(report.server, view, at, now)
            return
        if at > view.contact_at:
            if view.contact_at < view.silent_at < at and now - view.silent_at < _SILENT_TTL_S:
                self._queue(report.server, report_state.ReportState.LIVE)
            view.contact_at = at
        if state is report_state.ReportState.LEAVING and not view.reported_leaving:
            view.reported_leaving = True
            view.changed_at = now
            self._queue(report.server, state)

    def observe_silence(self, name: str, *, now: float) -> None:
        """Takes over that a neighbour did not answer a control call of this node."""
        view = self._views.get(name)
        if view is None or now - self._woke_at < _WAKING_GRACE_S:
            return
        if view.incarnation and view.silent_at <= view.contact_at:
            self._queue(name, report_state.ReportState.SILENT)
        view.silent_at = max(view.silent_at, now)

    def observe_call(
        self, name: str, *, answered: bool, draining: bool, started_at: float, now: float
    ) -> None:
        """Takes over the result of one of this node's own calls.

        Args:
            name: server that was called.
            answered: whether it gave any answer, a refusal included.
            draining: whether it refused the call as draining.
            started_at: when the call was sent, in seconds of the monotonic clock.
            now: monotonic time in seconds.
        """
        view = self._views.get(name)
        if view is None:
            return
        if answered:
            view.own_failures = 0
            view.own_answer_at = max(view.own_answer_at, started_at)
            view.own_draining = draining
        elif now - self._woke_at >= _WAKING_GRACE_S:
            view.own_failures += 1
            view.own_failure_at = now

    def observe_pause(self, *, now: float) -> None:
        """Ages the view after a pause of this process.

        What was seen before the pause no longer outvotes other sources, and
        silence that ended during the pause is forgotten.
        """
        self._woke_at = now
        for view in self._views.values():
            view.own_answer_at = _NEVER
            view.own_failures = 0
            view.contact_at = min(view.contact_at, now - _OWN_TTL_S)
            view.silent_at = min(view.silent_at, now - _SILENT_TTL_S)

    def standing_of(self, name: str, *, now: float) -> standing.Standing:
        """Returns whether a server takes new work."""
        view = self._views.get(name)
        if view is None:
            return standing.Standing.ABSENT
        answered = now - view.own_answer_at < _OWN_TTL_S
        # A refusal as draining lapses, so that a server that ends its drain is tried again.
        if view.draining or view.reported_leaving or (view.own_draining and answered):
            return standing.Standing.LEAVING
        failing = view.own_failures >= _FAILURES_TO_SILENT
        if failing and now - view.own_failure_at < _OWN_FAILURE_TTL_S:
            return standing.Standing.SILENT
        leaving_at = view.listed_leaving_at
        if leaving_at is not None and now - leaving_at < _LISTED_TTL_S:
            # A later start of the node, or an answer to a call sent after the grace, shows that
            # the list is behind.
            contradicted = view.born_at > leaving_at or (
                answered and view.own_answer_at >= leaving_at + _LEAVING_GRACE_S
            )
            if not contradicted:
                return standing.Standing.LEAVING
        if answered:
            return standing.Standing.LIVE
        if view.silent_at > view.contact_at and now - view.silent_at < _SILENT_TTL_S:
            return standing.Standing.SILENT
        if view.delisted and now - view.contact_at >= _OWN_TTL_S:
            return standing.Standing.SILENT
        return standing.Standing.LIVE

    def live(self, name: str, *, now: float) -> bool:
        """Returns whether a server takes new work, as far as this node knows."""
        return self.standing_of(name, now=now) is standing.Standing.LIVE

    def exceptions(self, *, now: float) -> dict[str, standing.Standing]:
        """Returns the standing of the servers that do not take new work, by name."""
        found: dict[str, standing.Standing] = {}
        for name in self._views:
            state = self.standing_of(name, now=now)
            if state is not standing.Standing.LIVE:
                found[name] = state
        return found

    def incarnation(self, name: str) -> int:
        """Returns the current incarnation of a server's node, 0 when it is not known."""
        view = self._views.get(name)
        return 0 if view is None else view.incarnation

    def requeue(self, *, since: float) -> None:
        """Queues again what changed since a time, for a neighbour that was silent since then."""
        for name, view in self._views.items():
            if view.incarnation and view.changed_at >= since:
                leaving = view.reported_leaving
                self._queue(
                    name,
                    report_state.ReportState.LEAVING if leaving else report_state.ReportState.LIVE,
                )

    @property
    def waiting(self) -> bool:
        """Whether reports wait to be sent."""
        return bool(self._queued)

    @property
    def urgent(self) -> bool:
        """Whether a report waits that peers need at once: a node that leaves."""
        return any(
            state in _URGENT and sends == _SENDS_PER_REPORT
            for state, sends in self._queued.values()
        )

    def reports(self, *, limit: int, now: float) -> tuple[messages.Report, ...]:
        """Returns reports to send to one neighbour, leaving nodes first."""
        ranked = sorted(
            self._queued,
            key=lambda name: (
                self._queued[name][0] not in _URGENT,
                -self._queued[name][1],
            ),
        )[:limit]
        return tuple(self._report(name, self._queued[name][0], now) for name in ranked)

    def observe_sent(self, reports: Iterable[messages.Report]) -> None:
        """Takes over that a neighbour received these reports; each is sent a few times."""
        for report in reports:
            state, sends = self._queued.get(report.server, (None, 0))
            if state is None or int(state) != report.state:
                continue
            if sends > 1:
                self._queued[report.server] = (state, sends - 1)
            else:
                del self._queued[report.server]

    def _report(self, name: str, state: report_state.ReportState, now: float) -> messages.Report:
        view = self._views[name]
        at = view.contact_at
        if state is report_state.ReportState.SILENT:
            at = view.silent_at
        elif state is report_state.ReportState.LISTED_LEAVING:
            at = now if view.listed_leaving_at is None else view.listed_leaving_at
        return messages.Report(
            name,
            view.incarnation,
            int(state),
            _milliseconds(now - view.born_at, 315_360_000_000),
            _milliseconds(now - at, 86_400_000),
        )

    def _observe_listed(self, name: str, view: _View, at: float, now: float) -> None:
        if view.listed_leaving_at is None and now - at < _LISTED_TTL_S:
            view.listed_leaving_at = at
            self._queue(name, report_state.ReportState.LISTED_LEAVING)

    def _observe_incarnation(
        self, name: str, view: _View, incarnation: int, born_at: float, now: float
    ) -> bool:
        """Returns whether the incarnation is the current one, after adopting a later one."""
        if incarnation == view.incarnation:
            # Transit makes an uptime look shorter; the earliest estimate is the best one.
            view.born_at = min(view.born_at, born_at)
            return True
        if view.incarnation and born_at <= view.born_at:
            return False
        # Every node is new to a node that starts; only those that started lately are news.
        news = view.incarnation != 0 or now - born_at < _YOUNG_S
        view.incarnation = incarnation
        view.born_at = born_at
        view.reported_leaving = False
        view.own_draining = False
        view.own_failures = 0
        view.silent_at = _NEVER
        view.changed_at = now
        if news:
            self._queue(name, report_state.ReportState.LIVE)
        return True

    def _queue(self, name: str, state: report_state.ReportState) -> None:
        self._queued.pop(name, None)
        self._queued[name] = (state, _SENDS_PER_REPORT)
        while len(self._queued) > _MAX_QUEUED_REPORTS:
            self._queued.popitem(last=False)


def _milliseconds(seconds: float, bound: int) -> int:
    return max(0, min(bound, int(min(seconds, bound / 1000.0) * 1000.0)))
