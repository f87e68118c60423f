"""Tests of the dispatcher with peers that return predefined results."""

import asyncio
import contextlib
import random
import typing

import pytest

from laburnumford_mesh import (
    call,
    clock,
    dispatcher,
    errors,
    frames,
    metrics,
    services,
    settings,
    share_holds,
)
from laburnumford_mesh.tests import conftest

_AFTER_HEDGE_S = 0.15
"""Longer than the hedge delay of 0.1 s for a request class without a known service time."""


class ScriptedPeers:
    """Peers that return predefined results.

    Attributes:
        results: for each call in order, a delay in seconds and a function that returns the
            result for a request. The last one is repeated.
        requests: requests that were sent.
        offers: offers that were sent.
        offer_results: for each offer in order, a function that returns the result, or None for
            a timeout. The last one is repeated.
        silence_s: time in seconds since the last message from a node.
    """

    def __init__(self):
        self.results = []
        self.requests = []
        self.offers = []
        self.offer_results = [_acceptance]
        self.silence_s = 0.0

    def since_received_s(self):
        """Returns the time since the last message from a node."""
        return self.silence_s

    async def offer(self, offer, timeout_s):
        """Returns the next result of an offer or raises after a timeout."""
        make = self.offer_results[min(len(self.offers), len(self.offer_results) - 1)]
        self.offers.append(offer)
        if make is None:
            await asyncio.sleep(timeout_s)
            raise errors.UnknownOutcomeError("peer-timeout")
        return make(offer)

    def get(self, ip):
        """Returns the same peer for every address."""
        del ip
        return self

    async def call(self, request, timeout_s):
        """Returns the next result after its delay."""
        del timeout_s
        index = min(len(self.requests), len(self.results) - 1)
        self.requests.append(request)
        delay_s, make = self.results[index]
        await asyncio.sleep(delay_s)
        return make(request)


class UnrelatedServer:
    """Backend server on the VM of the dispatcher; it belongs to another service."""

    @staticmethod
    def report():
        """Returns a load report that concerns none of the tested servers."""
        return frames.LoadReport("own", 1, 0, 0, 1, 1.0, 0.0, 0.0)

    def refusal(self, call_id, reason):
        """Returns a refusal of a call."""
        return frames.Refusal(call_id, reason, 0.0, self.report())


def _report(request):
    return frames.LoadReport(request.server_id, 1, 0, 0, 4, 1.0, 0.0, 0.0)


def _acceptance(offer):
    return frames.Acceptance(offer.call_id, _report(offer))


def _answer(status):
    return lambda request: frames.Answer(
        request.call_id, status, b"", [], b"", 0.01, _report(request)
    )


def _refusal(reason):
    return lambda request: frames.Refusal(request.call_id, reason, 0.2, _report(request))


def _slow_answer(service_time_s):
    return lambda request: frames.Answer(
        request.call_id, 200, b"", [], b"", service_time_s, _report(request)
    )


def _unknown(request):
    return frames.UnknownOutcome(request.call_id, "peer-timeout", _report(request))


def _call(
    *,
    remaining_s=2.0,
    max_attempts=3,
    body=b"",
    idempotent=True,
    target_latency_s=0.15,
    connection=0,
):
    now = clock.now()
    return call.Call(
        request_id="1",
        service="s",
        route_name="get",
        method=b"GET",
        target=b"/get/1",
        fields=[],
        body=body,
        idempotent=idempotent,
        priority=1,
        max_attempts=max_attempts,
        arrived_s=now,
        target_latency_s=target_latency_s,
        soft_deadline_s=now + remaining_s,
        deadline_s=now + remaining_s,
        connection=connection,
    )


@pytest.fixture
def scripted():
    """Returns peers without predefined results."""
    return ScriptedPeers()


@pytest.fixture
def two_server_dispatcher(scripted, log):
    """Returns a dispatcher that knows two servers on scripted peers."""
    return _dispatcher(scripted, log, 2)


def _dispatcher(scripted, log, servers, zones=("z",)):
    made, _ = _make(scripted, log, _services(servers, zones=zones))
    return made


def _services(servers, *, zones=("z",)):
    learned = services.Services(
        zone="z",
        server_address="127.0.0.1:1",
        retry_budget=settings.RetryBudgetSettings(ratio=0.2, slack=60, window_s=10),
        generator=random.Random(1),
    )
    learned.apply(
        [
            conftest.make_entry(
                f"server-{index}", f"127.0.0.{index + 2}:1", zone=zones[index % len(zones)]
            )
            for index in range(servers)
        ],
        node_count=1,
    )
    return learned


def _make(scripted, log, learned):
    local: typing.Any = UnrelatedServer()
    counters = metrics.Metrics()
    made = dispatcher.Dispatcher(
        local=local,
        server_address="127.0.0.1:1",
        peers=scripted,
        services=learned,
        names=conftest.NAMES,
        log=log,
        counters=counters,
        own_ip="127.0.0.1",
    )
    return made, counters


async def test_outcome_is_unknown_when_the_first_attempt_is_lost_and_the_hedge_refused(
    two_server_dispatcher, scripted
):
    """Guards against reporting "not run" although the first of two attempts may have run."""
    scripted.results = [(_AFTER_HEDGE_S, _unknown), (2 * _AFTER_HEDGE_S, _refusal("overloaded"))]
    with pytest.raises(errors.UnknownOutcomeError):
        await two_server_dispatcher.dispatch(_call())


async def test_failed_answer_is_returned_when_the_hedge_is_refused(
    two_server_dispatcher, scripted
):
    """Guards against reporting "not run" although the first server answered with a failure."""
    scripted.results = [
        (_AFTER_HEDGE_S, _answer(500)),
        (2 * _AFTER_HEDGE_S, _refusal("overloaded")),
    ]
    answered = await two_server_dispatcher.dispatch(_call())
    assert answered.status == 500


async def test_hedged_attempts_both_count_towards_the_maximum(scripted, log):
    """Guards against a third attempt for a request that may be sent to two servers."""
    made = _dispatcher(scripted, log, 4)
    scripted.results = [
        (_AFTER_HEDGE_S, _unknown),
        (2 * _AFTER_HEDGE_S, _unknown),
        (0, _answer(200)),
    ]
    with pytest.raises(errors.UnknownOutcomeError):
        await made.dispatch(_call(max_attempts=2))
    assert len(scripted.requests) == 2


async def test_hedge_answers_when_the_first_attempt_is_refused(two_server_dispatcher, scripted):
    """Guards against a refusal that ends a request while its hedge still runs."""
    scripted.results = [
        (_AFTER_HEDGE_S, _refusal("overloaded")),
        (2 * _AFTER_HEDGE_S, _answer(200)),
    ]
    answered = await two_server_dispatcher.dispatch(_call())
    assert answered.status == 200


async def test_number_of_slow_servers_asked_is_bounded(scripted, log):
    """Guards against one round trip to each server when a whole service is slow.

    Load pattern: one host slows down all servers of a service at the same time.
    """
    made = _dispatcher(scripted, log, 30)
    scripted.results = [(0.0, _slow_unless_expected)]
    answered = await made.dispatch(_call())
    assert answered.status == 200
    assert len(scripted.requests) <= 6


def _slow_unless_expected(request):
    if request.expects_slowdown:
        return _answer(200)(request)
    load = frames.LoadReport(request.server_id, 1, 0, 0, 4, 5.0, 0.0, 0.1)
    return frames.Refusal(request.call_id, "slow", 0.0, load)


async def test_large_body_is_sent_only_to_the_server_that_accepts_the_offer(
    two_server_dispatcher, scripted
):
    """Guards against bodies that are sent over a slow link and then refused.

    Load pattern: a surge of uploads. Each was sent to five full servers, and the copies
    congested the links of all of them.
    """
    scripted.results = [(0.0, _answer(200))]
    scripted.offer_results = [_refusal("overloaded"), _acceptance]
    answered = await two_server_dispatcher.dispatch(_call(body=b"x" * 60_000, idempotent=False))
    assert answered.status == 200
    assert len(scripted.offers) == 2
    (sent,) = scripted.requests
    assert sent.offer_accepted
    assert sent.server_id == scripted.offers[1].server_id


async def test_non_idempotent_request_is_not_sent_to_a_partitioned_node(
    two_server_dispatcher, scripted
):
    """Guards against an unknown outcome for a request that another server could run.

    Load pattern: a node is partitioned off and has been silent for some seconds.
    """
    scripted.silence_s = 5.0
    scripted.results = [(0.0, _answer(200))]
    scripted.offer_results = [None, _acceptance]
    answered = await two_server_dispatcher.dispatch(_call(idempotent=False))
    assert answered.status == 200
    assert len(scripted.requests) == 1


async def test_non_idempotent_request_without_accepted_offer_has_not_run(
    two_server_dispatcher, scripted
):
    """Guards against an unknown outcome when only offers were sent."""
    scripted.silence_s = 5.0
    scripted.offer_results = [None]
    with pytest.raises(errors.RefusedError):
        await two_server_dispatcher.dispatch(_call(idempotent=False))
    assert scripted.requests == []


async def test_small_request_to_a_recently_active_node_is_sent_without_an_offer(
    two_server_dispatcher, scripted
):
    """Guards against an additional round trip for each request."""
    scripted.results = [(0.0, _answer(200))]
    await two_server_dispatcher.dispatch(_call(idempotent=False))
    await two_server_dispatcher.dispatch(_call())
    assert scripted.offers == []


async def test_unknown_kind_of_request_is_tried_despite_a_short_deadline(
    scripted, two_server_dispatcher
):
    """Guards against a route that is never served because its assumed service time is too long.

    The published target latency of a new route may be longer than its callers wait.
    """
    scripted.results = [(0.0, _answer(200))]
    ongoing = _call(remaining_s=0.3, target_latency_s=1.0)
    assert (await two_server_dispatcher.dispatch(ongoing)).status == 200


async def test_request_that_no_server_can_finish_is_refused_at_once(
    scripted, two_server_dispatcher
):
    """Guards against a request that several nodes refuse one after the other."""
    scripted.results = [(0.0, _slow_answer(0.5))]
    await two_server_dispatcher.dispatch(_call())
    sent = len(scripted.requests)
    with pytest.raises(errors.RefusedError, match="deadline"):
        await two_server_dispatcher.dispatch(_call(remaining_s=0.3))
    assert len(scripted.requests) == sent


@pytest.mark.parametrize("status", [200, 503])
async def test_server_that_says_that_it_leaves_gets_no_further_request(
    two_server_dispatcher, scripted, status
):
    """Guards against requests to a server that has said so in an answer, also in an error."""

    def leaving(request):
        return frames.Answer(
            request.call_id, status, b"", [(b"x-leaving", b"1")], b"", 0.01, _report(request)
        )

    scripted.results = [(0.0, leaving), (0.0, _answer(200))]
    with contextlib.nullcontext() if status == 200 else pytest.raises(errors.UnknownOutcomeError):
        await two_server_dispatcher.dispatch(_call(max_attempts=1))
    for _ in range(10):
        await two_server_dispatcher.dispatch(_call(max_attempts=1))
    left = scripted.requests[0].server_id
    assert left not in {request.server_id for request in scripted.requests[1:]}


async def test_refusal_of_an_evacuated_zone_leads_to_another_zone(scripted, log):
    """Guards against a request that gives up after it asked every server of an evacuated zone."""
    made = _dispatcher(scripted, log, 12, zones=("y", "z"))

    def answer_outside(request):
        number = int(request.server_id.rpartition("-")[2])
        return _refusal("zone-evacuated")(request) if number % 2 else _answer(200)(request)

    scripted.results = [(0, answer_outside)]
    for _ in range(20):
        sent = len(scripted.requests)
        assert (await made.dispatch(_call(idempotent=False))).status == 200
        assert len(scripted.requests) - sent <= 2
    assert len(scripted.requests) > 20


async def test_attempts_in_other_zones_are_counted(scripted, log):
    """Guards against traffic between zones that operators cannot see."""
    learned = _services(1, zones=("y",))
    made, counters = _make(scripted, log, learned)
    scripted.results = [(0.0, _answer(200))]
    await made.dispatch(_call())
    assert 'requests_out_of_zone_total{kind="s"} 1' in counters.render({})
    learned = _services(1)
    made, counters = _make(scripted, log, learned)
    await made.dispatch(_call())
    assert "requests_out_of_zone_total" not in counters.render({})


def _share_refusal(request):
    report = frames.LoadReport(request.server_id, 1, 4, 9, 4, 1.0, 0.0, 0.0)
    return frames.Refusal(request.call_id, "overloaded", 5.0, report, 3)


async def test_caller_above_its_share_is_refused_without_asking_again(
    two_server_dispatcher, scripted, monkeypatch
):
    """Guards against a flood whose requests each cost a message to every server.

    Load pattern: a caller that comes back at once after each refusal. Other callers of the node
    are not above their share, so their requests are sent.
    """
    monkeypatch.setattr(share_holds, "_MAX_HOLD_S", 60.0)
    scripted.results = [(0.0, _share_refusal)]
    with pytest.raises(errors.RefusedError):
        await two_server_dispatcher.dispatch(_call(connection=7))
    assert len(scripted.requests) == 2
    with pytest.raises(errors.RefusedError) as refused:
        await two_server_dispatcher.dispatch(_call(connection=7))
    assert len(scripted.requests) == 2
    assert refused.value.retry_after_s > 0
    scripted.results = [(0.0, _answer(200))]
    assert (await two_server_dispatcher.dispatch(_call(connection=8))).status == 200


async def test_requests_and_offers_name_their_caller(two_server_dispatcher, scripted):
    """Guards against shares that take all callers of a fleet for one."""
    scripted.results = [(0.0, _answer(200))]
    await two_server_dispatcher.dispatch(_call(connection=7, body=b"x" * 20_000))
    for frame in (*scripted.offers, *scripted.requests):
        assert (frame.caller_vm, frame.caller_connection) == ("127.0.0.1", 7)
    assert scripted.offers


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_refusal_of_a_server_without_its_mark_is_not_passed_on(
    two_server_dispatcher, scripted, status
):
    """Guards against a booking that has run and is told as "has not run" (review/8, issue 40)."""
    scripted.results = [(0.0, _answer(status))]
    with pytest.raises(errors.UnknownOutcomeError, match="refusal-unproved"):
        await two_server_dispatcher.dispatch(_call(idempotent=False))
    assert len(scripted.requests) == 1


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("hedged", [False, True])
async def test_idempotent_request_is_repeated_after_an_unproved_refusal(
    two_server_dispatcher, scripted, status, hedged
):
    """Guards against callers that get the refusal of one server although another one answers."""
    delay_s = _AFTER_HEDGE_S if hedged else 0.0
    scripted.results = [(delay_s, _answer(status)), (0.0, _answer(200))]
    assert (await two_server_dispatcher.dispatch(_call())).status == 200
    scripted.results = [(0.0, _answer(status))]
    with pytest.raises(errors.UnknownOutcomeError):
        await two_server_dispatcher.dispatch(_call())


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_server_that_fails_with_refusals_is_taken_out(
    two_server_dispatcher, scripted, status
):
    """Guards against a failing server that keeps its share of the calls (issue 40).

    Load pattern: one of two servers fails every request at once, with a status that is none of
    the usual failures.
    """
    failing = "server-0"

    def answer(request):
        return _answer(status if request.server_id == failing else 200)(request)

    scripted.results = [(0.0, answer)]
    for _ in range(60):
        with contextlib.suppress(errors.UnknownOutcomeError):
            await two_server_dispatcher.dispatch(_call(idempotent=False))
    sent = [request.server_id for request in scripted.requests].count(failing)
    assert 0 < sent < 15
