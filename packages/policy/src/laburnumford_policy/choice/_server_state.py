"""What a node has learned about one backend server."""

import collections
import math

from laburnumford_policy.choice import candidate, load_report

_LATENCIES = 8  # Short enough to turn over within tens of ms, long enough for a quantile.
_UNANSWERED = 64  # Only the oldest entries matter; bounds the state of a paused server.
_RECENT_SENT = 32  # Calls that can be on the way to a server in another zone.
_SAME_CALL_S = 1e-6  # Rounding of now - latency; calls closer than this count as one.
_GOOD_NEWS_AGE_S = 0.25  # Older latencies than this are dropped when a lower one arrives.
_REPORT_AGE_S = 0.05  # Load shifts within tens of ms, so a report loses weight as fast.
_REPORT_STEP = 0.1  # Nodes that follow a fluctuating report at once all move together.
_MEDIAN_FACTOR = 1.5  # Mean over median of common service times, with a margin.
_FAILURE_STEP = 0.3  # Two failures in a row count as failing for 0.3 s, three for 4 s.
_SUCCESS_FACTOR = 0.25  # A server that fails half of its calls keeps a score near 0.3.
_FAILURE_DECAY_S = 15.0  # Longer than the gap between trials of a node with few calls.
_FAILURE_WEIGHT = 8.0  # One failure outweighs a full server.
_OVERDUE_FACTOR = 3.0  # Exceeded by 5% of exponential service times.
_OVERDUE_FLOOR_S = 0.01  # Scheduling noise of a busy VM.
_FAILING_SCORE = 0.5


class ServerState:
    """Learned state of one candidate.

    Args:
        server: the candidate.
    """

    __slots__ = (
        "distance_s",
        "failing_until",
        "failure_at",
        "failure_value",
        "in_flight",
        "last_answered_at",
        "last_sent_at",
        "latencies",
        "limit",
        "measured_at_call",
        "name",
        "newest_answered_sent",
        "outstanding",
        "overdue_at",
        "ramp_end",
        "ramp_start",
        "recent_sent",
        "report_at",
        "reported_service_s",
        "sent_since",
        "server",
        "service_s",
        "unanswered",
    )

    def __init__(self, *, server: candidate.Candidate) -> None:
        self.name = server.name
        self.ramp_start = self.ramp_end = -math.inf
        self.outstanding = 0
        self.sent_since = 0
        self.in_flight = 0
        self.report_at: float | None = None
        self.reported_service_s: float | None = None
        self.service_s: float | None = None
        self.limit = float(max(1, server.slots))
        self.failure_value = 0.0
        self.failure_at = self.failing_until = -math.inf
        self.last_sent_at = -math.inf
        self.overdue_at = math.inf
        self.measured_at_call = 0
        self.last_answered_at: float | None = None
        self.newest_answered_sent = -math.inf
        self.latencies: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=_LATENCIES
        )
        self.recent_sent: collections.deque[float] = collections.deque(maxlen=_RECENT_SENT)
        self.unanswered: collections.deque[float] = collections.deque()
        self.update(server)

    def update(self, server: candidate.Candidate) -> None:
        """Takes over the published attributes of the server."""
        self.server = server
        self.distance_s = 2.0 * server.distance_ms / 1000.0
        if self.report_at is None:
            self.limit = float(max(1, server.slots))

    def failure_score(self, now: float) -> float:
        """Returns the decayed failure score, 0 to 1."""
        if self.failure_value <= 0.0:
            return 0.0
        return self.failure_value * math.exp(min(0.0, self.failure_at - now) / _FAILURE_DECAY_S)

    def expect(self, service_s: float | None) -> None:
        """Sets the time at which the outstanding calls are overdue.

        Called after each change of the unanswered calls, because a choice may look at the result
        for every server.

        Args:
            service_s: service time to assume for this server, in seconds; None if unknown.
        """
        if not self.unanswered or service_s is None:
            self.overdue_at = math.inf
            return
        queue_factor = max(1.0, self.in_flight / self.limit)
        expected = self.distance_s + service_s * queue_factor * _OVERDUE_FACTOR
        self.overdue_at = self.unanswered[0] + expected + _OVERDUE_FLOOR_S

    def load(self, now: float, mean_load: float) -> float:
        """Returns the estimated calls in flight at the server.

        The report loses weight with its age in favour of the mean over the servers, so that an
        old report of an empty queue does not attract load.
        """
        usual = mean_load * self.limit
        if self.report_at is not None:
            weight = math.exp(min(0.0, self.report_at - now) / _REPORT_AGE_S)
            usual += weight * (self.in_flight - usual)
        return max(usual + self.sent_since, float(self.outstanding))

    def estimate(self, now: float, mean_load: float, service_s: float) -> float:
        """Returns the estimated time to answer in seconds, including the failure penalty."""
        load = self.load(now, mean_load)
        time_s = self.distance_s + service_s * (1.0 + load / self.limit)
        if self.unanswered:
            waited = now - self.unanswered[0]
            if waited > time_s:
                time_s += 2.0 * (waited - time_s)
        if self.failure_value > 0.0:
            time_s *= 1.0 + _FAILURE_WEIGHT * self.failure_score(now)
        return time_s

    def ramp(self, now: float, length_s: float) -> None:
        """Begins a slow start, unless a longer one is in progress."""
        end = now + length_s
        if end > max(now, self.ramp_end):
            self.ramp_start = now
            self.ramp_end = end

    def sent(self, now: float) -> None:
        """Records a call that was sent."""
        self.outstanding += 1
        self.sent_since += 1
        self.last_sent_at = now
        self.recent_sent.append(now)
        if len(self.unanswered) < _UNANSWERED:
            self.unanswered.append(now)

    def ended(self) -> None:
        """Records that a call is not outstanding any more."""
        self.outstanding = max(0, self.outstanding - 1)
        self.sent_since = max(0, self.sent_since - 1)

    def answered(self, sent_at: float) -> None:
        """Drops calls sent before an answered one from the evidence of a pause.

        A call that others have overtaken is a long call, not a sign of a paused server.
        """
        self.newest_answered_sent = max(self.newest_answered_sent, sent_at)
        limit = self.newest_answered_sent + _SAME_CALL_S
        while self.unanswered and self.unanswered[0] <= limit:
            self.unanswered.popleft()

    def forgotten(self, sent_at: float) -> None:
        """Drops one call that ended without an answer from the evidence of a pause."""
        for index, each in enumerate(self.unanswered):
            if abs(each - sent_at) <= _SAME_CALL_S:
                del self.unanswered[index]
                return

    def reported(self, now: float, report: load_report.LoadReport) -> None:
        """Takes over a load report that arrived at `now`."""
        self.report_at = now - self.distance_s / 2.0
        self.in_flight = report.running + report.queued
        self.limit = float(max(1, report.limit))
        if report.service_time_us > 0:
            service_s = report.service_time_us / 1e6
            known = self.reported_service_s
            if known is None:
                self.reported_service_s = service_s
            else:
                self.reported_service_s = known + _REPORT_STEP * (service_s - known)
        # Calls sent within one round trip cannot be part of the report.
        since = now - self.distance_s
        count = 0
        for sent_at in reversed(self.recent_sent):
            if sent_at <= since:
                break
            count += 1
        self.sent_since = min(count, self.outstanding)

    def measured(self, now: float, latency_s: float) -> float:
        """Takes over the latency of an answered call, without network and queue.

        Returns:
            The new estimate of the service time in seconds.
        """
        queue_factor = max(1.0, self.in_flight / self.limit)
        value = max(0.0, latency_s - self.distance_s) / queue_factor
        latencies = self.latencies
        if latencies and value < 0.5 * (self.service_s or 0.0):
            while latencies and latencies[0][0] < now - _GOOD_NEWS_AGE_S:
                latencies.popleft()
        latencies.append((now, value))
        self.service_s = self._estimate_service()
        return self.service_s

    def failed(self, now: float) -> None:
        """Raises the failure score."""
        score = self.failure_score(now)
        self.failure_value = score + (1.0 - score) * _FAILURE_STEP
        self.failure_at = now
        # Kept as a time because a choice may look at every server that fails.
        above = math.log(self.failure_value / _FAILING_SCORE)
        self.failing_until = now + _FAILURE_DECAY_S * above

    def succeeded(self, now: float) -> bool:
        """Lowers the failure score and returns whether the server was failing."""
        if self.failure_value <= 0.0:
            return False
        score = self.failure_score(now)
        failing = now < self.failing_until
        # A server that recovers is ramped up, so it needs no further penalty.
        self.failing_until = -math.inf
        self.failure_value = 0.0 if failing or score < 0.01 else score * _SUCCESS_FACTOR
        self.failure_at = now
        return failing

    def _estimate_service(self) -> float:
        """Corrects the reported service time by what calls show.

        The second lowest of the recent latencies bounds it from below, a multiple of their
        median from above. Both ignore a minority of large calls.
        """
        values = sorted([value for _, value in self.latencies])
        low = values[min(1, len(values) - 1)]
        high = max(low, _MEDIAN_FACTOR * values[len(values) // 2])
        if self.reported_service_s is None:
            return values[len(values) // 2]
        return min(max(self.reported_service_s, low), high)
