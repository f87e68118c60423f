"""Admission of requests to the backend server beside the node."""

from laburnumford_policy.admission import (
    _service_times,
    _waiting,
    changes,
    entry,
    limiter,
    outcome,
    parameters,
    verdict,
)
from laburnumford_policy.choice import load_report
from laburnumford_policy.choice import result as results

# Entries that start with just the mean service time left are late half of the time. In the
# model with a server slowed tenfold, 1.0 gave 73 late answers, 1.5 gave 32. Higher values
# refuse calls with short deadlines that could be answered.
_SERVICE_TIME_MARGIN = 1.5

# A request that waited longer says little about its own server. The rest of its time, the
# difference of two times of a few ms, is too noisy to be used instead.
_WAITED_SHARE = 0.2


class Admission:
    """Decides which requests run, wait or are refused at one backend server.

    Holds no timers: the caller passes the time and carries out the changes. A request
    that has got `RUN`, or whose id was in `Changes.started`, holds a slot until
    `release` is called for it.

    Args:
        slots: requests that the server runs at once.
        limiter_name: limiter in `limiter.limiters`.
        queue_limit: entries that may wait, over all priorities.
        ageing_s: seconds of waiting that make up for one rank of priority.
        newest_first: whether the newest entry of a priority is served first.
        service_time_s: estimate of the service time before the first observation.

    Raises:
        ParameterError: a parameter lies outside its range.
        RegistryError: the limiter is unknown.
    """

    _TABLE = {
        "slots": parameters.Range(lowest=1, whole=True),
        "queue_limit": parameters.Range(lowest=0, whole=True),
        "ageing_s": parameters.Range(lowest=0.0),
        "service_time_s": parameters.Range(lowest=0.0),
    }

    def __init__(
        self,
        *,
        slots: int,
        limiter_name: str = "gradient",
        queue_limit: int = 48,
        ageing_s: float = 0.5,
        newest_first: bool = False,
        service_time_s: float = 0.0,
    ) -> None:
        parameters.check(
            "admission",
            self._TABLE,
            {
                "slots": slots,
                "queue_limit": queue_limit,
                "ageing_s": ageing_s,
                "service_time_s": service_time_s,
            },
        )
        self._limiter = limiter.limiters.create(limiter_name, slots=slots)
        self._queue_limit = queue_limit
        self._waiting = _waiting.Waiting(ageing_s=ageing_s, newest_first=newest_first)
        self._running = 0
        self._service_times = _service_times.ServiceTimes(initial_s=service_time_s)
        self._last_start = 0.0
        self._draining = False

    def admit(self, entry: entry.Entry, now: float) -> verdict.Verdict:
        """Decides about a new request.

        Entries that are shed to make room for it are listed in the verdict.
        """
        if self._draining:
            return self._refused("draining")
        if entry.deadline <= now:
            return self._refused("deadline")
        if self._running < self._limiter.limit:
            if not self._can_finish(entry, now):
                return self._refused("deadline")
            self._start(now)
            return verdict.Verdict(outcome=outcome.Outcome.RUN)
        stalled_s = self._stalled(now)
        mean_s = max(self._service_times.mean_s, stalled_s)
        own_s = max(self._service_times.expected(entry.priority), stalled_s)
        position = self._waiting.ahead(entry, now) + 1
        wait_s = position * mean_s / self._limiter.limit
        if now + wait_s + _SERVICE_TIME_MARGIN * own_s > entry.deadline:
            return self._refused("deadline")
        shed: tuple[int, ...] = ()
        if len(self._waiting) >= self._queue_limit:
            pushed_out = self._waiting.shed_below(entry.priority)
            if pushed_out is None:
                return self._refused("overloaded")
            shed = (pushed_out.entry_id,)
        self._waiting.push(entry, now)
        return verdict.Verdict(outcome=outcome.Outcome.QUEUED, shed=shed)

    def release(
        self,
        now: float,
        service_time_s: float,
        result: results.Result,
        *,
        priority: str = "",
        waited_s: float = 0.0,
    ) -> changes.Changes:
        """Frees the slot of a request that has ended and starts waiting entries.

        Args:
            now: monotonic time in seconds.
            service_time_s: seconds from the start of the request to its end.
            result: how it ended. One that was not answered counts towards the service
                time only if it took longer than expected: a server that fails fast does
                not look fast, and one whose requests all end at their deadline looks slow.
            priority: priority of the request, if known. Service times are kept by
                priority, as an upload takes longer than a lookup.
            waited_s: part of the service time in which the server waited for calls that it
                made. If it is a large part, the limiter does not see the request: fewer slots
                do not shorten this wait, and lengthen it if the calls come back to this server.
        """
        self._running = max(0, self._running - 1)
        answered = result is results.Result.ANSWERED
        if answered or service_time_s > self._service_times.expected(priority):
            self._service_times.observe(service_time_s, priority)
            if waited_s <= _WAITED_SHARE * service_time_s:
                self._limiter.observe(now, service_time_s, False, priority)
        if result is results.Result.FAILED:
            self._limiter.observe(now, service_time_s, True, priority)
        return self._dispatch(now)

    def expire(self, now: float) -> changes.Changes:
        """Drops waiting entries that can no longer finish before their deadline."""
        dropped = self._waiting.remove_if(lambda waiting: not self._can_finish(waiting, now))
        started = self._dispatch(now)
        return changes.Changes(started=started.started, dropped=dropped + started.dropped)

    def cancel(self, entry_id: int, now: float) -> bool:  # noqa: ARG002 - same form as the others
        """Removes a waiting entry.

        Returns:
            Whether the entry was waiting. If not, and the request runs, the caller ends
            it and calls `release` with `CANCELLED`.
        """
        return bool(self._waiting.remove_if(lambda waiting: waiting.entry_id == entry_id))

    def apply(self, slots: int, now: float, *, queue_limit: int | None = None) -> changes.Changes:
        """Takes over changed limits and starts waiting entries if there are more slots.

        Running requests go on and keep being counted, so that fewer slots are in force as
        soon as enough of them have ended. Waiting entries above a lower limit stay.

        Args:
            slots: requests that the server runs at once.
            now: monotonic time in seconds.
            queue_limit: entries that may wait; None leaves the limit as it is.

        Raises:
            ParameterError: a limit lies outside its range.
        """
        limit = self._queue_limit if queue_limit is None else queue_limit
        parameters.check(
            "admission",
            {name: self._TABLE[name] for name in ("slots", "queue_limit")},
            {"slots": slots, "queue_limit": limit},
        )
        self._queue_limit = limit
        self._limiter.apply(slots)
        return self._dispatch(now)

    def drain(self) -> None:
        """Refuses new requests from now on; waiting and running ones go on."""
        self._draining = True

    @property
    def idle(self) -> bool:
        """Whether nothing runs or waits."""
        return self._running == 0 and len(self._waiting) == 0

    def report(self) -> load_report.LoadReport:
        """Returns the current load of the server."""
        return load_report.LoadReport(
            running=self._running,
            queued=len(self._waiting),
            limit=self._limiter.limit,
            service_time_us=round(self._service_times.mean_s * 1e6),
        )

    @staticmethod
    def _refused(reason: str) -> verdict.Verdict:
        return verdict.Verdict(outcome=outcome.Outcome.REFUSED, reason=reason)

    def _stalled(self, now: float) -> float:
        """Returns a lower bound of the service time in seconds.

        Every running request is at least as old as the last start. This detects a server
        that ends nothing.
        """
        return now - self._last_start if self._running else 0.0

    def _can_finish(self, entry: entry.Entry, now: float) -> bool:
        if entry.deadline <= now:
            return False
        # An idle server takes any request: its estimate is old, and only a run renews it.
        needed_s = _SERVICE_TIME_MARGIN * self._service_times.expected(entry.priority)
        return self._running == 0 or now + needed_s <= entry.deadline

    def _start(self, now: float) -> None:
        self._running += 1
        self._last_start = now

    def _dispatch(self, now: float) -> changes.Changes:
        started: list[int] = []
        dropped: list[int] = []
        while self._running < self._limiter.limit:
            waiting = self._waiting.pop()
            if waiting is None:
                break
            if self._can_finish(waiting, now):
                self._start(now)
                started.append(waiting.entry_id)
            else:
                dropped.append(waiting.entry_id)
        return changes.Changes(started=tuple(started), dropped=tuple(dropped))
