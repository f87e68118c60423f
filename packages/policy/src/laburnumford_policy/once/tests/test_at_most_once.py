"""Stateful test of the ticket stores of a node that restarts."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from laburnumford_policy.once import begin_state, errors, kept_answer, ticket_store

State = begin_state.BeginState
SETTINGS = hypothesis.settings(
    max_examples=250, stateful_step_count=40, derandomize=True, deadline=None, database=None
)
DIGESTS = st.sampled_from([b"bar 1", b"bar 1", b"bar 1", b"bar 2"])


def new_store(incarnation):
    """Returns the ticket store of one incarnation; each has its own key."""
    return ticket_store.TicketStore(
        node="n",
        incarnation=incarnation,
        key=incarnation.to_bytes(8),
        max_tickets=3,
        max_answer_bytes=8,
        max_kept_bytes=8,
    )


class RestartMachine(stateful.RuleBasedStateMachine):
    """Simulates callers, a server, and a node that restarts and pauses.

    The start of a request, a restart and the end of a run are separate steps, so that answers
    are lost, arrive late, or arrive at an incarnation that did not dispatch the request.
    """

    tickets = stateful.Bundle("tickets")

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.incarnation = 1
        self.store = self.restarted_store()
        self.dispatches_by_text = {}
        self.dispatched = []

    def restarted_store(self):
        """Returns the store after a restart."""
        return new_store(self.incarnation)

    def send(self, text, digest):
        """Sends a request with a ticket and records whether it was dispatched."""
        begun = self.store.begin(text, digest, self.now)
        if begun.state is State.FRESH:
            dispatch = (self.incarnation, begun.dispatch_id)
            self.dispatches_by_text.setdefault(text, set()).add(dispatch)
            self.dispatched.append((text, digest, dispatch))
        if begun.answer is not None:
            assert begun.answer.body == text[-6:].encode()

    def draw_dispatched(self, data):
        """Returns one of the latest dispatches, ended or not."""
        return data.draw(st.sampled_from(self.dispatched[-4:]))

    @stateful.rule(target=tickets)
    def issue(self):
        """Issues a ticket, or none if the store is full."""
        try:
            return self.store.issue(self.now)
        except errors.TicketStoreFullError:
            return stateful.multiple()

    @stateful.rule(text=tickets, digest=DIGESTS)
    def begin(self, text, digest):
        """Sends the first request with a ticket, a retry, or a request after the ticket expired."""
        self.send(text, digest)

    @stateful.precondition(lambda self: self.dispatched)
    @stateful.rule(data=st.data())
    def retry(self, data):
        """Retries a request that was dispatched before."""
        text, digest, _ = self.draw_dispatched(data)
        self.send(text, digest)

    @stateful.precondition(lambda self: self.dispatched)
    @stateful.rule(data=st.data(), size=st.sampled_from([6, 9]))
    def answer(self, data, size):
        """Delivers an answer, possibly twice, after a pause or to another incarnation."""
        text, _, _ = self.draw_dispatched(data)
        body = text[-6:].encode().ljust(size)
        self.store.finish(
            text, kept_answer.KeptAnswer(status=200, headers=(), body=body), self.now
        )

    @stateful.precondition(lambda self: self.dispatched)
    @stateful.rule(data=st.data())
    def lose_answer(self, data):
        """Loses the connection to the server after the request was written."""
        self.store.mark_unknown(self.draw_dispatched(data)[0], self.now)

    @stateful.precondition(lambda self: self.dispatched)
    @stateful.rule(data=st.data())
    def release(self, data):
        """Refuses the request at the server with proof that it did not run, possibly twice."""
        text, _, dispatch = self.draw_dispatched(data)
        if self.store.release(text, self.now, dispatch_id=dispatch[1]):
            self.dispatches_by_text[text].discard(dispatch)

    @stateful.rule(seconds=st.sampled_from([0.01, 1.0, 30.0, 30.0, 450.0, 899.0, 901.0]))
    def wait(self, seconds):
        """Advances the time, as after a pause of the process."""
        self.now += seconds

    @stateful.rule(happens=st.sampled_from([False, False, True]))
    def restart(self, happens):
        """Restarts the node in about one of three calls of this rule."""
        if happens:
            self.incarnation += 1
            self.store = self.restarted_store()

    @stateful.invariant()
    def runs_at_most_once(self):
        """Checks that a ticket is dispatched at most once, unless proof shows that it did not run."""
        most = max(map(len, self.dispatches_by_text.values()), default=0)
        assert most <= 1, "dispatched more than once"


class StateLossMachine(RestartMachine):
    """Simulates a node that keeps its incarnation and key over a restart, but not its state."""

    def restarted_store(self):
        """Returns an empty store that still accepts the tickets of the previous one."""
        store = new_store(1)
        for _ in range(3):
            store.issue(self.now)
        return store


def test_ticket_is_dispatched_at_most_once():
    """Fails if restarts, pauses, retries or lost answers make a request run twice."""
    stateful.run_state_machine_as_test(RestartMachine, settings=SETTINGS)


def test_invariant_detects_a_store_that_loses_its_state():
    """Fails if the invariant does not detect a request that is dispatched twice."""
    unshrunk = hypothesis.settings(SETTINGS, phases=[hypothesis.Phase.generate])
    with pytest.raises(AssertionError, match="dispatched more than once"):
        stateful.run_state_machine_as_test(StateLossMachine, settings=unshrunk)
