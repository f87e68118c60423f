"""Tests of TicketBook."""

import pytest

from laburnumford_policy.once import begin_state, errors, kept_answer, ticket, ticket_book

State = begin_state.BeginState
ANSWER = kept_answer.KeptAnswer(status=201, headers=((b"a", b"b"),), body=b"certificate")


@pytest.fixture
def book():
    """Returns a book with room for three tickets."""
    return ticket_book.TicketBook(node="oslo-1.lab", incarnation=7, max_tickets=3)


def test_hands_over_once_and_repeats_the_answer(book):
    """Fails if a repeat runs again or loses the answer."""
    text = book.issue(5.0)
    assert book.begin(text, b"d", 5.0).state is State.FRESH
    assert book.begin(text, b"d", 5.1).state is State.IN_FLIGHT
    assert book.finish(text, ANSWER, 5.2)
    repeat = book.begin(text, b"d", 5.3)
    assert (repeat.state, repeat.answer) == (State.DONE, ANSWER)


def test_lost_outcome_stays_unknown(book):
    """Fails if a ticket whose outcome was lost is handed over again."""
    text = book.issue(0.0)
    book.begin(text, b"d", 0.0)
    assert book.fail(text, 1.0)
    assert not book.finish(text, ANSWER, 2.0)
    assert book.begin(text, b"d", 3.0).state is State.UNKNOWN


def test_late_second_abandon_does_not_release_a_later_request(book):
    """Fails if a second abandon makes a running request fresh again."""
    text = book.issue(0.0)
    first = book.begin(text, b"d", 0.0)
    assert book.abandon(text, 0.1, handover=first.handover)
    assert book.begin(text, b"d", 0.2).state is State.FRESH
    assert not book.abandon(text, 0.3, handover=first.handover)
    assert book.begin(text, b"d", 0.4).state is State.IN_FLIGHT


def test_ticket_is_bound_to_the_first_digest(book):
    """Fails if a ticket can be used for another booking."""
    text = book.issue(0.0)
    first = book.begin(text, b"bar 1", 0.0)
    book.abandon(text, 0.0, handover=first.handover)
    assert book.begin(text, b"bar 2", 0.0).state is State.MISMATCH


@pytest.mark.parametrize("change", ["issued_ms", "sequence", "mac"])
def test_refuses_a_forged_ticket(book, change):
    """Fails if a caller can make up tickets or change their age."""
    parts = ticket.parse(book.issue(0.0))
    values = {**vars(parts), change: b"\0" * 16 if change == "mac" else 2}
    assert book.begin(ticket.Ticket(**values).text, b"d", 0.0).state is State.INVALID


@pytest.mark.parametrize(
    "text", ["", "uuid", "lf1.a.b.c.d.e", "lf1.n.0000000000000007.01.1." + "0" * 32]
)
def test_refuses_what_is_no_ticket(book, text):
    """Fails if a malformed key is accepted or raises in the request path."""
    assert book.begin(text, b"d", 0.0).state is State.INVALID
    with pytest.raises(errors.TicketFormatError, match="not a ticket"):
        ticket.parse(text)


def test_tickets_of_an_earlier_incarnation_are_unknown(book):
    """Fails if a restarted or another node hands over a ticket it did not issue."""
    text = book.issue(0.0)
    restarted = ticket_book.TicketBook(node="oslo-1.lab", incarnation=8)
    assert restarted.begin(text, b"d", 0.0).reason == "restarted"
    other = ticket_book.TicketBook(node="oslo-2.lab", incarnation=7)
    assert other.begin(text, b"d", 0.0).reason == "other-owner"


def test_expired_ticket_is_unknown_even_if_never_used_and_if_time_goes_back(book):
    """Fails if a forgotten ticket is taken for a fresh one."""
    text = book.issue(10.0)
    assert book.begin(text, b"d", 910.0).reason == "expired"
    assert book.begin(text, b"d", 11.0).reason == "expired"


def test_full_book_refuses_to_issue_and_forgets_nothing(book):
    """Fails if a flood of tickets makes the book forget a used one."""
    texts = [book.issue(float(number)) for number in range(3)]
    book.begin(texts[0], b"d", 3.0)
    with pytest.raises(errors.TicketBookFullError, match="allowed: 3; the next expires in 897000"):
        book.issue(3.0)
    assert book.begin(texts[0], b"d", 899.0).state is State.IN_FLIGHT
    assert ticket.parse(book.issue(900.0)).sequence == 4


def test_answers_are_bounded_and_their_tickets_stay_done():
    """Fails if kept answers grow without bound, or dropping one reopens its ticket."""
    book = ticket_book.TicketBook(node="n", incarnation=1, max_answer_bytes=20, max_kept_bytes=30)
    texts = [book.issue(0.0) for _ in range(3)]
    for text, body in zip(texts, (b"x" * 16, b"y" * 16, b"z" * 21), strict=True):
        book.begin(text, b"d", 0.0)
        book.finish(text, kept_answer.KeptAnswer(status=200, headers=(), body=body), 0.0)
    repeats = [book.begin(text, b"d", 1.0) for text in texts]
    assert [repeat.state for repeat in repeats] == [State.DONE] * 3
    assert [repeat.answer is not None for repeat in repeats] == [False, True, False]
    assert book.kept_bytes == 16
    book.begin(texts[0], b"d", 900.0)
    assert (book.kept_bytes, book.ticket_count) == (0, 0)


def test_many_tickets_expire_at_once_but_are_forgotten_in_steps():
    """Fails if a pause makes one call block the event loop, or a lag revives a ticket."""
    book = ticket_book.TicketBook(node="n", incarnation=1, max_tickets=2500)
    texts = [book.issue(0.0) for _ in range(2500)]
    assert book.begin(texts[-1], b"d", 900.0).reason == "expired"
    assert book.ticket_count == 1500
    assert book.begin(texts[-1], b"d", 900.0).reason == "expired"
    book.issue(900.0)
    assert book.ticket_count == 1
