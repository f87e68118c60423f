"""Tests of the membership view."""

import hypothesis
import pytest
from hypothesis import stateful, strategies

from laburnumford_fleet import member_state, membership, messages, report_state, vm

_LIVE, _LEAVING, _SILENT = (
    member_state.MemberState.LIVE,
    member_state.MemberState.LEAVING,
    member_state.MemberState.SILENT,
)
_NAMES = ("a", "b", "c")


def _view(names=_NAMES) -> membership.Membership:
    view = membership.Membership()
    view.apply_published(dict.fromkeys(names, False))
    return view


def _report(name, incarnation, state=report_state.ReportState.LIVE, uptime_s=1.0, age_s=0.0):
    return messages.Report(name, incarnation, int(state), int(uptime_s * 1000), int(age_s * 1000))


def _vms(**leaving_by_name):
    return [vm.Vm(name=name, zone="z", leaving=value) for name, value in leaving_by_name.items()]


def _call(view, name, now, *, answered=True, draining=False):
    view.observe_call(name, answered=answered, draining=draining, started_at=now, now=now)


def test_own_answers_take_precedence_over_a_list_without_the_server():
    """Guards against a server that gets no requests as a wrong list omits it though it answers."""
    view = _view()
    view.apply_list(_vms(a=False, b=False, c=False), now=0.0)
    view.apply_list(_vms(b=False, c=False), now=1.0)
    assert view.state_of("a", now=1.0) is _SILENT
    _call(view, "a", 2.0)
    assert view.state_of("a", now=2.5) is _LIVE


def test_own_failures_take_precedence_over_a_list_with_the_server():
    """Guards against calls to a dead server that the lagging list still shows."""
    view = _view()
    view.apply_list(_vms(a=False), now=0.0)
    for now in (1.0, 1.1, 1.2):
        assert view.live("a", now=now)
        _call(view, "a", now, answered=False)
    assert view.state_of("a", now=1.3) is _SILENT
    assert view.live("a", now=12.0)


def test_listed_leaving_holds_until_own_calls_or_a_restart_contradict_it():
    """Guards against new requests to a leaving server (invariant P5) and trust in an old list."""
    view = _view()
    _call(view, "a", 0.0)
    view.apply_list(_vms(a=True), now=1.0)
    assert view.state_of("a", now=1.0) is _LEAVING
    _call(view, "a", 2.0)
    assert view.state_of("a", now=2.0) is _LEAVING
    _call(view, "a", 4.5)
    assert view.state_of("a", now=4.5) is _LIVE
    view.observe_report(_report("b", 1, uptime_s=100.0), now=4.5)
    view.apply_list(_vms(a=False, b=True), now=5.0)
    assert view.state_of("b", now=6.0) is _LEAVING
    view.observe_report(_report("b", 2, uptime_s=0.5), now=6.0)
    assert view.state_of("b", now=6.0) is _LIVE


def test_late_report_of_an_earlier_incarnation_is_ignored():
    """Guards against a restarted node that a delayed report of its last run marks as leaving."""
    view = _view()
    view.observe_report(_report("a", 1, report_state.ReportState.LEAVING, 50.0), now=50.0)
    assert view.state_of("a", now=50.0) is _LEAVING
    view.observe_report(_report("a", 2, uptime_s=1.0), now=60.0)
    view.observe_report(_report("a", 1, report_state.ReportState.LEAVING, 55.0), now=61.0)
    assert view.incarnation("a") == 2
    assert view.live("a", now=61.0)


def test_refusal_as_draining_expires():
    """Guards against a server that never gets requests again after its drain ended."""
    view = _view()
    _call(view, "a", 1.0, draining=True)
    assert view.state_of("a", now=2.0) is _LEAVING
    assert view.live("a", now=32.0)


def test_pause_expires_failures_and_silence():
    """Guards against a paused node that takes calls that timed out meanwhile for dead servers."""
    view = _view()
    for now in (1.0, 1.1, 1.2):
        _call(view, "a", now, answered=False)
    view.observe_silence("b", now=1.2)
    view.observe_pause(now=5.0)
    for _ in range(3):
        _call(view, "c", 5.5, answered=False)
    assert all(view.live(name, now=5.5) for name in _NAMES)


def test_reports_of_a_lost_zone_are_bounded():
    """Guards against unbounded report traffic when many nodes are lost at the same time."""
    names = [f"server-{index}" for index in range(3000)]
    view = _view(names)
    for name in names:
        view.observe_report(_report(name, 1, uptime_s=10.0), now=10.0)
    for name in names:
        view.observe_silence(name, now=20.0)
    sent = 0
    while reports := view.reports(limit=messages.MAX_REPORTS, now=20.0):
        view.observe_sent(reports)
        sent += len(reports)
    assert sent <= 1024 * 8


def test_renewed_silence_is_forwarded_once():
    """Guards against two nodes that forward each other's reports of a dead server for ever."""
    views = _view(), _view()
    for view in views:
        view.observe_report(_report("a", 1, uptime_s=10.0), now=10.0)
        view.observe_sent(view.reports(limit=16, now=10.0) * 8)
    for step in range(100):
        now = 20.0 + step
        views[step % 2].observe_silence("a", now=now)
        for source, target in (views, views[::-1]):
            reports = source.reports(limit=16, now=now)
            for report in reports:
                target.observe_report(report, now=now)
            source.observe_sent(reports)
    assert not any(view.has_queued_reports for view in views)


def test_unpublished_server_is_absent():
    """Guards against requests to a server that the version in force no longer contains."""
    view = _view()
    view.apply_published({"b": True}, removed=["a"])
    view.observe_report(_report("a", 1), now=1.0)
    assert view.state_of("a", now=1.0) is member_state.MemberState.ABSENT
    assert view.state_of("b", now=1.0) is _LEAVING


class MembershipMachine(stateful.RuleBasedStateMachine):
    """Merges reports in two views of three servers, with restarts, drains, delays and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.started_at_by_name = dict.fromkeys(_NAMES, 900.0)
        self.incarnations = dict.fromkeys(_NAMES, 1)
        self.leaving = dict.fromkeys(_NAMES, False)
        self.views = (_view(), _view())
        self.delayed: list[tuple[float, messages.Report]] = []

    def _current_report(self, name):
        state = (
            report_state.ReportState.LEAVING
            if self.leaving[name]
            else report_state.ReportState.LIVE
        )
        return _report(
            name, self.incarnations[name], state, self.now - self.started_at_by_name[name]
        )

    @stateful.rule(seconds=strategies.integers(1, 40))
    def wait(self, seconds):
        """Lets time pass."""
        self.now += seconds

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def restart(self, name):
        """Restarts a node whose last message before the restart is delayed."""
        self.now += 1.0
        self.delayed.append((self.now, self._current_report(name)))
        self.now += 1.0
        self.incarnations[name] += 1
        self.started_at_by_name[name] = self.now
        self.leaving[name] = False

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def leave(self, name):
        """Makes a node leave."""
        self.leaving[name] = True

    @stateful.rule(name=strategies.sampled_from(_NAMES), side=strategies.integers(0, 1))
    def contact(self, name, side):
        """Delivers a message of a node to a side."""
        self.views[side].observe_report(self._current_report(name), now=self.now)

    @stateful.rule(name=strategies.sampled_from(_NAMES), side=strategies.integers(0, 1))
    def silence(self, name, side):
        """Makes a control call of a side to a node time out."""
        self.views[side].observe_silence(name, now=self.now)

    @stateful.rule(side=strategies.integers(0, 1), answered=strategies.booleans())
    def own_calls(self, side, answered):
        """Makes three calls from a side to one server."""
        for _ in range(3):
            _call(self.views[side], "a", self.now, answered=answered)
        resumed = self.now - self.views[side]._resumed_at < 2.0
        if not answered and not resumed:
            assert not self.views[side].live("a", now=self.now)

    @stateful.rule(side=strategies.integers(0, 1), shown=strategies.booleans())
    def wrong_list(self, side, shown):
        """Applies an outdated list to a side, with server a as live or without any server."""
        self.views[side].apply_list(_vms(**({"a": False} if shown else {})), now=self.now)

    @stateful.rule(side=strategies.integers(0, 1))
    def pause(self, side):
        """Pauses a side."""
        self.now += 5.0
        self.views[side].observe_pause(now=self.now)

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule(side=strategies.integers(0, 1), index=strategies.integers(0, 50))
    def deliver_late(self, side, index):
        """Delivers a delayed message of an earlier incarnation."""
        sent_at, report = self.delayed[index % len(self.delayed)]
        known = self.views[side].incarnation(report.server)
        # A control call takes at most 2 s, so a message is not delayed for longer.
        if self.now - sent_at <= 2.0:
            self.views[side].observe_report(report, now=self.now)
            assert self.views[side].incarnation(report.server) >= known

    @stateful.rule()
    def heal(self):
        """Delivers one message of each server to one side, then exchanges the reports of both sides."""
        for side, names in enumerate((_NAMES[:2], _NAMES[2:])):
            for name in names:
                self.views[side].observe_report(self._current_report(name), now=self.now)
        for view in self.views:
            view.requeue(since=0.0)
        for _ in range(2):
            for source, target in (self.views, self.views[::-1]):
                reports = source.reports(limit=messages.MAX_REPORTS, now=self.now)
                for report in reports:
                    target.observe_report(report, now=self.now)
                source.observe_sent(reports)
        later = self.now + 16.0
        for name in _NAMES:
            found = [view.incarnation(name) for view in self.views]
            if all(found):
                assert found == [self.incarnations[name]] * 2
                if self.leaving[name]:
                    assert not any(view.live(name, now=later) for view in self.views)

    @stateful.invariant()
    def incarnation_is_never_newer_than_actual(self):
        """Checks that no view knows a later incarnation than the current one."""
        for view in self.views:
            for name in _NAMES:
                assert view.incarnation(name) <= self.incarnations[name]


MembershipMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestMembershipMachine = pytest.mark.timeout(100)(MembershipMachine.TestCase)
