"""Load, latency and failures of one backend server, as a node observes them."""

import collections
import math

from laburnumford_policy.choice import candidate, load_report

_MAX_SERVICE_TIMES = 8  # Replaced within tens of ms, yet enough samples for a quantile.
_MAX_UNANSWERED_CALLS = 64  # Bounds the memory for a paused server; only the oldest calls matter.
_MAX_RECENT_SENDS = 32  # Calls that can be in transit to a server in another zone.
# A send time computed as `now - latency_s` is rounded; calls closer than this count as one.
_SEND_TIME_TOLERANCE_S = 1e-6
# Service times older than this are dropped when one of less than half the estimate arrives.
_MAX_SLOWER_SAMPLE_AGE_S = 0.25
_REPORT_DECAY_S = 0.05  # The load of a server changes within tens of ms.
# A higher weight lets all nodes follow a fluctuating service time at once and herd.
_REPORT_WEIGHT = 0.1
_MAX_MEDIAN_MULTIPLE = 1.5  # Mean / median of usual service time distributions, with a margin.
_FAILURE_SCORE_STEP = 0.3  # Two failures in a row make a server failing for 0.3 s, three for 4 s.
_SUCCESS_SCORE_FACTOR = 0.25  # A server that fails half of its calls keeps a score near 0.3.
_FAILURE_SCORE_DECAY_S = 15.0  # Longer than the interval of trials of a node with few calls.
_FAILURE_PENALTY = 8.0  # One recent failure raises the estimate more than full slots do.
_OVERDUE_FACTOR = 3.0  # 5% of exponentially distributed service times exceed 3 times the mean.
_OVERDUE_MARGIN_S = 0.01  # Allows for scheduling delays on a busy VM.
_FAILING_SCORE_THRESHOLD = 0.5


class ServerState:
    """State of one candidate, updated from its calls and load reports.

    All times are monotonic times in seconds.

    Args:
        server: the candidate.

    Attributes:
        name: name of the server.
        server: the candidate with its published attributes.
        round_trip_s: network round trip to the server in seconds.
        outstanding: number of calls of this node that have not ended.
        sent_since_report: estimated number of outstanding calls that are not in the last report.
        in_flight: running and queued calls of the server according to the last report.
        limit: concurrency limit of the last report; the published slots before the first one.
        reported_at: time that the last report describes; None before the first one.
        reported_service_s: mean of the reported service times in seconds; None if unknown.
        service_s: estimated service time in seconds; None before the first answer.
        measured_at_call_count: number of choices of the chooser at the last answer.
        recent_service_times: time and service time in seconds of the latest answers.
        recent_sent_at: send times of the latest calls.
        unanswered_sent_at: send times of unanswered calls that were sent after all answered
            ones, oldest first; at most `_MAX_UNANSWERED_CALLS`.
        newest_answered_sent_at: latest send time of an answered call.
        last_sent_at: send time of the last call.
        last_answered_at: time of the last answer; None before the first one.
        overdue_at: time from which the oldest unanswered call is overdue.
        failure_score_value: failure score at `failure_score_at`.
        failure_score_at: time of the last change of the failure score.
        failing_until: time until which the server counts as failing.
        ramp_start_at: start of the last slow start.
        ramp_end_at: end of the last slow start.
    """

    __slots__ = (
        "failing_until",
        "failure_score_at",
        "failure_score_value",
        "in_flight",
        "last_answered_at",
        "last_sent_at",
        "limit",
        "measured_at_call_count",
        "name",
        "newest_answered_sent_at",
        "outstanding",
        "overdue_at",
        "ramp_end_at",
        "ramp_start_at",
        "recent_sent_at",
        "recent_service_times",
        "reported_at",
        "reported_service_s",
        "round_trip_s",
        "sent_since_report",
        "server",
        "service_s",
        "unanswered_sent_at",
    )

    def __init__(self, *, server: candidate.Candidate) -> None:
        self.name = server.name
        self.ramp_start_at = self.ramp_end_at = -math.inf
        self.outstanding = 0
        self.sent_since_report = 0
        self.in_flight = 0
        self.reported_at: float | None = None
        self.reported_service_s: float | None = None
        self.service_s: float | None = None
        self.limit = float(max(1, server.slots))
        self.failure_score_value = 0.0
        self.failure_score_at = self.failing_until = -math.inf
        self.last_sent_at = -math.inf
        self.overdue_at = math.inf
        self.measured_at_call_count = 0
        self.last_answered_at: float | None = None
        self.newest_answered_sent_at = -math.inf
        self.recent_service_times: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_MAX_SERVICE_TIMES
        )
        self.recent_sent_at: collections.deque[float] = collections.deque(maxlen=_MAX_RECENT_SENDS)
        self.unanswered_sent_at: collections.deque[float] = collections.deque()
        self.update(server)

    def update(self, server: candidate.Candidate) -> None:
        """Applies the published attributes of the server."""
        self.server = server
        self.round_trip_s = 2.0 * server.one_way_delay_ms / 1000.0
        if self.reported_at is None:
            self.limit = float(max(1, server.slots))

    def failure_score(self, now: float) -> float:
        """Returns the failure score at `now`, from 0 to 1, after its exponential decay."""
        if self.failure_score_value <= 0.0:
            return 0.0
        return self.failure_score_value * math.exp(
            min(0.0, self.failure_score_at - now) / _FAILURE_SCORE_DECAY_S
        )

    def update_overdue_at(self, service_s: float | None) -> None:
        """Updates the time from which the oldest unanswered call is overdue.

        It is called after each change of the unanswered calls and not in each choice, because
        a choice may check the result for every server.

        Args:
            service_s: expected service time of this server in seconds; None if unknown.
        """
        if not self.unanswered_sent_at or service_s is None:
            self.overdue_at = math.inf
            return
        queue_factor = max(1.0, self.in_flight / self.limit)
        expected = self.round_trip_s + service_s * queue_factor * _OVERDUE_FACTOR
        self.overdue_at = self.unanswered_sent_at[0] + expected + _OVERDUE_MARGIN_S

    def load(self, now: float, mean_load: float) -> float:
        """Returns the estimated calls in flight at the server.

        A report loses weight with its age, and the mean load of the servers takes its place, so
        that an outdated report of an empty queue does not attract load.

        Args:
            now: monotonic time in seconds.
            mean_load: mean over the servers of the calls in flight per slot.
        """
        expected_load = mean_load * self.limit
        if self.reported_at is not None:
            weight = math.exp(min(0.0, self.reported_at - now) / _REPORT_DECAY_S)
            expected_load += weight * (self.in_flight - expected_load)
        return max(expected_load + self.sent_since_report, float(self.outstanding))

    def estimate(self, now: float, mean_load: float, service_s: float) -> float:
        """Returns the estimated latency of a new call in seconds, with the failure penalty."""
        load = self.load(now, mean_load)
        latency_s = self.round_trip_s + service_s * (1.0 + load / self.limit)
        if self.unanswered_sent_at:
            waited_s = now - self.unanswered_sent_at[0]
            if waited_s > latency_s:
                latency_s += 2.0 * (waited_s - latency_s)
        if self.failure_score_value > 0.0:
            latency_s *= 1.0 + _FAILURE_PENALTY * self.failure_score(now)
        return latency_s

    def start_ramp(self, now: float, length_s: float) -> None:
        """Starts a slow start of `length_s` seconds, unless one that ends later is in progress."""
        end = now + length_s
        if end > max(now, self.ramp_end_at):
            self.ramp_start_at = now
            self.ramp_end_at = end

    def record_sent(self, now: float) -> None:
        """Records that a call was sent."""
        self.outstanding += 1
        self.sent_since_report += 1
        self.last_sent_at = now
        self.recent_sent_at.append(now)
        if len(self.unanswered_sent_at) < _MAX_UNANSWERED_CALLS:
            self.unanswered_sent_at.append(now)

    def record_end(self) -> None:
        """Records that a call has ended, with or without an answer."""
        self.outstanding = max(0, self.outstanding - 1)
        self.sent_since_report = max(0, self.sent_since_report - 1)

    def record_answer(self, sent_at: float) -> None:
        """Removes calls sent no later than an answered one from the unanswered ones.

        A call that was overtaken by a later one is a long call and does not show that the
        server is paused.
        """
        self.newest_answered_sent_at = max(self.newest_answered_sent_at, sent_at)
        answered_until = self.newest_answered_sent_at + _SEND_TIME_TOLERANCE_S
        while self.unanswered_sent_at and self.unanswered_sent_at[0] <= answered_until:
            self.unanswered_sent_at.popleft()

    def drop_unanswered(self, sent_at: float) -> None:
        """Removes a call that ended without an answer from the unanswered ones."""
        for index, each in enumerate(self.unanswered_sent_at):
            if abs(each - sent_at) <= _SEND_TIME_TOLERANCE_S:
                del self.unanswered_sent_at[index]
                return

    def record_report(self, now: float, report: load_report.LoadReport) -> None:
        """Applies a load report that arrived at `now`."""
        self.reported_at = now - self.round_trip_s / 2.0
        self.in_flight = report.running + report.queued
        self.limit = float(max(1, report.limit))
        if report.service_time_us > 0:
            service_s = report.service_time_us / 1e6
            known = self.reported_service_s
            if known is None:
                self.reported_service_s = service_s
            else:
                self.reported_service_s = known + _REPORT_WEIGHT * (service_s - known)
        # Calls sent within the last round trip cannot be part of the report.
        since = now - self.round_trip_s
        count = 0
        for sent_at in reversed(self.recent_sent_at):
            if sent_at <= since:
                break
            count += 1
        self.sent_since_report = min(count, self.outstanding)

    def record_latency(self, now: float, latency_s: float) -> float:
        """Records the latency of an answered call, less its network and queueing time.

        Returns:
            The new estimate of the service time in seconds.
        """
        queue_factor = max(1.0, self.in_flight / self.limit)
        service_time_s = max(0.0, latency_s - self.round_trip_s) / queue_factor
        recent_service_times = self.recent_service_times
        if recent_service_times and service_time_s < 0.5 * (self.service_s or 0.0):
            while (
                recent_service_times
                and recent_service_times[0][0] < now - _MAX_SLOWER_SAMPLE_AGE_S
            ):
                recent_service_times.popleft()
        recent_service_times.append((now, service_time_s))
        self.service_s = self._estimate_service_time()
        return self.service_s

    def record_failure(self, now: float) -> None:
        """Raises the failure score after a failed call."""
        score = self.failure_score(now)
        self.failure_score_value = score + (1.0 - score) * _FAILURE_SCORE_STEP
        self.failure_score_at = now
        # Stored as a time because a choice may check it for every failing server.
        above = math.log(self.failure_score_value / _FAILING_SCORE_THRESHOLD)
        self.failing_until = now + _FAILURE_SCORE_DECAY_S * above

    def record_success(self, now: float) -> bool:
        """Lowers the failure score and returns whether the server was failing."""
        if self.failure_score_value <= 0.0:
            return False
        score = self.failure_score(now)
        failing = now < self.failing_until
        # A recovered server gets a slow start, so it needs no penalty in addition.
        self.failing_until = -math.inf
        self.failure_score_value = (
            0.0 if failing or score < 0.01 else score * _SUCCESS_SCORE_FACTOR
        )
        self.failure_score_at = now
        return failing

    def _estimate_service_time(self) -> float:
        """Returns the reported service time, bounded by the observed service times.

        The lower bound is the second lowest of the recent ones, the upper bound a multiple of
        their median. A minority of long calls changes neither bound much.
        """
        service_times_s = sorted(
            [service_time_s for _, service_time_s in self.recent_service_times]
        )
        low = service_times_s[min(1, len(service_times_s) - 1)]
        high = max(low, _MAX_MEDIAN_MULTIPLE * service_times_s[len(service_times_s) // 2])
        if self.reported_service_s is None:
            return service_times_s[len(service_times_s) // 2]
        return min(max(self.reported_service_s, low), high)
