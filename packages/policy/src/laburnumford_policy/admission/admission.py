"""Admission of requests to the backend server adjacent to the node."""

from laburnumford_policy.admission import (
    _service_times,
    _wait_queue,
    changes,
    decision,
    entry,
    limiter,
    outcome,
    parameters,
)
from laburnumford_policy.choice import load_report
from laburnumford_policy.choice import result as results

# Multiple of the expected service time that must remain until the deadline. At 1.0 about
# half of the requests that start with just that time miss their deadline. In the model of a
# server slowed tenfold, 1.0 gave 73 late answers and 1.5 gave 32. Higher values refuse calls
# with short deadlines that could be answered.
_SERVICE_TIME_MARGIN = 1.5

# The service time of a request that waited longer for nested calls says little about its own
# server. The remainder without the wait is not used instead: as the difference of two times
# of a few ms it is too noisy.
_MAX_NESTED_WAIT_SHARE = 0.2


class Admission:
    """Decides which requests run, wait or are refused at one backend server.

    It has no timers: the caller passes the current time and carries out the returned
    changes. A request that was admitted with `RUN`, or whose id was in
    `QueueChanges.started`, holds a slot until `release` is called for it.

    Args:
        slots: requests that the server runs at once.
        limiter_name: name of a limiter in `limiter.limiters`.
        queue_limit: entries that may wait, over all priorities.
        ageing_s: seconds of waiting that raise an entry by one rank of priority.
        newest_first: whether the newest entry of a priority is served first.
        service_time_s: service time in seconds assumed before the first observation; 0 if
            unknown.

    Raises:
        ParameterError: a parameter lies outside its range.
        RegistryError: the limiter is unknown.
    """

    _PARAMETER_RANGES = {
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
            self._PARAMETER_RANGES,
            {
                "slots": slots,
                "queue_limit": queue_limit,
                "ageing_s": ageing_s,
                "service_time_s": service_time_s,
            },
        )
        self._limiter = limiter.limiters.create(limiter_name, slots=slots)
        self._queue_limit = queue_limit
        self._wait_queue = _wait_queue.WaitQueue(ageing_s=ageing_s, newest_first=newest_first)
        self._running = 0
        self._service_times = _service_times.ServiceTimes(initial_s=service_time_s)
        self._last_start_at = 0.0
        self._draining = False

    def admit(self, entry: entry.Entry, now: float) -> decision.Decision:
        """Decides whether a new request runs, waits or is refused.

        Args:
            entry: the request.
            now: monotonic time in seconds.

        Returns:
            The decision, with the ids of the queued entries that were shed to make room.
        """
        if self._draining:
            return self._refused("draining")
        if entry.deadline <= now:
            return self._refused("deadline")
        if self._running < self._limiter.limit:
            if not self._can_meet_deadline(entry, now):
                return self._refused("deadline")
            self._start(now)
            return decision.Decision(outcome=outcome.Outcome.RUN)
        since_last_start_s = self._time_since_last_start(now)
        mean_s = max(self._service_times.mean_s, since_last_start_s)
        expected_s = max(self._service_times.expected(entry.priority), since_last_start_s)
        position = self._wait_queue.count_ahead(entry, now) + 1
        wait_s = position * mean_s / self._limiter.limit
        if now + wait_s + _SERVICE_TIME_MARGIN * expected_s > entry.deadline:
            return self._refused("deadline")
        shed: tuple[int, ...] = ()
        if len(self._wait_queue) >= self._queue_limit:
            shed_entry = self._wait_queue.shed_below(entry.priority)
            if shed_entry is None:
                return self._refused("overloaded")
            shed = (shed_entry.entry_id,)
        self._wait_queue.push(entry, now)
        return decision.Decision(outcome=outcome.Outcome.QUEUED, shed=shed)

    def release(
        self,
        now: float,
        service_time_s: float,
        result: results.Result,
        *,
        priority: str = "",
        nested_wait_s: float = 0.0,
    ) -> changes.QueueChanges:
        """Frees the slot of a request that has ended and starts waiting entries.

        Args:
            now: monotonic time in seconds.
            service_time_s: seconds from the start of the request to its end.
            result: how it ended. The time of a request that was not answered counts as
                service time only if it is longer than expected. Fast failures thus do not
                lower the service time, and a server whose requests all end at their
                deadline gets a higher one.
            priority: priority of the request, if known. Service times are kept by
                priority, as an upload takes longer than a lookup.
            nested_wait_s: part of the service time in seconds in which the server waited for
                calls that it made. If it is a large part, the limiter ignores the request:
                a lower limit does not shorten this wait, and lengthens it if the calls come
                back to this server.
        """
        self._running = max(0, self._running - 1)
        answered = result is results.Result.ANSWERED
        if answered or service_time_s > self._service_times.expected(priority):
            self._service_times.observe(service_time_s, priority)
            if nested_wait_s <= _MAX_NESTED_WAIT_SHARE * service_time_s:
                self._limiter.observe(now, service_time_s, False, priority)
        if result is results.Result.FAILED:
            self._limiter.observe(now, service_time_s, True, priority)
        return self._dispatch(now)

    def expire(self, now: float) -> changes.QueueChanges:
        """Drops queued entries that cannot meet their deadline and fills free slots."""
        dropped = self._wait_queue.remove_if(
            lambda waiting: not self._can_meet_deadline(waiting, now)
        )
        started = self._dispatch(now)
        return changes.QueueChanges(started=started.started, dropped=dropped + started.dropped)

    def cancel(self, entry_id: int, now: float) -> bool:  # noqa: ARG002 - signature of the other methods
        """Removes an entry from the queue.

        Returns:
            Whether the entry was queued. If it was not and the request is running, the caller
            ends the request and calls `release` with `CANCELLED`.
        """
        return bool(self._wait_queue.remove_if(lambda waiting: waiting.entry_id == entry_id))

    def apply(
        self, slots: int, now: float, *, queue_limit: int | None = None
    ) -> changes.QueueChanges:
        """Applies changed limits and starts queued entries if slots are free.

        Running requests continue and still count, so a lower number of slots takes effect
        once enough of them have ended. Entries that are already queued stay queued, even
        above a lower queue limit.

        Args:
            slots: requests that the server runs at once.
            now: monotonic time in seconds.
            queue_limit: entries that may wait; None leaves the limit unchanged.

        Raises:
            ParameterError: a limit lies outside its range.
        """
        limit = self._queue_limit if queue_limit is None else queue_limit
        parameters.check(
            "admission",
            {name: self._PARAMETER_RANGES[name] for name in ("slots", "queue_limit")},
            {"slots": slots, "queue_limit": limit},
        )
        self._queue_limit = limit
        self._limiter.apply(slots)
        return self._dispatch(now)

    def drain(self) -> None:
        """Refuses new requests from now on; queued and running ones continue."""
        self._draining = True

    @property
    def idle(self) -> bool:
        """Whether no request is running or queued."""
        return self._running == 0 and len(self._wait_queue) == 0

    def report(self) -> load_report.LoadReport:
        """Returns the current load of the server."""
        return load_report.LoadReport(
            running=self._running,
            queued=len(self._wait_queue),
            limit=self._limiter.limit,
            service_time_us=round(self._service_times.mean_s * 1e6),
        )

    @staticmethod
    def _refused(reason: str) -> decision.Decision:
        return decision.Decision(outcome=outcome.Outcome.REFUSED, reason=reason)

    def _time_since_last_start(self, now: float) -> float:
        """Returns the seconds since the last start, or 0 if no request is running.

        Every running request is at least this old, so it is a lower bound of the service
        time. It detects a hung server, which completes no request.
        """
        return now - self._last_start_at if self._running else 0.0

    def _can_meet_deadline(self, entry: entry.Entry, now: float) -> bool:
        if entry.deadline <= now:
            return False
        # An idle server runs any request, because its estimate may be outdated and only a
        # completed request updates it.
        needed_s = _SERVICE_TIME_MARGIN * self._service_times.expected(entry.priority)
        return self._running == 0 or now + needed_s <= entry.deadline

    def _start(self, now: float) -> None:
        self._running += 1
        self._last_start_at = now

    def _dispatch(self, now: float) -> changes.QueueChanges:
        started: list[int] = []
        dropped: list[int] = []
        while self._running < self._limiter.limit:
            waiting = self._wait_queue.pop()
            if waiting is None:
                break
            if self._can_meet_deadline(waiting, now):
                self._start(now)
                started.append(waiting.entry_id)
            else:
                dropped.append(waiting.entry_id)
        return changes.QueueChanges(started=tuple(started), dropped=tuple(dropped))
