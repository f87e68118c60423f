"""Faults of at-most-once execution: P4."""

import asyncio
from typing import Any

from laburnumford_fleet import local_state
from laburnumford_node import dispatch, errors, header_names, peer
from laburnumford_node.http import fields, request, server_connection
from laburnumford_policy.once import begin_result, begin_state, ticket_store
from laburnumford_policy.retry import decision
from laburnumford_testkit.backend import fault as backend_fault
from laburnumford_testkit.controls import answers, fault, trial
from laburnumford_testkit.faultproxy import faults as network
from laburnumford_testkit.judge import invariant

_AT_MOST_ONCE = invariant.Invariant.AT_MOST_ONCE
_LOST_ANSWERS = backend_fault.Fault(kind=backend_fault.FaultKind.CLOSE, share=0.3)
_INCARNATION = 77


@fault.faults.register("resends-after-unknown")
class ResendsAfterUnknown(fault.Fault):
    """A request that is not idempotent is sent again although it may have run."""

    invariant = _AT_MOST_ONCE
    setup = trial.Setup(services=("hallmark-issuing",))

    def install(self) -> None:
        """Allows one resend after each unknown outcome."""
        intact = dispatch.Dispatcher._decide_resend

        def decide(
            self: Any, ongoing: Any, state: Any, error: errors.AttemptError, resends: int
        ) -> decision.Decision:
            if isinstance(error, errors.UnknownOutcomeError) and resends == 0:
                return decision.Decision(resend=True, delay_s=0.0, reason="control")
            return intact(self, ongoing, state, error, resends)

        fault.replace(dispatch.Dispatcher, "_decide_resend", decide)

    async def apply_load(self, running: trial.Trial) -> None:
        """Books while servers close connections after they ran the request."""
        await running.set_server_faults(_LOST_ANSWERS)
        await running.call(answers.BOOKING, rate_per_s=60.0, duration_s=1.5)


@fault.faults.register("hands-ticket-over-again")
class HandsTicketOverAgain(fault.Fault):
    """The owner of a ticket hands each request with it to a server."""

    invariant = _AT_MOST_ONCE
    setup = trial.Setup(services=("hallmark-issuing",))

    def install(self) -> None:
        """Makes every ticket fresh."""
        fresh = begin_result.BeginResult(state=begin_state.BeginState.FRESH, dispatch_id=1)
        fault.replace(ticket_store.TicketStore, "_begin_unexpired", lambda *_: fresh)

    async def apply_load(self, running: trial.Trial) -> None:
        """Books while answers are lost, after which callers repeat."""
        await running.set_server_faults(_LOST_ANSWERS)
        await running.call(answers.BOOKING, rate_per_s=60.0, duration_s=1.5)


@fault.faults.register("forgets-tickets-at-restart")
class ForgetsTicketsAtRestart(fault.Fault):
    """A restarted node keeps incarnation and key, but not the state of its tickets."""

    invariant = _AT_MOST_ONCE
    setup = trial.Setup(services=("hallmark-issuing",), repeats=12, repeat_delay_s=0.25)

    def install(self) -> None:
        """Fixes the incarnation and the key."""
        state_init = local_state.LocalState.__init__
        book_init = ticket_store.TicketStore.__init__

        def init_state(self: Any, **parameters: Any) -> None:
            state_init(self, **{**parameters, "incarnation": _INCARNATION})

        def init_book(self: Any, **parameters: Any) -> None:
            book_init(self, **{**parameters, "key": bytes(32)})

        fault.replace(local_state.LocalState, "__init__", init_state)
        fault.replace(ticket_store.TicketStore, "__init__", init_book)

    async def apply_load(self, running: trial.Trial) -> None:
        """Kills and restarts a node whose bookings run without an answer."""
        cluster = running.cluster
        name = next(iter(cluster.nodes_by_name))
        await running.set_server_faults(
            backend_fault.Fault(kind=backend_fault.FaultKind.STALL, share=1.0)
        )
        booking = asyncio.create_task(
            running.call(
                answers.BOOKING,
                rate_per_s=20.0,
                duration_s=0.6,
                addresses=[cluster.edge_address(name)],
            )
        )
        await asyncio.sleep(0.8)
        cluster.nodes_by_name[name].kill()
        await running.set_server_faults(backend_fault.Fault())
        await cluster.nodes_by_name[name].start()
        await booking


@fault.faults.register("skips-connection-nonce")
class SkipsConnectionNonce(fault.Fault):
    """A request is run on a connection for which it was not written."""

    invariant = _AT_MOST_ONCE
    setup = trial.Setup(
        services=("hallmark-issuing", "accounts"), proxied=frozenset({"peer"}), repeats=3
    )

    def install(self) -> None:
        """Reads the deadline without a check of the nonce."""

        def check(
            self: Any, received: request.Request, _: server_connection.ServerConnection
        ) -> float:
            left = fields.get(received.fields, header_names.TIMEOUT_MS) or b"0"
            return float(self._clock()) + int(left) / 1000

        fault.replace(peer.PeerListener, "_check_connection", check)

    async def apply_load(self, running: trial.Trial) -> None:
        """Books while every byte stream between nodes is replayed on a second connection."""
        for proxy in running.cluster.proxies_by_name.values():
            proxy.set_faults(network.Faults(duplicate=True, duplicate_delay_s=0.05))
        await running.call(answers.BOOKING, rate_per_s=80.0, duration_s=1.5)
