"""Routing of the requests of callers."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Callable
from typing import Any

from laburnumford_mesh import (
    call,
    clock,
    configuration,
    dispatcher,
    errors,
    event_log,
    frames,
    metrics,
    route,
    wire_names,
)
from laburnumford_mesh.http import answer as answers
from laburnumford_mesh.http import request
from laburnumford_node.http import fields
from laburnumford_policy.placement import caller_timeouts, stop_window, weighted_split

_STALE_CONFIGURATION_S = 1.2
"""With older published values, a route that is not found may have been added since."""

_TIMEOUT_GRACE_S = 0.05
"""Allowance for an answer that the server sends at the deadline to arrive."""

_MIN_RETRY_AFTER_S = 0.05
"""Three round trips of 16 ms to a caller."""

_STOPPING_REASON = "stopping"
"""The process is about to exit."""

_MAX_SPLIT_OFFSET = 100
"""Number of requests; each node starts its weighted round robin at a random offset, so that nodes
do not choose the same service in lockstep."""

_REASON_BY_STATUS = {
    404: b"Not Found",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Edge:
    """Routes requests of callers and answers them.

    Args:
        own_service: returns the service of this VM, which servers receive as the caller.
        current_configuration: returns the active configuration, or None before the first.
        values_age_s: returns the age of the published values in seconds.
        dispatcher: sends requests to servers.
        names: header field names.
        log: structured log.
        counters: metrics.
        generator: source of random numbers.
    """

    def __init__(
        self,
        *,
        own_service: Callable[[], str],
        current_configuration: Callable[[], configuration.Configuration | None],
        values_age_s: Callable[[], float],
        dispatcher: dispatcher.Dispatcher,
        names: wire_names.WireNames,
        log: event_log.EventLog,
        counters: metrics.Metrics,
        generator: random.Random,
    ) -> None:
        self._generator = generator
        self._own_service = own_service
        self._current_configuration = current_configuration
        self._values_age_s = values_age_s
        self._dispatcher = dispatcher
        self._names = names
        self._log = log
        self._metrics = counters
        self._caller_timeouts = caller_timeouts.CallerTimeouts()
        self._stop_window: stop_window.StopWindow | None = None
        self._split_by_route: dict[tuple[int, str, str], weighted_split.WeightedSplit] = {}
        self._dropped_fields = frozenset(
            {names.timeout_ms, names.target_server, names.caller_service, b"expect"}
        )

    def begin_stop(self, window: stop_window.StopWindow) -> None:
        """Refuses the requests that cannot be answered before the process ends."""
        self._stop_window = window

    async def handle(self, received: request.Request) -> answers.Answer:
        """Returns the answer to one request."""
        request_id = received.value_by_name.get(self._names.request_id, b"").decode("latin-1")
        if self._stop_window is not None and not self._stop_window.is_open(clock.now()):
            return self._refuse(request_id, _STOPPING_REASON, _MIN_RETRY_AFTER_S)
        current = self._current_configuration()
        if current is None:
            return self._refuse(request_id, "no-configuration", 0.3)
        matched_route = current.find_route(received.host, received.path)
        if matched_route is None:
            if self._values_age_s() > _STALE_CONFIGURATION_S:
                return self._refuse(request_id, "route-unknown-yet", 0.3)
            self._log.write("no_route", id=request_id, version=current.version)
            return self._local_answer(404, "no-route")
        return await self._dispatch(received, request_id, matched_route, current)

    async def _dispatch(
        self,
        received: request.Request,
        request_id: str,
        matched_route: route.Route,
        current: configuration.Configuration,
    ) -> answers.Answer:
        ongoing = self._build_call(received, request_id, matched_route, current)
        if self._stop_window is not None:
            service_time_s = self._dispatcher.observed_service_time_s(ongoing)
            if not self._stop_window.can_finish(clock.now(), ongoing.deadline_s, service_time_s):
                return self._refuse(request_id, _STOPPING_REASON, _MIN_RETRY_AFTER_S, ongoing)
            deadline_s = self._stop_window.limit(ongoing.deadline_s)
            ongoing = dataclasses.replace(ongoing, deadline_s=deadline_s)
        remaining_s = max(ongoing.deadline_s - clock.now(), 0.0)
        try:
            async with asyncio.timeout(remaining_s + _TIMEOUT_GRACE_S):
                answered = await self._dispatcher.dispatch(ongoing)
        except TimeoutError:
            return self._fail(ongoing, current, 504, "deadline")
        except errors.RefusedError as error:
            return self._refuse(request_id, error.reason, error.retry_after_s, ongoing)
        except errors.UnknownOutcomeError as error:
            status = 504 if clock.now() >= ongoing.deadline_s else 502
            return self._fail(ongoing, current, status, error.reason)
        return self._deliver(ongoing, current, answered)

    def _build_call(
        self,
        received: request.Request,
        request_id: str,
        matched_route: route.Route,
        current: configuration.Configuration,
    ) -> call.Call:
        caller_timeout_s = _parse_timeout_s(received.value_by_name.get(self._names.timeout_ms))
        remaining_s = matched_route.timeout_s
        elapsed_s = 0.0
        if caller_timeout_s is not None:
            remaining_s = min(caller_timeout_s, remaining_s)
            elapsed_s = self._caller_timeouts.elapsed_s(
                received.received_s, matched_route.name, caller_timeout_s
            )
        forwarded_fields = fields.forwarded(received.fields, drop=self._dropped_fields)
        forwarded_fields.append((self._names.caller_service, self._own_service().encode()))
        return call.Call(
            request_id=request_id,
            service=self._choose_service(matched_route, current),
            route_name=matched_route.name,
            method=received.method,
            target=received.target,
            fields=forwarded_fields,
            body=received.body,
            idempotent=matched_route.idempotent,
            priority=matched_route.priority,
            max_attempts=matched_route.max_attempts,
            arrived_s=received.received_s,
            target_latency_s=matched_route.target_latency_s,
            soft_deadline_s=received.received_s + matched_route.target_latency_s - elapsed_s,
            deadline_s=received.received_s + remaining_s,
            connection=received.connection,
        )

    def _choose_service(
        self, matched_route: route.Route, current: configuration.Configuration
    ) -> str:
        if len(matched_route.services) == 1:
            return matched_route.services[0].name
        key = (current.version, matched_route.name, matched_route.prefix)
        split = self._split_by_route.get(key)
        if split is None:
            self._split_by_route = {
                known: value
                for known, value in self._split_by_route.items()
                if known[0] == current.version
            }
            split = weighted_split.WeightedSplit(
                [each.name for each in matched_route.services],
                [each.weight for each in matched_route.services],
                offset=self._generator.randrange(_MAX_SPLIT_OFFSET),
            )
            self._split_by_route[key] = split
        return split.choose()

    def _deliver(
        self,
        ongoing: call.Call,
        current: configuration.Configuration,
        answered: frames.Answer,
    ) -> answers.Answer:
        took_s = clock.now() - ongoing.arrived_s
        self._metrics.count("answers_total", str(answered.status))
        self._metrics.record("answer", ongoing.route_name, took_s)
        self._log.write(
            "answered",
            id=ongoing.request_id,
            route=ongoing.route_name,
            service=ongoing.service,
            status=answered.status,
            ms=round(took_s * 1000, 1),
            version=current.version,
        )
        return answers.Answer(
            status=answered.status,
            reason=answered.reason,
            fields=answered.fields,
            body=answered.body,
        )

    def _fail(
        self,
        ongoing: call.Call,
        current: configuration.Configuration,
        status: int,
        reason: str,
    ) -> answers.Answer:
        self._metrics.count("failures_total", reason)
        self._log.write(
            "failed",
            id=ongoing.request_id,
            route=ongoing.route_name,
            service=ongoing.service,
            status=status,
            reason=reason,
            ms=round((clock.now() - ongoing.arrived_s) * 1000, 1),
            version=current.version,
            **self._dispatcher.figures(ongoing),
        )
        return self._local_answer(status, reason)

    def _refuse(
        self,
        request_id: str,
        reason: str,
        retry_after_s: float,
        ongoing: call.Call | None = None,
    ) -> answers.Answer:
        self._metrics.count("refusals_total", reason)
        wait_s = max(retry_after_s, _MIN_RETRY_AFTER_S)
        current = self._current_configuration()
        figures: dict[str, Any] = {}
        if ongoing is not None:
            figures = {
                "ms": round((clock.now() - ongoing.arrived_s) * 1000, 1),
                **self._dispatcher.figures(ongoing),
            }
        self._log.write(
            "refused",
            id=request_id,
            reason=reason,
            retry_after_s=round(wait_s, 3),
            route=None if ongoing is None else ongoing.route_name,
            service=None if ongoing is None else ongoing.service,
            values_age_s=round(min(self._values_age_s(), 1e6), 3),
            version=None if current is None else current.version,
            **figures,
        )
        return self._local_answer(503, reason, [(self._names.retry_after, b"%.3f" % wait_s)])

    @staticmethod
    def _local_answer(
        status: int, reason: str, extra_fields: list[fields.Field] | None = None
    ) -> answers.Answer:
        body = json.dumps({"status": status, "reason": reason}).encode()
        return answers.Answer(
            status=status,
            reason=_REASON_BY_STATUS[status],
            fields=[(b"content-type", b"application/problem+json"), *(extra_fields or ())],
            body=body,
        )


def _parse_timeout_s(value: bytes | None) -> float | None:
    """Returns the timeout of the caller in seconds, or None if the field is missing or invalid."""
    timeout_ms = fields.parse_integer(value)
    return None if timeout_ms is None else timeout_ms / 1000
