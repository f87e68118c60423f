"""Tests of TicketStore."""

import pytest

from laburnumford_policy.once import begin_state, errors, kept_answer, ticket, ticket_store

State = begin_state.BeginState
ANSWER = kept_answer.KeptAnswer(status=201, headers=((b"a", b"b"),), body=b"certificate")


@pytest.fixture
def store():
    """Returns a store of at most three tickets."""
    return ticket_store.TicketStore(node="oslo-1.lab", incarnation=7, max_tickets=3)


def test_ticket_is_dispatched_once_and_its_answer_is_kept(store):
    """Fails if a retry runs the request again or does not get the answer."""
    text = store.issue(5.0)
    assert store.begin(text, b"d", 5.0).state is State.FRESH
    assert store.begin(text, b"d", 5.1).state is State.IN_FLIGHT
    assert store.finish(text, ANSWER, 5.2)
    retry = store.begin(text, b"d", 5.3)
    assert (retry.state, retry.answer) == (State.DONE, ANSWER)


def test_unknown_outcome_stays_unknown(store):
    """Fails if a request whose outcome is unknown is dispatched again."""
    text = store.issue(0.0)
    store.begin(text, b"d", 0.0)
    assert store.mark_unknown(text, 1.0)
    assert not store.finish(text, ANSWER, 2.0)
    assert store.begin(text, b"d", 3.0).state is State.UNKNOWN


def test_late_second_release_does_not_affect_a_later_request(store):
    """Fails if a second release makes the ticket of a running request fresh again."""
    text = store.issue(0.0)
    first = store.begin(text, b"d", 0.0)
    assert store.release(text, 0.1, dispatch_id=first.dispatch_id)
    assert store.begin(text, b"d", 0.2).state is State.FRESH
    assert not store.release(text, 0.3, dispatch_id=first.dispatch_id)
    assert store.begin(text, b"d", 0.4).state is State.IN_FLIGHT


def test_ticket_is_bound_to_the_first_digest(store):
    """Fails if a ticket can be used for another request."""
    text = store.issue(0.0)
    first = store.begin(text, b"bar 1", 0.0)
    store.release(text, 0.0, dispatch_id=first.dispatch_id)
    assert store.begin(text, b"bar 2", 0.0).state is State.MISMATCH


@pytest.mark.parametrize("change", ["issued_ms", "sequence", "mac"])
def test_forged_ticket_is_invalid(store, change):
    """Fails if a caller can forge tickets or change their age."""
    parts = ticket.parse(store.issue(0.0))
    values = {**vars(parts), change: b"\0" * 16 if change == "mac" else 2}
    assert store.begin(ticket.Ticket(**values).text, b"d", 0.0).state is State.INVALID


@pytest.mark.parametrize(
    "text", ["", "uuid", "lf1.a.b.c.d.e", "lf1.n.0000000000000007.01.1." + "0" * 32]
)
def test_text_that_is_not_a_ticket_is_invalid(store, text):
    """Fails if `begin` accepts a malformed key or raises an exception."""
    assert store.begin(text, b"d", 0.0).state is State.INVALID
    with pytest.raises(errors.TicketFormatError, match="not a ticket"):
        ticket.parse(text)


def test_tickets_of_an_earlier_incarnation_are_unknown(store):
    """Fails if a node dispatches a request with a ticket of another node or incarnation."""
    text = store.issue(0.0)
    restarted = ticket_store.TicketStore(node="oslo-1.lab", incarnation=8)
    assert restarted.begin(text, b"d", 0.0).reason == "restarted"
    other = ticket_store.TicketStore(node="oslo-2.lab", incarnation=7)
    assert other.begin(text, b"d", 0.0).reason == "other-owner"


def test_expired_ticket_is_unknown_if_never_used_and_if_time_goes_back(store):
    """Fails if a removed ticket is taken for a fresh one."""
    text = store.issue(10.0)
    assert store.begin(text, b"d", 910.0).reason == "expired"
    assert store.begin(text, b"d", 11.0).reason == "expired"


def test_full_store_issues_no_ticket_and_removes_none(store):
    """Fails if issuing many tickets makes the store remove a used one."""
    texts = [store.issue(float(number)) for number in range(3)]
    store.begin(texts[0], b"d", 3.0)
    with pytest.raises(
        errors.TicketStoreFullError, match="allowed: 3; the next expires in 897000"
    ):
        store.issue(3.0)
    assert store.begin(texts[0], b"d", 899.0).state is State.IN_FLIGHT
    assert ticket.parse(store.issue(900.0)).sequence == 4


def test_kept_answers_are_bounded_and_their_tickets_stay_done():
    """Fails if kept answers grow without bound, or dropping one makes its ticket fresh."""
    store = ticket_store.TicketStore(
        node="n", incarnation=1, max_answer_bytes=20, max_kept_bytes=30
    )
    texts = [store.issue(0.0) for _ in range(3)]
    for text, body in zip(texts, (b"x" * 16, b"y" * 16, b"z" * 21), strict=True):
        store.begin(text, b"d", 0.0)
        store.finish(text, kept_answer.KeptAnswer(status=200, headers=(), body=body), 0.0)
    retries = [store.begin(text, b"d", 1.0) for text in texts]
    assert [retry.state for retry in retries] == [State.DONE] * 3
    assert [retry.answer is not None for retry in retries] == [False, True, False]
    assert store.kept_bytes == 16
    store.begin(texts[0], b"d", 900.0)
    assert (store.kept_bytes, store.ticket_count) == (0, 0)


def test_many_tickets_expire_at_once_but_are_removed_in_steps():
    """Fails if one call after a pause removes all tickets, which blocks the event loop.

    It also fails if an expired ticket that is not yet removed counts as unexpired.
    """
    store = ticket_store.TicketStore(node="n", incarnation=1, max_tickets=2500)
    texts = [store.issue(0.0) for _ in range(2500)]
    assert store.begin(texts[-1], b"d", 900.0).reason == "expired"
    assert store.ticket_count == 1500
    assert store.begin(texts[-1], b"d", 900.0).reason == "expired"
    store.issue(900.0)
    assert store.ticket_count == 1
