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
_SERVICE_AGE_CALLS = 300.0  # Without it, a server had half its share 2 s after a pause.
_SERVICE_AGE_S = 15.0
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
        self._states: list[_server_state.ServerState] = []  # Shuffled, without bad ones.
        self._local: _server_state.ServerState | None = None
        self._sort_at = math.inf
        self._mean_load = 0.0
        self._reports = 0
        self._mean_service_s: float | None = None
        self._calls = self._last_trial_call = 0
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
        self._local = next((each for each in states.values() if each.server.local), None)
        self._sort(now)

    def choose(self, now: float, excluded: collections.abc.Set[str] = frozenset()) -> str | None:
        """Returns the name of a candidate outside `excluded`, or None if there is none."""
        if now >= self._sort_at:
            self._sort(now)
        self._calls += 1
        trial = self._due_trial(now, excluded)
        if trial is not None:
            return trial.name
        best, best_estimate = self._sample(now, excluded)
        if best is None:
            best = self._least_bad(excluded)
            return None if best is None else best.name
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
            if len(state.unanswered) == 1:
                self._expect(state)

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
        overdue = now > state.overdue_at
        bad = overdue or now < state.failing_until
        if report is not None:
            state.reported(now, report)
            self._learn_load(report)
        self._learn_result(state, now, max(0.0, latency_s), result, overdue)
        self._expect(state)
        if bad != self._bad(state, now):
            self._sort_at = -math.inf

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
                service_time_s=self._service_s(state, now),
            )
            for name, state in sorted(self._states_by_name.items())
        )

    def _sample(
        self, now: float, excluded: collections.abc.Set[str]
    ) -> tuple[_server_state.ServerState | None, float]:
        """Returns the best sampled server and its estimate, or None if all are bad.

        Draws without replacement by a partial shuffle in place, and goes on past servers that are
        left out, so that the cost grows with their number only. Servers in slow start are used if
        there are no others.
        """
        draw = self._random
        states = self._states
        count = len(states)
        wanted = self._sample_size
        best: _server_state.ServerState | None = None
        best_estimate = best_score = math.inf
        ramping: list[_server_state.ServerState] = []
        for index in range(count):
            other = index + int(draw() * (count - index))
            state = states[other]
            states[other] = states[index]
            states[index] = state
            if excluded and state.name in excluded:
                continue
            if now > state.overdue_at:
                self._sort_at = -math.inf
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
        if best is None and ramping:
            best = min(ramping, key=lambda state: self._estimate(state, now))
            best_estimate = self._estimate(best, now)
        return best, best_estimate

    def _least_bad(self, excluded: collections.abc.Set[str]) -> _server_state.ServerState | None:
        """Returns one of the bad servers; what is known of them is no reason to prefer one.

        Own outstanding calls keep the load away from those that do not answer at all.
        """
        allowed = list(self._states_by_name.values())
        if excluded:
            allowed = [each for each in allowed if each.name not in excluded]
        if not allowed:
            return None
        best = allowed[int(self._random() * len(allowed))]
        for _ in range(self._sample_size - 1):
            other = allowed[int(self._random() * len(allowed))]
            if other.outstanding * best.limit < best.outstanding * other.limit:
                best = other
        return best

    def _sort(self, now: float) -> None:
        """Sets bad servers aside, so that a choice does not look at each of them."""
        states = self._states_by_name.values()
        self._states = [each for each in states if not self._bad(each, now)]
        self._sort_at = min(
            (each.failing_until for each in states if each.failing_until > now),
            default=math.inf,
        )

    def _due_trial(
        self, now: float, excluded: collections.abc.Set[str]
    ) -> _server_state.ServerState | None:
        """Returns the most neglected server if a trial is due."""
        calls = self._calls - self._last_trial_call
        waited = now - self._last_trial_at
        if calls < self._trial_calls and (calls < _IDLE_TRIAL_CALLS or waited < _IDLE_TRIAL_S):
            return None
        self._last_trial_call = self._calls
        self._last_trial_at = now
        neglected: _server_state.ServerState | None = None
        for state in self._states_by_name.values():
            many = len(state.unanswered) >= 2
            gap = _UNANSWERED_TRIAL_GAP_S if many else self._trial_gap_s
            if (
                state.last_sent_at < now - gap
                and (neglected is None or state.last_sent_at < neglected.last_sent_at)
                and state.name not in excluded
            ):
                neglected = state
        return neglected

    def _learn_load(self, report: load_report.LoadReport) -> None:
        # The first reports count equally; a mean that rises from 0 would favour old reports.
        self._reports += 1
        step = max(_MEAN_STEP, 1.0 / self._reports)
        share = (report.running + report.queued) / max(1, report.limit)
        self._mean_load += step * (share - self._mean_load)

    def _learn_service(self, service_s: float) -> None:
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
            self._learn_service(state.measured(now, latency_s))
            state.measured_at_call = self._calls
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

    def _service_s(self, state: _server_state.ServerState, now: float) -> float:
        """Returns the service time, drawn towards the mean of the servers as it gets old.

        Otherwise a server that looks slower by chance gets no calls that could correct this. The
        age counts calls as well as time, so that it is in proportion to the trials.
        """
        mean = self._mean_service_s or _UNKNOWN_SERVICE_S
        if state.service_s is None:
            return mean
        age = (self._calls - state.measured_at_call) / _SERVICE_AGE_CALLS
        if state.last_answered_at is not None:
            age += (now - state.last_answered_at) / _SERVICE_AGE_S
        return mean + (state.service_s - mean) * math.exp(-max(0.0, age))

    def _estimate(self, state: _server_state.ServerState, now: float) -> float:
        return state.estimate(now, self._mean_load, self._service_s(state, now))

    def _expect(self, state: _server_state.ServerState) -> None:
        state.expect(state.service_s or self._mean_service_s)

    def _bad(self, state: _server_state.ServerState, now: float) -> bool:
        return now < state.failing_until or now > state.overdue_at

    def _accepts(self, state: _server_state.ServerState, now: float) -> bool:
        progress = (now - state.ramp_start) / (state.ramp_end - state.ramp_start)
        return self._random() < max(_RAMP_FLOOR, progress)

    def _usable(self, state: _server_state.ServerState, now: float) -> bool:
        if self._bad(state, now):
            return False
        return state.ramp_end <= now or self._accepts(state, now)

    def _describe(self, state: _server_state.ServerState, now: float) -> str:
        if now < state.failing_until:
            return "failing"
        if now > state.overdue_at:
            return "overdue"
        if state.ramp_end > now:
            return "ramping"
        return "ok"
