"""State machine over the ticket books of a node that restarts."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from laburnumford_policy.once import begin_state, errors, kept_answer, ticket_book

State = begin_state.BeginState
SETTINGS = hypothesis.settings(
    max_examples=250, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
DIGESTS = st.sampled_from([b"bar 1", b"bar 1", b"bar 1", b"bar 2"])


def new_book(incarnation):
    """Returns the book of one incarnation; each has its own key."""
    return ticket_book.TicketBook(
        node="n",
        incarnation=incarnation,
        key=incarnation.to_bytes(8),
        max_tickets=3,
        max_answer_bytes=8,
        max_kept_bytes=8,
    )


class Machine(stateful.RuleBasedStateMachine):
    """Callers, a server and a node that restarts and pauses.

    A begin, a restart and the end of a run are separate steps, so that answers are lost,
    come late, or come back to an incarnation that did not start the run.
    """

    tickets = stateful.Bundle("tickets")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.incarnation = 1
        self.book = self.restarted_book()
        self.handovers_by_text = {}
        self.begun = []

    def restarted_book(self):
        """Returns the book after a restart."""
        return new_book(self.incarnation)

    def send(self, text, digest):
        """Sends a request with a ticket and notes a handover."""
        begun = self.book.begin(text, digest, self.now)
        if begun.state is State.FRESH:
            handover = (self.incarnation, begun.handover)
            self.handovers_by_text.setdefault(text, set()).add(handover)
            self.begun.append((text, digest, handover))
        if begun.answer is not None:
            assert begun.answer.body == text[-6:].encode()

    def draw_begun(self, data):
        """Returns one of the last handovers, ended or not."""
        return data.draw(st.sampled_from(self.begun[-4:]))

    @stateful.rule(target=tickets)
    def issue(self):
        """Issues a ticket, or none if the book is full."""
        try:
            return self.book.issue(self.now)
        except errors.TicketBookFullError:
            return stateful.multiple()

    @stateful.rule(text=tickets, digest=DIGESTS)
    def begin(self, text, digest):
        """Sends a first, repeated or late request."""
        self.send(text, digest)

    @stateful.precondition(lambda self: self.begun)
    @stateful.rule(data=st.data())
    def repeat(self, data):
        """Sends a request again that was handed over before."""
        text, digest, _ = self.draw_begun(data)
        self.send(text, digest)

    @stateful.precondition(lambda self: self.begun)
    @stateful.rule(data=st.data(), size=st.sampled_from([6, 9]))
    def answer(self, data, size):
        """Lets an answer arrive, perhaps twice, after a pause or at another incarnation."""
        text, _, _ = self.draw_begun(data)
        body = text[-6:].encode().ljust(size)
        self.book.finish(text, kept_answer.KeptAnswer(status=200, headers=(), body=body), self.now)

    @stateful.precondition(lambda self: self.begun)
    @stateful.rule(data=st.data())
    def lose_answer(self, data):
        """Breaks the connection to the server after the request was written."""
        self.book.fail(self.draw_begun(data)[0], self.now)

    @stateful.precondition(lambda self: self.begun)
    @stateful.rule(data=st.data())
    def abandon(self, data):
        """Refuses the request at the server with proof, once and perhaps once more."""
        text, _, handover = self.draw_begun(data)
        if self.book.abandon(text, self.now, handover=handover[1]):
            self.handovers_by_text[text].discard(handover)

    @stateful.rule(seconds=st.sampled_from([0.01, 1.0, 30.0, 30.0, 450.0, 899.0, 901.0]))
    def wait(self, seconds):
        """Lets time pass, or the process pause."""
        self.now += seconds

    @stateful.rule(really=st.sampled_from([False, False, True]))
    def restart(self, really):
        """Replaces the process."""
        if really:
            self.incarnation += 1
            self.book = self.restarted_book()

    @stateful.invariant()
    def runs_at_most_once(self):
        """A ticket is handed over at most once, but for handovers proved not to have run."""
        most = max(map(len, self.handovers_by_text.values()), default=0)
        assert most <= 1, "handed over more than once"


class ForgetfulMachine(Machine):
    """A node that keeps its incarnation and key over a restart, but not its memory."""

    def restarted_book(self):
        """Returns an empty book that still accepts the tickets of the one before."""
        book = new_book(1)
        for _ in range(3):
            book.issue(self.now)
        return book


def test_ticket_is_handed_over_at_most_once():
    """Fails if restarts, pauses, repeats or lost answers make a booking run twice."""
    stateful.run_state_machine_as_test(Machine, settings=SETTINGS)


def test_book_that_forgets_but_keeps_its_incarnation_is_caught():
    """Fails if the invariant cannot see a duplicate run."""
    unshrunk = hypothesis.settings(SETTINGS, phases=[hypothesis.Phase.generate])
    with pytest.raises(AssertionError, match="handed over more than once"):
        stateful.run_state_machine_as_test(ForgetfulMachine, settings=unshrunk)
