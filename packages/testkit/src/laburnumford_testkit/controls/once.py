"""Faults that violate P4 (at most one run)."""

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
_LOST_ANSWERS_FAULT = backend_fault.Fault(kind=backend_fault.FaultKind.CLOSE, share=0.3)
_FIXED_INCARNATION = 77


@fault.faults.register("resends-after-unknown")
class ResendsAfterUnknown(fault.Fault):
    """A node resends a non-idempotent request that may have run."""

    invariant = _AT_MOST_ONCE
    setup = trial.Setup(services=("hallmark-issuing",))

    def install(self) -> None:
        """Allows one resend after each unknown outcome."""
        original_decide = dispatch.Dispatcher._decide_resend

        def decide(
            self: Any, ongoing: Any, state: Any, error: errors.AttemptError, resends: int
        ) -> decision.Decision:
            if isinstance(error, errors.UnknownOutcomeError) and resends == 0:
                return decision.Decision(resend=True, delay_s=0.0, reason="control")
            return original_decide(self, ongoing, state, error, resends)

        fault.replace(dispatch.Dispatcher, "_decide_resend", decide)

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Sends bookings while servers close connections after they ran the request."""
        await active_trial.set_server_faults(_LOST_ANSWERS_FAULT)
        await active_trial.send_calls(answers.BOOKING, rate_per_s=60.0, duration_s=1.5)


@fault.faults.register("hands-ticket-over-again")
class DispatchesTicketAgain(fault.Fault):
    """The owner of a ticket dispatches every request with it, also after the first."""

    invariant = _AT_MOST_ONCE
    setup = trial.Setup(services=("hallmark-issuing",))

    def install(self) -> None:
        """Treats every ticket as fresh."""
        fresh = begin_result.BeginResult(state=begin_state.BeginState.FRESH, dispatch_id=1)
        fault.replace(ticket_store.TicketStore, "_begin_unexpired", lambda *_: fresh)

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Sends bookings while answers are lost, so that callers retry with the same ticket."""
        await active_trial.set_server_faults(_LOST_ANSWERS_FAULT)
        await active_trial.send_calls(answers.BOOKING, rate_per_s=60.0, duration_s=1.5)


@fault.faults.register("forgets-tickets-at-restart")
class ForgetsTicketsAtRestart(fault.Fault):
    """A restarted node accepts its earlier tickets, but has lost their state."""

    invariant = _AT_MOST_ONCE
    setup = trial.Setup(services=("hallmark-issuing",), max_retries=12, retry_delay_s=0.25)

    def install(self) -> None:
        """Fixes incarnation and key; a change of either would invalidate earlier tickets."""
        state_init = local_state.LocalState.__init__
        store_init = ticket_store.TicketStore.__init__

        def init_state(self: Any, **parameters: Any) -> None:
            state_init(self, **{**parameters, "incarnation": _FIXED_INCARNATION})

        def init_store(self: Any, **parameters: Any) -> None:
            store_init(self, **{**parameters, "key": bytes(32)})

        fault.replace(local_state.LocalState, "__init__", init_state)
        fault.replace(ticket_store.TicketStore, "__init__", init_store)

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Kills and restarts a node while servers run its bookings without answering."""
        cluster = active_trial.cluster
        name = next(iter(cluster.nodes_by_name))
        await active_trial.set_server_faults(
            backend_fault.Fault(kind=backend_fault.FaultKind.STALL, share=1.0)
        )
        booking = asyncio.create_task(
            active_trial.send_calls(
                answers.BOOKING,
                rate_per_s=20.0,
                duration_s=0.6,
                addresses=[cluster.edge_address(name)],
            )
        )
        await asyncio.sleep(0.8)
        cluster.nodes_by_name[name].kill()
        await active_trial.set_server_faults(backend_fault.Fault())
        await cluster.nodes_by_name[name].start()
        await booking


@fault.faults.register("skips-connection-nonce")
class SkipsConnectionNonce(fault.Fault):
    """A node runs a request that was sent for another connection."""

    invariant = _AT_MOST_ONCE
    setup = trial.Setup(
        services=("hallmark-issuing", "accounts"), proxied=frozenset({"peer"}), max_retries=3
    )

    def install(self) -> None:
        """Reads the deadline without checking the connection nonce."""

        def check(
            self: Any, received: request.Request, _: server_connection.ServerConnection
        ) -> float:
            timeout_ms = fields.get(received.fields, header_names.TIMEOUT_MS) or b"0"
            return float(self._clock()) + int(timeout_ms) / 1000

        fault.replace(peer.PeerListener, "_check_connection", check)

    async def apply_load(self, active_trial: trial.Trial) -> None:
        """Sends bookings while bytes between nodes are replayed on a second connection."""
        for proxy in active_trial.cluster.proxies_by_name.values():
            proxy.set_faults(network.Faults(duplicate=True, duplicate_delay_s=0.05))
        await active_trial.send_calls(answers.BOOKING, rate_per_s=80.0, duration_s=1.5)
