"""The default chooser: lowest estimated time to answer."""

import collections.abc
import math
import random

from laburnumford_policy.choice import (
    _parameters,
    _server_state,
    candidate,
    explanation,
    load_report,
    registry,
    result,
)

_PARAMETERS: dict[str, _parameters.Range] = {
    "sample_size": (int, 2, 16),
    "ramp_s": (float, 0.0, 600.0),
    "trial_calls": (int, 10, 100_000),
    "trial_gap_s": (float, 0.001, 60.0),
    "local_factor": (float, 1.0, 100.0),
}
_UNKNOWN_SERVICE_S = 0.01  # Used until the first answer of any server.
_TIE_SHARE = 0.1  # Estimates that differ by less than this are decided at random.
_RAMP_FLOOR = 0.05  # Share of its samples that a cold server accepts at once.
_MEAN_STEP = 0.05
_UNANSWERED_TRIAL_GAP_S = 1.0  # Two outstanding calls already probe a paused server.
_IDLE_TRIAL_S = 5.0  # A node with few calls also finds a recovered server.
_IDLE_TRIAL_CALLS = 100  # With 20, a refusing server got 2% of the calls of such a node.


@registry.choosers.register("latency_aware")
class LatencyAwareChooser:
    """Chooses the lowest estimated time to answer among sampled candidates.

    A failing or overdue server is left out of the sample and gets a trial call now and then.

    Args:
        generator: random generator of the process.
        sample_size: candidates compared for each call.
        ramp_s: slow start of a new or recovered server, in seconds.
        trial_calls: calls between two trials of a neglected server.
        trial_gap_s: time without a call after which a server counts as neglected, in seconds.
        local_factor: the own server is preferred while its estimate is at most this multiple of
            the best sampled one.

    Raises:
        ChoiceParameterError: a parameter has a wrong type or lies outside its range.
    """

    def __init__(
        self,
        *,
        generator: random.Random,
        sample_size: int = 3,
        ramp_s: float = 2.0,
        trial_calls: int = 200,
        trial_gap_s: float = 0.25,
        local_factor: float = 2.0,
    ) -> None:
        _parameters.check(
            "latency_aware",
            _PARAMETERS,
            {
                "sample_size": sample_size,
                "ramp_s": ramp_s,
                "trial_calls": trial_calls,
                "trial_gap_s": trial_gap_s,
                "local_factor": local_factor,
            },
        )
        self._random = generator.random
        self._sample_size = sample_size
        self._ramp_s = ramp_s
        self._trial_calls = trial_calls
        self._trial_gap_s = trial_gap_s
        self._local_factor = local_factor
        self._states_by_name: dict[str, _server_state.ServerState] = {}
        self._states: list[_server_state.ServerState] = []
        self._local: _server_state.ServerState | None = None
        self._mean_load = 0.0
        self._mean_service_s: float | None = None
        self._calls_since_trial = 0
        self._last_trial_at = -math.inf

    def apply(self, candidates: collections.abc.Iterable[candidate.Candidate], now: float) -> None:
        """Replaces the candidates and keeps what is known of those that remain.

        Servers that join later are ramped up; those of the first set are taken to be warm.
        """
        first = not self._states_by_name
        states: dict[str, _server_state.ServerState] = {}
        for each in candidates:
            state = self._states_by_name.get(each.name)
            if state is None:
                state = _server_state.ServerState(server=each)
                if not first:
                    state.ramp(now, self._ramp_s)
            else:
                state.update(each)
            states[each.name] = state
        self._states_by_name = states
        self._states = list(states.values())
        self._local = next((each for each in self._states if each.server.local), None)

    def choose(self, now: float, excluded: collections.abc.Set[str] = frozenset()) -> str | None:
        """Returns the name of a candidate outside `excluded`, or None if there is none."""
        self._calls_since_trial += 1
        trial = self._due_trial(now, excluded)
        if trial is not None:
            return trial.name
        best, best_estimate, reserve = self._sample(now, excluded)
        if best is None:
            if not reserve:
                return None
            return min(reserve, key=lambda state: self._estimate(state, now)).name
        local = self._local
        if (
            local is not None
            and local is not best
            and local.name not in excluded
            and self._usable(local, now)
            and local.load(now, self._mean_load) + 1.0 <= local.limit
            and self._estimate(local, now) <= self._local_factor * best_estimate
        ):
            return local.name
        return best.name

    def observe_sent(self, name: str, now: float) -> None:
        """Records that a call was sent to the server."""
        state = self._states_by_name.get(name)
        if state is not None:
            state.sent(now)

    def observe_answer(
        self,
        name: str,
        now: float,
        latency_s: float,
        report: load_report.LoadReport | None,
        result: result.Result,
    ) -> None:
        """Records the end of a call, sent `latency_s` seconds before `now`."""
        state = self._states_by_name.get(name)
        if state is None:
            return
        state.ended()
        overdue = self._overdue(state, now)
        if report is not None:
            state.reported(now, report)
            self._learn_means(report)
        self._learn_result(state, now, max(0.0, latency_s), result, overdue)

    def explain(self, now: float) -> tuple[explanation.Explanation, ...]:
        """Returns one row for each candidate, in order of name."""
        return tuple(
            explanation.Explanation(
                name=name,
                state=self._describe(state, now),
                estimate_s=self._estimate(state, now),
                outstanding=state.outstanding,
                failure_score=state.failure_score(now),
                report_age_s=None if state.report_at is None else now - state.report_at,
                service_time_s=self._service_s(state),
            )
            for name, state in sorted(self._states_by_name.items())
        )

    def _sample(
        self, now: float, excluded: collections.abc.Set[str]
    ) -> tuple[_server_state.ServerState | None, float, list[_server_state.ServerState]]:
        """Returns the best sampled server, its estimate, and servers to use if there is none.

        Draws without replacement by a partial shuffle in place, and goes on past servers that are
        left out, so that the cost grows with their number only.
        """
        draw = self._random
        states = self._states
        count = len(states)
        wanted = self._sample_size
        best: _server_state.ServerState | None = None
        best_estimate = best_score = math.inf
        ramping: list[_server_state.ServerState] = []
        bad: list[_server_state.ServerState] = []
        for index in range(count):
            other = index + int(draw() * (count - index))
            state = states[other]
            states[other] = states[index]
            states[index] = state
            if excluded and state.name in excluded:
                continue
            if self._bad(state, now):
                if len(bad) < self._sample_size:
                    bad.append(state)
                continue
            if state.ramp_end > now and not self._accepts(state, now):
                if len(ramping) < self._sample_size:
                    ramping.append(state)
                continue
            estimate = self._estimate(state, now)
            score = estimate * (1.0 + _TIE_SHARE * draw())
            if score < best_score:
                best, best_estimate, best_score = state, estimate, score
            wanted -= 1
            if not wanted:
                break
        return best, best_estimate, ramping or bad

    def _due_trial(
        self, now: float, excluded: collections.abc.Set[str]
    ) -> _server_state.ServerState | None:
        """Returns the most neglected server if a trial is due."""
        calls = self._calls_since_trial
        waited = now - self._last_trial_at
        if calls < self._trial_calls and (calls < _IDLE_TRIAL_CALLS or waited < _IDLE_TRIAL_S):
            return None
        self._calls_since_trial = 0
        self._last_trial_at = now
        neglected: _server_state.ServerState | None = None
        for state in self._states:
            many = len(state.unanswered) >= 2
            gap = _UNANSWERED_TRIAL_GAP_S if many else self._trial_gap_s
            if (
                state.last_sent_at < now - gap
                and (neglected is None or state.last_sent_at < neglected.last_sent_at)
                and state.name not in excluded
            ):
                neglected = state
        return neglected

    def _learn_means(self, report: load_report.LoadReport) -> None:
        share = (report.running + report.queued) / max(1, report.limit)
        self._mean_load += _MEAN_STEP * (share - self._mean_load)
        if report.service_time_us > 0:
            service_s = report.service_time_us / 1e6
            if self._mean_service_s is None:
                self._mean_service_s = service_s
            else:
                self._mean_service_s += _MEAN_STEP * (service_s - self._mean_service_s)

    def _learn_result(
        self,
        state: _server_state.ServerState,
        now: float,
        latency_s: float,
        ended: result.Result,
        overdue: bool,
    ) -> None:
        sent_at = now - latency_s
        if ended is result.Result.ANSWERED:
            state.answered(sent_at)
            state.measured(now, latency_s)
            if state.succeeded(now) or overdue:
                # A short outage leaves a server warm; a long one may have been a restart.
                last = state.last_answered_at
                outage_s = math.inf if last is None else now - last
                state.ramp(now, min(self._ramp_s, outage_s))
            state.last_answered_at = now
        elif ended is result.Result.REFUSED:
            state.answered(sent_at)
            state.failed(now)
        else:
            state.forgotten(sent_at)
            if ended is result.Result.FAILED or overdue:
                state.failed(now)

    def _service_s(self, state: _server_state.ServerState) -> float:
        if state.service_s is not None:
            return state.service_s
        return self._mean_service_s or _UNKNOWN_SERVICE_S

    def _estimate(self, state: _server_state.ServerState, now: float) -> float:
        return state.estimate(now, self._mean_load, self._service_s(state))

    def _overdue(self, state: _server_state.ServerState, now: float) -> bool:
        if not state.unanswered:
            return False
        return state.overdue(now, state.service_s or self._mean_service_s)

    def _bad(self, state: _server_state.ServerState, now: float) -> bool:
        if state.failure_value >= _server_state.FAILING_SCORE and (
            state.failure_score(now) >= _server_state.FAILING_SCORE
        ):
            return True
        return self._overdue(state, now)

    def _accepts(self, state: _server_state.ServerState, now: float) -> bool:
        progress = (now - state.ramp_start) / (state.ramp_end - state.ramp_start)
        return self._random() < max(_RAMP_FLOOR, progress)

    def _usable(self, state: _server_state.ServerState, now: float) -> bool:
        if self._bad(state, now):
            return False
        return state.ramp_end <= now or self._accepts(state, now)

    def _describe(self, state: _server_state.ServerState, now: float) -> str:
        if state.failure_score(now) >= _server_state.FAILING_SCORE:
            return "failing"
        if self._overdue(state, now):
            return "overdue"
        if state.ramp_end > now:
            return "ramping"
        return "ok"
