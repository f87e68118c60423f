"""Tests of the dispatcher with nodes whose results a test scripts."""

import asyncio
import random
import typing

import pytest

from laburnumford_mesh import call, clock, dispatcher, errors, frames, metrics, services, settings
from laburnumford_mesh.tests import conftest

_HEDGED_S = 0.15
"""Longer than the 0.1 s after which a request of unknown length is sent to a second server."""


class ScriptedPeers:
    """Peers that answer calls as a test says.

    Attributes:
        results: what the calls get, in the order in which they are made: a delay in seconds
            and a function that makes the result of a request.
        requests: the requests that were sent.
        offers: the requests that were offered.
        offer_results: what the offers get.
        heard_s_ago: time since a node was heard.
    """

    def __init__(self):
        self.results = []
        self.requests = []
        self.offers = []
        self.offer_results = [_acceptance]
        self.heard_s_ago = 0.0

    def since_received_s(self):
        """Returns the time since a node was heard."""
        return self.heard_s_ago

    async def offer(self, offer, timeout_s):
        """Returns the next result of an offer, or none in time."""
        make = self.offer_results[min(len(self.offers), len(self.offer_results) - 1)]
        self.offers.append(offer)
        if make is None:
            await asyncio.sleep(timeout_s)
            raise errors.UnknownOutcomeError("peer-timeout")
        return make(offer)

    def get(self, ip):
        """Returns the peer on a VM."""
        del ip
        return self

    async def call(self, request, left_s):
        """Returns the next result."""
        del left_s
        index = min(len(self.requests), len(self.results) - 1)
        self.requests.append(request)
        delay_s, make = self.results[index]
        await asyncio.sleep(delay_s)
        return make(request)


class IdleServer:
    """The server beside the dispatcher's node, which is of another service."""

    @staticmethod
    def report():
        """Returns a report that concerns none of the servers."""
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


def _unknown(request):
    return frames.UnknownOutcome(request.call_id, "cut", _report(request))


def _call(*, left_s=2.0, max_attempts=3, body=b"", idempotent=True):
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
        aim_s=now + left_s,
        deadline_s=now + left_s,
    )


@pytest.fixture
def scripted():
    """Returns peers without a script."""
    return ScriptedPeers()


@pytest.fixture
def two_servers(scripted, log):
    """Returns a dispatcher that knows two servers beside scripted peers."""
    return _dispatcher(scripted, log, 2)


def _dispatcher(scripted, log, servers):
    local: typing.Any = IdleServer()
    learned = services.Services(
        zone="z",
        server_address="127.0.0.1:1",
        budget=settings.RetryBudgetSettings(ratio=0.2, slack=60, window_s=10),
        generator=random.Random(1),
    )
    learned.apply(
        [
            conftest.make_entry(f"server-{index}", f"127.0.0.{index + 2}:1")
            for index in range(servers)
        ],
        nodes=1,
    )
    return dispatcher.Dispatcher(
        local=local,
        server_address="127.0.0.1:1",
        peers=scripted,
        services=learned,
        log=log,
        counters=metrics.Metrics(),
    )


async def test_lost_first_attempt_is_not_forgotten_when_the_second_is_refused(
    two_servers, scripted
):
    """Guards against "not run" where the first of two attempts side by side may have run."""
    scripted.results = [(_HEDGED_S, _unknown), (2 * _HEDGED_S, _refusal("overloaded"))]
    with pytest.raises(errors.UnknownOutcomeError):
        await two_servers.dispatch(_call())


async def test_failed_first_attempt_is_delivered_when_the_second_is_refused(two_servers, scripted):
    """Guards against "not run" where the first of two servers has answered with a failure."""
    scripted.results = [(_HEDGED_S, _answer(500)), (2 * _HEDGED_S, _refusal("overloaded"))]
    answered = await two_servers.dispatch(_call())
    assert answered.status == 500


async def test_two_attempts_side_by_side_count_as_two(scripted, log):
    """Guards against a third server for a request that may be sent to two."""
    made = _dispatcher(scripted, log, 4)
    scripted.results = [(_HEDGED_S, _unknown), (2 * _HEDGED_S, _unknown), (0, _answer(200))]
    with pytest.raises(errors.UnknownOutcomeError):
        await made.dispatch(_call(max_attempts=2))
    assert len(scripted.requests) == 2


async def test_second_server_answers_when_the_first_is_refused(two_servers, scripted):
    """Guards against a refusal that ends a request whose second attempt is still running."""
    scripted.results = [(_HEDGED_S, _refusal("overloaded")), (2 * _HEDGED_S, _answer(200))]
    answered = await two_servers.dispatch(_call())
    assert answered.status == 200


async def test_servers_in_a_slow_spell_are_not_all_asked(scripted, log):
    """Guards against one round trip for each server when a whole service is slow.

    Answers the load pattern of a host that slows down all servers of a service at once.
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


async def test_large_body_is_sent_to_the_server_that_takes_it(two_servers, scripted):
    """Guards against a body that crosses a narrow link only to be refused there.

    Answers the load pattern of a surge of uploads: each was sent to five full servers, and
    the copies congested the links of all of them.
    """
    scripted.results = [(0.0, _answer(200))]
    scripted.offer_results = [_refusal("overloaded"), _acceptance]
    answered = await two_servers.dispatch(_call(body=b"x" * 60_000, idempotent=False))
    assert answered.status == 200
    assert len(scripted.offers) == 2
    (sent,) = scripted.requests
    assert sent.offer_accepted
    assert sent.server_id == scripted.offers[1].server_id


async def test_booking_is_not_sent_into_a_cut(two_servers, scripted):
    """Guards against an unknown outcome for a request that another server could run.

    Load pattern: a node is cut off, and nothing was heard of it for a moment.
    """
    scripted.heard_s_ago = 5.0
    scripted.results = [(0.0, _answer(200))]
    scripted.offer_results = [None, _acceptance]
    answered = await two_servers.dispatch(_call(idempotent=False))
    assert answered.status == 200
    assert len(scripted.requests) == 1


async def test_booking_that_no_node_takes_has_not_run(two_servers, scripted):
    """Guards against an unknown outcome where only offers were sent."""
    scripted.heard_s_ago = 5.0
    scripted.offer_results = [None]
    with pytest.raises(errors.RefusedError):
        await two_servers.dispatch(_call(idempotent=False))
    assert scripted.requests == []


async def test_small_request_to_a_node_just_heard_is_sent_at_once(two_servers, scripted):
    """Guards against a further round trip for each request."""
    scripted.results = [(0.0, _answer(200))]
    await two_servers.dispatch(_call(idempotent=False))
    await two_servers.dispatch(_call())
    assert scripted.offers == []
