"""Default chooser: lowest estimated latency."""

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

_PARAMETER_RANGES: dict[str, _parameters.Range] = {
    "sample_size": (int, 2, 16),
    "ramp_s": (float, 0.0, 600.0),
    "trial_calls": (int, 10, 100_000),
    "trial_gap_s": (float, 0.001, 60.0),
    "local_factor": (float, 1.0, 100.0),
}
_DEFAULT_SERVICE_S = 0.01  # Used until the first answer from any server.
_TIE_MARGIN_SHARE = 0.1  # Estimates that differ by less than this share are ranked at random.
_MIN_RAMP_SHARE = 0.05  # Probability that a sampled server is used when its slow start begins.
_MEAN_SAMPLE_WEIGHT = 0.05  # Weight of one sample in the means over all servers.
# Without this decay a server got only half of its share of calls 2 s after a pause.
_SERVICE_TIME_DECAY_CALLS = 300.0
_SERVICE_TIME_DECAY_S = 15.0
_UNANSWERED_TRIAL_GAP_S = 1.0  # Two unanswered calls already probe a paused server.
_LOW_RATE_TRIAL_GAP_S = 5.0  # Lets a node with few calls find a recovered server.
# With 20, a server that refuses all calls got 2% of the calls of a node with few calls.
_LOW_RATE_TRIAL_CALLS = 100


@registry.choosers.register("latency_aware")
class LatencyAwareChooser:
    """Chooses the server with the lowest estimated latency among sampled candidates.

    Unhealthy servers, those that are failing or overdue, are left out of the sample. A server
    that has not been used for some time gets a single trial call at intervals, so that a
    recovered server is found.

    Args:
        generator: random generator of the process.
        sample_size: candidates compared for each call.
        ramp_s: length of the slow start of a new or recovered server, in seconds.
        trial_calls: number of calls between two trial calls.
        trial_gap_s: time in seconds without a call after which a server may get a trial call.
        local_factor: the adjacent server is preferred while its estimate is at most this
            multiple of the best sampled one.

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
            _PARAMETER_RANGES,
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
        self._healthy_states: list[_server_state.ServerState] = []  # In random order.
        self._local: _server_state.ServerState | None = None
        self._update_healthy_at = math.inf
        self._mean_load = 0.0
        self._report_count = 0
        self._mean_service_s: float | None = None
        self._call_count = self._last_trial_call_count = 0
        self._last_trial_at = -math.inf

    def apply(self, candidates: collections.abc.Iterable[candidate.Candidate], now: float) -> None:
        """Replaces the candidates and keeps the state of those that remain.

        Servers that join later get a slow start; those of the first set are assumed to be warm.
        """
        first = not self._states_by_name
        states: dict[str, _server_state.ServerState] = {}
        for each in candidates:
            state = self._states_by_name.get(each.name)
            if state is None:
                state = _server_state.ServerState(server=each)
                if not first:
                    state.start_ramp(now, self._ramp_s)
            else:
                state.update(each)
            states[each.name] = state
        self._states_by_name = states
        self._local = next((each for each in states.values() if each.server.local), None)
        self._update_healthy(now)

    def choose(self, now: float, excluded: collections.abc.Set[str] = frozenset()) -> str | None:
        """Returns the name of a candidate outside `excluded`, or None if there is none."""
        if now >= self._update_healthy_at:
            self._update_healthy(now)
        self._call_count += 1
        trial = self._due_trial(now, excluded)
        if trial is not None:
            return trial.name
        best, best_estimate = self._sample(now, excluded)
        if best is None:
            best = self._choose_unhealthy(excluded)
            return None if best is None else best.name
        local = self._local
        if (
            local is not None
            and local is not best
            and local.name not in excluded
            and self._is_usable(local, now)
            and local.load(now, self._mean_load) + 1.0 <= local.limit
            and self._estimate(local, now) <= self._local_factor * best_estimate
        ):
            return local.name
        return best.name

    def observe_sent(self, name: str, now: float) -> None:
        """Records that a call was sent to the server."""
        state = self._states_by_name.get(name)
        if state is not None:
            state.record_sent(now)
            if len(state.unanswered_sent_at) == 1:
                self._update_overdue_at(state)

    def observe_answer(
        self,
        name: str,
        now: float,
        latency_s: float,
        report: load_report.LoadReport | None,
        result: result.Result,
    ) -> None:
        """Records the end of a call that was sent `latency_s` seconds before `now`."""
        state = self._states_by_name.get(name)
        if state is None:
            return
        state.record_end()
        was_overdue = now > state.overdue_at
        was_unhealthy = was_overdue or now < state.failing_until
        if report is not None:
            state.record_report(now, report)
            self._update_mean_load(report)
        self._record_result(state, now, max(0.0, latency_s), result, was_overdue)
        self._update_overdue_at(state)
        if was_unhealthy != self._is_unhealthy(state, now):
            self._update_healthy_at = -math.inf

    def explain(self, now: float) -> tuple[explanation.Explanation, ...]:
        """Returns the state of each candidate, sorted by name."""
        return tuple(
            explanation.Explanation(
                name=name,
                state=self._state_name(state, now),
                estimate_s=self._estimate(state, now),
                outstanding=state.outstanding,
                failure_score=state.failure_score(now),
                report_age_s=None if state.reported_at is None else now - state.reported_at,
                service_time_s=self._service_time_s(state, now),
            )
            for name, state in sorted(self._states_by_name.items())
        )

    def _sample(
        self, now: float, excluded: collections.abc.Set[str]
    ) -> tuple[_server_state.ServerState | None, float]:
        """Returns the best sampled server and its estimate, or None if none can be used.

        Draws without replacement by a partial shuffle in place. Servers that cannot be used are
        skipped and replaced by further draws, so the cost grows only with their number. Servers
        in slow start that were skipped are used if there are no others.
        """
        draw = self._random
        states = self._healthy_states
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
                self._update_healthy_at = -math.inf
                continue
            if state.ramp_end_at > now and not self._passes_ramp(state, now):
                if len(ramping) < self._sample_size:
                    ramping.append(state)
                continue
            estimate = self._estimate(state, now)
            score = estimate * (1.0 + _TIE_MARGIN_SHARE * draw())
            if score < best_score:
                best, best_estimate, best_score = state, estimate, score
            wanted -= 1
            if not wanted:
                break
        if best is None and ramping:
            best = min(ramping, key=lambda state: self._estimate(state, now))
            best_estimate = self._estimate(best, now)
        return best, best_estimate

    def _choose_unhealthy(
        self, excluded: collections.abc.Set[str]
    ) -> _server_state.ServerState | None:
        """Returns a server when all are unhealthy: of a random sample the least loaded one.

        The load is this node's own outstanding calls divided by the concurrency limit. It keeps
        calls away from servers that do not answer at all. Estimates are not used, because they
        do not tell which unhealthy server is better.
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

    def _update_healthy(self, now: float) -> None:
        """Updates the list of healthy servers, so that a choice does not check all servers."""
        states = self._states_by_name.values()
        self._healthy_states = [each for each in states if not self._is_unhealthy(each, now)]
        self._update_healthy_at = min(
            (each.failing_until for each in states if each.failing_until > now),
            default=math.inf,
        )

    def _due_trial(
        self, now: float, excluded: collections.abc.Set[str]
    ) -> _server_state.ServerState | None:
        """Returns the server that has been unused for longest if a trial call is due."""
        calls = self._call_count - self._last_trial_call_count
        waited = now - self._last_trial_at
        if calls < self._trial_calls and (
            calls < _LOW_RATE_TRIAL_CALLS or waited < _LOW_RATE_TRIAL_GAP_S
        ):
            return None
        self._last_trial_call_count = self._call_count
        self._last_trial_at = now
        longest_unused: _server_state.ServerState | None = None
        for state in self._states_by_name.values():
            many_unanswered = len(state.unanswered_sent_at) >= 2
            gap = _UNANSWERED_TRIAL_GAP_S if many_unanswered else self._trial_gap_s
            if (
                state.last_sent_at < now - gap
                and (longest_unused is None or state.last_sent_at < longest_unused.last_sent_at)
                and state.name not in excluded
            ):
                longest_unused = state
        return longest_unused

    def _update_mean_load(self, report: load_report.LoadReport) -> None:
        # The first reports have equal weights. A mean that rises slowly from 0 would make
        # servers with outdated reports look less loaded.
        self._report_count += 1
        step = max(_MEAN_SAMPLE_WEIGHT, 1.0 / self._report_count)
        share = (report.running + report.queued) / max(1, report.limit)
        self._mean_load += step * (share - self._mean_load)

    def _update_mean_service_time(self, service_s: float) -> None:
        if self._mean_service_s is None:
            self._mean_service_s = service_s
        else:
            self._mean_service_s += _MEAN_SAMPLE_WEIGHT * (service_s - self._mean_service_s)

    def _record_result(
        self,
        state: _server_state.ServerState,
        now: float,
        latency_s: float,
        ended: result.Result,
        was_overdue: bool,
    ) -> None:
        sent_at = now - latency_s
        if ended is result.Result.ANSWERED:
            state.record_answer(sent_at)
            self._update_mean_service_time(state.record_latency(now, latency_s))
            state.measured_at_call_count = self._call_count
            if state.record_success(now) or was_overdue:
                # The slow start is no longer than the outage: after a short one the server is
                # still warm, after a long one it may have been restarted.
                last = state.last_answered_at
                outage_s = math.inf if last is None else now - last
                state.start_ramp(now, min(self._ramp_s, outage_s))
            state.last_answered_at = now
        elif ended is result.Result.REFUSED:
            state.record_answer(sent_at)
            state.record_failure(now)
        else:
            state.drop_unanswered(sent_at)
            if ended is result.Result.FAILED or was_overdue:
                state.record_failure(now)

    def _service_time_s(self, state: _server_state.ServerState, now: float) -> float:
        """Returns the service time, which decays to the mean of all servers as it gets older.

        Without the decay, a server that was measured as slow by chance would get no calls that
        could correct the value. The age counts calls as well as seconds, so that it is in
        proportion to the interval of trial calls.
        """
        mean = self._mean_service_s or _DEFAULT_SERVICE_S
        if state.service_s is None:
            return mean
        age = (self._call_count - state.measured_at_call_count) / _SERVICE_TIME_DECAY_CALLS
        if state.last_answered_at is not None:
            age += (now - state.last_answered_at) / _SERVICE_TIME_DECAY_S
        return mean + (state.service_s - mean) * math.exp(-max(0.0, age))

    def _estimate(self, state: _server_state.ServerState, now: float) -> float:
        return state.estimate(now, self._mean_load, self._service_time_s(state, now))

    def _update_overdue_at(self, state: _server_state.ServerState) -> None:
        state.update_overdue_at(state.service_s or self._mean_service_s)

    def _is_unhealthy(self, state: _server_state.ServerState, now: float) -> bool:
        return now < state.failing_until or now > state.overdue_at

    def _passes_ramp(self, state: _server_state.ServerState, now: float) -> bool:
        progress = (now - state.ramp_start_at) / (state.ramp_end_at - state.ramp_start_at)
        return self._random() < max(_MIN_RAMP_SHARE, progress)

    def _is_usable(self, state: _server_state.ServerState, now: float) -> bool:
        if self._is_unhealthy(state, now):
            return False
        return state.ramp_end_at <= now or self._passes_ramp(state, now)

    def _state_name(self, state: _server_state.ServerState, now: float) -> str:
        if now < state.failing_until:
            return "failing"
        if now > state.overdue_at:
            return "overdue"
        if state.ramp_end_at > now:
            return "ramping"
        return "ok"
