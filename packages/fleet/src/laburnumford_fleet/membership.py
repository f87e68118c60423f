"""Membership view, merged from four sources, each of which can be wrong or out of date."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from laburnumford_fleet import member_state, messages, report_state, vm

# The result of an own call takes precedence over the other sources for this long.
_OWN_CALL_TTL_S = 30.0
# A server whose own calls failed is tried again after this time.
_OWN_FAILURE_TTL_S = 10.0
# A single failed call can be due to the call rather than to the server.
_MIN_FAILURES_FOR_SILENT = 3
# Reports of silence expire, so servers count as live again within seconds of a healed partition.
_SILENT_TTL_S = 15.0
# Longer than the longest grace period: a list that still shows the VM as leaving is out of date.
_LISTED_LEAVING_TTL_S = 600.0
# A leaving node refuses new calls within 3 s, so a later answer contradicts the list.
_LEAVING_ANSWER_GRACE_S = 3.0
# A start that is longer ago is known to all nodes and not reported again.
_RECENT_START_S = 60.0
# Calls that timed out during a pause fail right after it, whatever the state of their servers.
_RESUME_GRACE_S = 2.0
# Each report is sent about once per neighbour: a node has 6 of them and a few pair links.
_SENDS_PER_REPORT = 8
# A lost zone of 10,000 servers in 12 zones gives about 830 reports.
_MAX_QUEUED_REPORTS = 1024
_NEVER = float("-inf")
_URGENT_STATES = (report_state.ReportState.LEAVING, report_state.ReportState.LISTED_LEAVING)


@dataclasses.dataclass(slots=True)
class _Member:
    """Holds what is known about one server; times are in seconds of the monotonic clock."""

    draining: bool = False
    incarnation: int = 0
    node_started_at: float = _NEVER
    state_changed_at: float = _NEVER
    last_contact_at: float = _NEVER
    last_silent_at: float = _NEVER
    reported_leaving: bool = False
    own_answered_call_sent_at: float = _NEVER
    own_failure_at: float = _NEVER
    own_failures: int = 0
    own_draining: bool = False
    listed: bool = False
    delisted: bool = False
    listed_leaving_at: float | None = None


class Membership:
    """Merges the published group, the platform's list, peers' reports and own calls.

    Own calls take precedence over the list, whether they show a server as live
    or as failed. A restart of a node is recognised by its incarnation; of two
    incarnations the one that started later is current, whatever the order in
    which reports arrive. Messages carry uptimes instead of times, so nodes need
    no common clock.
    """

    def __init__(self) -> None:
        self._members: dict[str, _Member] = {}
        self._queued: collections.OrderedDict[str, tuple[report_state.ReportState, int]] = (
            collections.OrderedDict()
        )
        self._resumed_at = _NEVER

    def apply_published(
        self, draining_by_name: Mapping[str, bool], *, removed: Iterable[str] = ()
    ) -> None:
        """Applies the changes of the version in force.

        Args:
            draining_by_name: whether each new or changed server is to drain, by name.
            removed: names of the servers that are no longer published.
        """
        for name in removed:
            self._members.pop(name, None)
            self._queued.pop(name, None)
        for name, draining in draining_by_name.items():
            self._members.setdefault(name, _Member()).draining = draining

    def apply_list(self, vms: Iterable[vm.Vm], *, now: float) -> None:
        """Applies the platform's list of live and leaving VMs."""
        listed = {entry.name: entry.leaving for entry in vms}
        for name, member in self._members.items():
            leaving = listed.get(name)
            if leaving is None:
                # A server that was never listed may be newer than the list, which lags.
                member.delisted = member.listed
                member.listed_leaving_at = None
                continue
            member.listed = True
            member.delisted = False
            if not leaving:
                member.listed_leaving_at = None
            elif member.listed_leaving_at is None:
                member.listed_leaving_at = now
                self._queue(name, report_state.ReportState.LISTED_LEAVING)

    def observe_report(self, report: messages.Report, *, now: float) -> None:
        """Merges a report of a peer about any server, including its own."""
        member = self._members.get(report.server)
        if member is None:
            return
        at = now - report.age_ms / 1000.0
        state = report_state.ReportState(report.state)
        if report.incarnation == 0:
            # The list names VMs, not incarnations.
            if state is report_state.ReportState.LISTED_LEAVING:
                self._observe_listed_leaving(report.server, member, at, now)
            return
        node_started_at = now - report.uptime_ms / 1000.0
        if not self._observe_incarnation(
            report.server, member, report.incarnation, node_started_at, now
        ):
            return
        if state is report_state.ReportState.SILENT:
            # Only the change to silent is forwarded. Every attempt of a neighbour to reach the
            # server renews the time, and forwarding renewals kept 1 message/s going for ever.
            if member.last_silent_at <= member.last_contact_at < at and now - at < _SILENT_TTL_S:
                self._queue(report.server, state)
            member.last_silent_at = max(member.last_silent_at, at)
            return
        if state is report_state.ReportState.LISTED_LEAVING:
            self._observe_listed_leaving(report.server, member, at, now)
            return
        if at > member.last_contact_at:
            if (
                member.last_contact_at < member.last_silent_at < at
                and now - member.last_silent_at < _SILENT_TTL_S
            ):
                self._queue(report.server, report_state.ReportState.LIVE)
            member.last_contact_at = at
        if state is report_state.ReportState.LEAVING and not member.reported_leaving:
            member.reported_leaving = True
            member.state_changed_at = now
            self._queue(report.server, state)

    def observe_silence(self, name: str, *, now: float) -> None:
        """Records that a neighbour did not answer a control call of this node."""
        member = self._members.get(name)
        if member is None or now - self._resumed_at < _RESUME_GRACE_S:
            return
        if member.incarnation and member.last_silent_at <= member.last_contact_at:
            self._queue(name, report_state.ReportState.SILENT)
        member.last_silent_at = max(member.last_silent_at, now)

    def observe_call(
        self, name: str, *, answered: bool, draining: bool, started_at: float, now: float
    ) -> None:
        """Records the result of one of this node's own calls.

        Args:
            name: server that was called.
            answered: whether it answered; a refusal is an answer.
            draining: whether it refused the call as draining.
            started_at: when the call was sent, in seconds of the monotonic clock.
            now: monotonic time in seconds.
        """
        member = self._members.get(name)
        if member is None:
            return
        if answered:
            member.own_failures = 0
            member.own_answered_call_sent_at = max(member.own_answered_call_sent_at, started_at)
            member.own_draining = draining
        elif now - self._resumed_at >= _RESUME_GRACE_S:
            member.own_failures += 1
            member.own_failure_at = now

    def observe_pause(self, *, now: float) -> None:
        """Expires what was observed before a pause of this process.

        Earlier own calls no longer take precedence over other sources, and
        earlier silence, which may have ended during the pause, expires.
        """
        self._resumed_at = now
        for member in self._members.values():
            member.own_answered_call_sent_at = _NEVER
            member.own_failures = 0
            member.last_contact_at = min(member.last_contact_at, now - _OWN_CALL_TTL_S)
            member.last_silent_at = min(member.last_silent_at, now - _SILENT_TTL_S)

    def state_of(self, name: str, *, now: float) -> member_state.MemberState:
        """Returns the state of a server, merged from all sources."""
        member = self._members.get(name)
        if member is None:
            return member_state.MemberState.ABSENT
        answered = now - member.own_answered_call_sent_at < _OWN_CALL_TTL_S
        # A refusal as draining expires, so that a server is tried again after its drain ended.
        if member.draining or member.reported_leaving or (member.own_draining and answered):
            return member_state.MemberState.LEAVING
        failing = member.own_failures >= _MIN_FAILURES_FOR_SILENT
        if failing and now - member.own_failure_at < _OWN_FAILURE_TTL_S:
            return member_state.MemberState.SILENT
        leaving_at = member.listed_leaving_at
        if leaving_at is not None and now - leaving_at < _LISTED_LEAVING_TTL_S:
            # The list is out of date if the node started later, or answered a call that was sent
            # after the grace period.
            contradicted = member.node_started_at > leaving_at or (
                answered
                and member.own_answered_call_sent_at >= leaving_at + _LEAVING_ANSWER_GRACE_S
            )
            if not contradicted:
                return member_state.MemberState.LEAVING
        if answered:
            return member_state.MemberState.LIVE
        if (
            member.last_silent_at > member.last_contact_at
            and now - member.last_silent_at < _SILENT_TTL_S
        ):
            return member_state.MemberState.SILENT
        if member.delisted and now - member.last_contact_at >= _OWN_CALL_TTL_S:
            return member_state.MemberState.SILENT
        return member_state.MemberState.LIVE

    def live(self, name: str, *, now: float) -> bool:
        """Returns whether a server takes new requests, as far as this node knows."""
        return self.state_of(name, now=now) is member_state.MemberState.LIVE

    def non_live_states(self, *, now: float) -> dict[str, member_state.MemberState]:
        """Returns the state of each server that is not live, by name."""
        found: dict[str, member_state.MemberState] = {}
        for name in self._members:
            state = self.state_of(name, now=now)
            if state is not member_state.MemberState.LIVE:
                found[name] = state
        return found

    def incarnation(self, name: str) -> int:
        """Returns the current incarnation of a server's node, 0 when it is not known."""
        member = self._members.get(name)
        return 0 if member is None else member.incarnation

    def requeue(self, *, since: float) -> None:
        """Queues changes since a time again, for a neighbour that was silent since then."""
        for name, member in self._members.items():
            if member.incarnation and member.state_changed_at >= since:
                leaving = member.reported_leaving
                self._queue(
                    name,
                    report_state.ReportState.LEAVING if leaving else report_state.ReportState.LIVE,
                )

    @property
    def has_queued_reports(self) -> bool:
        """Whether reports are queued to be sent."""
        return bool(self._queued)

    @property
    def has_urgent_reports(self) -> bool:
        """Whether a report of a leaving node is queued and not sent yet; peers need it at once."""
        return any(
            state in _URGENT_STATES and sends == _SENDS_PER_REPORT
            for state, sends in self._queued.values()
        )

    def reports(self, *, limit: int, now: float) -> tuple[messages.Report, ...]:
        """Returns reports to send to one neighbour: leaving nodes first, then the least sent ones."""
        ranked = sorted(
            self._queued,
            key=lambda name: (
                self._queued[name][0] not in _URGENT_STATES,
                -self._queued[name][1],
            ),
        )[:limit]
        return tuple(self._report(name, self._queued[name][0], now) for name in ranked)

    def observe_sent(self, reports: Iterable[messages.Report]) -> None:
        """Counts that a neighbour received these reports; each is sent a bounded number of times."""
        for report in reports:
            state, sends = self._queued.get(report.server, (None, 0))
            if state is None or int(state) != report.state:
                continue
            if sends > 1:
                self._queued[report.server] = (state, sends - 1)
            else:
                del self._queued[report.server]

    def _report(self, name: str, state: report_state.ReportState, now: float) -> messages.Report:
        member = self._members[name]
        at = member.last_contact_at
        if state is report_state.ReportState.SILENT:
            at = member.last_silent_at
        elif state is report_state.ReportState.LISTED_LEAVING:
            at = now if member.listed_leaving_at is None else member.listed_leaving_at
        return messages.Report(
            name,
            member.incarnation,
            int(state),
            _clamped_ms(now - member.node_started_at, 315_360_000_000),
            _clamped_ms(now - at, 86_400_000),
        )

    def _observe_listed_leaving(self, name: str, member: _Member, at: float, now: float) -> None:
        if member.listed_leaving_at is None and now - at < _LISTED_LEAVING_TTL_S:
            member.listed_leaving_at = at
            self._queue(name, report_state.ReportState.LISTED_LEAVING)

    def _observe_incarnation(
        self, name: str, member: _Member, incarnation: int, node_started_at: float, now: float
    ) -> bool:
        """Returns whether the incarnation is current, after recording it if it started later."""
        if incarnation == member.incarnation:
            # Transit time makes an uptime look shorter, so the earliest estimated start is the best.
            member.node_started_at = min(member.node_started_at, node_started_at)
            return True
        if member.incarnation and node_started_at <= member.node_started_at:
            return False
        # Every node is new to a node that starts; only recent starts are reported to others.
        is_recent_start = member.incarnation != 0 or now - node_started_at < _RECENT_START_S
        member.incarnation = incarnation
        member.node_started_at = node_started_at
        member.reported_leaving = False
        member.own_draining = False
        member.own_failures = 0
        member.last_silent_at = _NEVER
        member.state_changed_at = now
        if is_recent_start:
            self._queue(name, report_state.ReportState.LIVE)
        return True

    def _queue(self, name: str, state: report_state.ReportState) -> None:
        self._queued.pop(name, None)
        self._queued[name] = (state, _SENDS_PER_REPORT)
        while len(self._queued) > _MAX_QUEUED_REPORTS:
            self._queued.popitem(last=False)


def _clamped_ms(seconds: float, max_ms: int) -> int:
    return max(0, min(max_ms, int(min(seconds, max_ms / 1000.0) * 1000.0)))
